// Guards against the use of keys that may have been removed: after a poll whose
// answer is old, after a standstill of the process, and after the time of day
// was set.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createFreshness} from '../src/freshness.js';

function world() {
  let steady = 1_000;
  let day = 1_800_000_000_000;
  return {
    freshness: createFreshness({steady: () => steady, timeOfDay: () => day}),
    pass(ms: number) {
      steady += ms;
      day += ms;
    },
    /** The steady clock does not count a standstill. */
    standStill: (ms: number) => void (day += ms),
    setTimeOfDay: (ms: number) => void (day += ms),
  };
}

test('freshness: nothing is known before the first answer', () => {
  assert.equal(world().freshness.ageMs(), Infinity);
});

test('freshness: an answer confirms the state at the time of its poll', () => {
  const {freshness, pass} = world();
  const heard = freshness.poll();
  pass(300);
  heard(0);
  assert.equal(freshness.ageMs(), 300);
  pass(700);
  assert.equal(freshness.ageMs(), 1_000);
});

test('freshness: a poll without a change confirms until its wait was over', () => {
  const {freshness, pass} = world();
  const heard = freshness.poll();
  pass(2_030);
  heard(2_000);
  assert.equal(freshness.ageMs(), 30);
});

test('freshness: an early answer never confirms the future', () => {
  const {freshness, pass} = world();
  const heard = freshness.poll();
  pass(10);
  heard(2_000);
  assert.equal(freshness.ageMs(), 0);
});

test('freshness: a standstill voids what was confirmed before it', () => {
  const {freshness, pass, standStill} = world();
  freshness.poll()(0);
  pass(100);
  standStill(6_000);
  assert.equal(freshness.ageMs(), Infinity);
});

test('freshness: an answer that spans a standstill confirms nothing', () => {
  const {freshness, pass, standStill} = world();
  const heard = freshness.poll();
  standStill(6_000);
  pass(2_000);
  heard(2_000);
  assert.equal(freshness.ageMs(), Infinity);
});

for (const stepMs of [2_000, -2_000]) {
  test(`freshness: after the clock was set by ${stepMs} ms the next poll confirms`, () => {
    const {freshness, pass, setTimeOfDay} = world();
    freshness.poll()(0);
    setTimeOfDay(stepMs);
    assert.equal(freshness.ageMs(), Infinity);
    freshness.poll()(0);
    pass(50);
    assert.equal(freshness.ageMs(), 50);
  });
}
