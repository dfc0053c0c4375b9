// Guards against the use of keys that may have been removed: after a poll with an
// old response, after the process was suspended, and after the wall clock was set.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createFreshness} from '../src/freshness.js';

function setup() {
  let monotonicMs = 1_000;
  let epochMs = 1_800_000_000_000;
  return {
    freshness: createFreshness({
      monotonicMs: () => monotonicMs,
      epochMs: () => epochMs,
    }),
    advance(ms: number) {
      monotonicMs += ms;
      epochMs += ms;
    },
    /** The monotonic clock does not advance while the process is suspended. */
    suspend: (ms: number) => void (epochMs += ms),
    stepWallClock: (ms: number) => void (epochMs += ms),
  };
}

test('freshness: nothing is confirmed before the first response', () => {
  assert.equal(setup().freshness.ageMs(), Infinity);
});

test('freshness: a response confirms the state at the time of its poll', () => {
  const {freshness, advance} = setup();
  const confirm = freshness.poll();
  advance(300);
  confirm(0);
  assert.equal(freshness.ageMs(), 300);
  advance(700);
  assert.equal(freshness.ageMs(), 1_000);
});

test('freshness: a poll without a change confirms up to the end of its wait', () => {
  const {freshness, advance} = setup();
  const confirm = freshness.poll();
  advance(2_030);
  confirm(2_000);
  assert.equal(freshness.ageMs(), 30);
});

test('freshness: an early response never confirms the future', () => {
  const {freshness, advance} = setup();
  const confirm = freshness.poll();
  advance(10);
  confirm(2_000);
  assert.equal(freshness.ageMs(), 0);
});

test('freshness: a suspension invalidates an earlier confirmation', () => {
  const {freshness, advance, suspend} = setup();
  freshness.poll()(0);
  advance(100);
  suspend(6_000);
  assert.equal(freshness.ageMs(), Infinity);
});

test('freshness: a response to a poll sent before a suspension confirms nothing', () => {
  const {freshness, advance, suspend} = setup();
  const confirm = freshness.poll();
  suspend(6_000);
  advance(2_000);
  confirm(2_000);
  assert.equal(freshness.ageMs(), Infinity);
});

for (const stepMs of [2_000, -2_000]) {
  test(`freshness: the next poll confirms after the wall clock was set by ${stepMs} ms`, () => {
    const {freshness, advance, stepWallClock} = setup();
    freshness.poll()(0);
    stepWallClock(stepMs);
    assert.equal(freshness.ageMs(), Infinity);
    freshness.poll()(0);
    advance(50);
    assert.equal(freshness.ageMs(), 50);
  });
}
