// Guards against forwarding a partial event, which the endpoint that resumes the
// stream would send again.
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEventSplitter} from '../src/event-splitter.js';

const STREAM =
  'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c';

test('events: any split of the bytes gives the same complete events', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({min: 1, max: 9})), sizes => {
      const splitter = createEventSplitter();
      const events = [];
      let at = 0;
      for (const size of [...sizes, STREAM.length]) {
        events.push(...splitter.push(Buffer.from(STREAM.slice(at, at + size))));
        at += size;
      }
      assert.deepEqual(
        events.map(({id, bytes}) => [id, bytes.toString()]),
        [
          [1, 'id: 1\ndata: a\n\n'],
          [2, 'id: 2\r\ndata: b\r\n\r\n'],
          [undefined, ': note\n\n'],
        ],
      );
      assert.equal(splitter.restBytes(), 'id: 3\ndata: c'.length);
    }),
  );
});

// Joining all chunks of an event with each new one took the thread for seconds.
test('events: the work for an event without end grows with its bytes, not with their square', () => {
  const splitter = createEventSplitter();
  let copiedBytes = 0;
  const {copy} = Buffer.prototype;
  const {concat} = Buffer;
  Buffer.prototype.copy = function (...args: Parameters<typeof copy>) {
    const bytes = copy.apply(this, args);
    copiedBytes += bytes;
    return bytes;
  };
  Buffer.concat = (list, length) => {
    const joined = concat(list, length);
    copiedBytes += joined.length;
    return joined;
  };
  try {
    for (let n = 0; n < 50_000; n++) splitter.push(Buffer.from('x'));
  } finally {
    Buffer.prototype.copy = copy;
    Buffer.concat = concat;
  }
  assert.ok(copiedBytes < 5 * 50_000, `${copiedBytes} bytes copied`);
});
