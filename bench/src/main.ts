import {Command} from 'commander';
import {readdir} from 'node:fs/promises';
import type {Bench} from './bench.js';

// Every compiled file in this folder that exports `bench` is a bench.
async function loadBenches(): Promise<Bench[]> {
  const files = await readdir(new URL('.', import.meta.url));
  const modules = await Promise.all(
    files
      .filter(name => name.endsWith('.js') && name !== 'main.js')
      .sort()
      .map(name => import(new URL(name, import.meta.url).href)),
  );
  return modules
    .map(module => (module as {bench?: Bench}).bench)
    .filter(bench => bench !== undefined);
}

const program = new Command('bench')
  .description('Runs the benches; prints one JSON line for each figure.')
  .argument('[names...]', 'benches to run; all without names')
  .option('--list', 'names the benches with their questions')
  .option('--small', 'runs each bench at its smallest size')
  .parse();

const options = program.opts<{list?: boolean; small?: boolean}>();
const benches = await loadBenches();
const unknown = program.args.filter(arg => !benches.some(b => b.name === arg));
if (unknown.length > 0) {
  process.stderr.write(`unknown bench: ${unknown.join(', ')}; see --list\n`);
  process.exit(2);
}
const selected = benches.filter(
  ({name}) => program.args.length === 0 || program.args.includes(name),
);
for (const bench of selected) {
  if (options.list === true) {
    process.stdout.write(`${bench.name}: ${bench.question}\n`);
    continue;
  }
  await bench.run({
    small: options.small ?? false,
    emit: line =>
      process.stdout.write(`${JSON.stringify({bench: bench.name, ...line})}\n`),
  });
}
process.exit(0);
