// Guards against a response that ends the process where the HTTP parser lets through more
// than HTTP/1.1 allows, as Node's does with `--insecure-http-parser`: Node throws when an
// invalid header line is forwarded, and an exception in an event ends the process.
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const TESTS = fileURLToPath(
  new URL('./broken-responses.test.js', import.meta.url),
);
/** Rules whose check does not rest on the parser alone, as that of the body's framing does. */
const RULES = [
  'status',
  'status line',
  'field name',
  'field value',
  'content length',
  'transfer coding',
  'interim',
  'no content',
  'field lines',
];

for (const rule of RULES)
  test(`lenient parser: no broken response ends the process or reaches a caller (${rule})`, async () => {
    const child = spawn(
      process.execPath,
      [
        '--insecure-http-parser',
        '--enable-source-maps',
        `--test-name-pattern=^broken responses: ${rule} for a`,
        TESTS,
      ],
      // Not as a part of this run, whose reporter would take its output.
      {env: {...process.env, NODE_TEST_CONTEXT: undefined}},
    );
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
    const [code] = (await once(child, 'close')) as [number];
    const failures = output.replaceAll(/^ok .*SKIP.*$/gm, '');
    assert.equal(code, 0, failures.slice(failures.indexOf('not ok')));
    assert.match(output, /^. pass [1-9]/m);
  });
