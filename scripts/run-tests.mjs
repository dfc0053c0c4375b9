import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import {readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';

// Runs the compiled tests of all packages, or only those whose path contains one
// of the arguments. Test files listed in KNOWN-RED.txt, in lines such as
// `test: packages/x/test/y.test.ts`, are skipped and printed.
const ROOTS = [
  'packages',
  'platform',
  'stand-ins',
  'system',
  'bench',
  'examples',
  'fuzz',
];
const TEST_CONCURRENCY = 4;
const TEST_TIMEOUT_MS = 240_000;

function findTests(dir) {
  if (!existsSync(dir)) return [];
  return readdirSync(dir).flatMap(name => {
    if (name === 'node_modules') return [];
    const path = join(dir, name);
    if (statSync(path).isDirectory()) return findTests(path);
    return path.includes('dist/test/') && path.endsWith('.test.js')
      ? [path]
      : [];
  });
}

const filters = process.argv.slice(2);
const knownRed = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim())
  : [];
const isKnownRed = file =>
  knownRed.includes(file.replace('/dist/', '/').replace(/\.js$/, '.ts'));
const allTests = ROOTS.flatMap(findTests);
for (const file of allTests.filter(isKnownRed))
  console.log(`known red, passed over: ${file}`);
const files = allTests.filter(
  file =>
    !isKnownRed(file) &&
    (filters.length === 0 || filters.some(filter => file.includes(filter))),
);
// Tests with real processes run one file at a time, because they share the
// processors with the processes that they start.
const systemTests = files.filter(file => file.startsWith('system/'));
const otherTests = files.filter(file => !file.startsWith('system/'));

function runTests(tests, concurrency) {
  if (tests.length === 0) return 0;
  const options = [
    '--enable-source-maps',
    '--test',
    `--test-concurrency=${concurrency}`,
    `--test-timeout=${TEST_TIMEOUT_MS}`,
    '--test-reporter=spec',
  ];
  const run = spawnSync(process.execPath, [...options, ...tests], {
    stdio: 'inherit',
  });
  return run.status ?? 1;
}

const results = [
  runTests(otherTests, TEST_CONCURRENCY),
  runTests(systemTests, 1),
];
process.exit(Math.max(...results));
