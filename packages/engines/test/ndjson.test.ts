import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {parseJsonLines} from '../src/index.js';

async function* splitIntoChunks(text: string, size: number) {
  const bytes = Buffer.from(text, 'utf8');
  for (let at = 0; at < bytes.length; at += size)
    yield bytes.subarray(at, at + size);
}

async function parse(text: string, size: number, maxLineBytes?: number) {
  const values: unknown[] = [];
  for await (const value of parseJsonLines(
    splitIntoChunks(text, size),
    maxLineBytes,
  ))
    values.push(value);
  return values;
}

// Guards against values that are lost or damaged when a chunk ends inside them.
test('json lines: any split into chunks gives the same values', async () => {
  const values = fc.array(
    fc.dictionary(fc.string(), fc.string({unit: 'grapheme'})),
  );
  await fc.assert(
    fc.asyncProperty(
      values,
      fc.integer({min: 1, max: 50}),
      async (lines, size) => {
        const text = lines.map(line => `${JSON.stringify(line)}\n`).join('');
        const expected = lines.map(line => JSON.parse(JSON.stringify(line)));
        assert.deepEqual(await parse(text, size), expected);
      },
    ),
    {numRuns: 100},
  );
});

// Guards against an error, or a partial value, from a broken connection.
test('json lines: an incomplete last line of a broken connection is dropped', async () => {
  assert.deepEqual(await parse('{"a":1}\n\n{"b":', 3), [{a: 1}]);
});

// Guards against buffering a line without an end until memory is exhausted.
test('json lines: a line over the limit is refused', async () => {
  await assert.rejects(parse('x'.repeat(200), 10, 100), RangeError);
});

// Guards against skipping a malformed line.
test('json lines: a line that is not JSON is refused', async () => {
  await assert.rejects(parse('{"a":1}\n{oops}\n', 4), SyntaxError);
});
