// Guards against a log that grows with the load, and against dropped lines that
// are not reported.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createBoundedLogger,
  type LogEventName,
  type Logger,
} from '../src/index.js';

function createHarness() {
  const written: {name: LogEventName; fields?: Record<string, unknown>}[] = [];
  const root: Logger = {
    event: (name, fields) => void written.push({name, fields}),
    child: () => root,
  };
  let nowMs = 0;
  const log = createBoundedLogger(root, {linesPerS: 10, burst: 5}, () => nowMs);
  return {log, written, advance: (ms: number) => void (nowMs += ms)};
}

test('log rate limit: lines over the limit are dropped, counted and reported', () => {
  const {log, written, advance} = createHarness();
  for (let line = 0; line < 20; line++) log.event('requestServed');
  assert.equal(written.length, 5);
  advance(1_000);
  log.child('other').event('requestServed');
  assert.deepEqual(written[5], {
    name: 'linesDropped',
    fields: {dropped: 15, linesPerS: 10},
  });
  assert.equal(written.length, 7);
});

test('log rate limit: warnings are written even over the limit', () => {
  const {log, written} = createHarness();
  for (let line = 0; line < 20; line++) log.event('requestServed');
  log.event('storeLost');
  assert.equal(written.at(-1)?.name, 'storeLost');
});
