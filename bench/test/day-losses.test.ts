// Guards against a loss that is counted under the wrong cause or omitted.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {meanLosses, readLosses} from '../src/day-losses/losses.js';

const DAY = {
  name: 'd1',
  G: 0.7,
  served: 0.9,
  refused: 0.04,
  failed: 0.01,
  parts: [
    ['whole day', 0.5, 0.9],
    ['worst windows', 0.5, 0.6],
  ],
  prices: [
    ['calls', 100, 0.05],
    ['none', 0, 0],
  ],
  by_class: [0.95, null, 0.5],
};

test('day losses: parts and prices sum to what is missing', () => {
  const {days} = readLosses(JSON.stringify({site: 's', days: [DAY]}));
  const sum = days[0].byPart.reduce((total, {worth}) => total + worth, 0);
  assert.ok(Math.abs(sum - 0.3) < 1e-9);
  assert.equal(days[0].byPart[0].cause, 'worst windows');
});

test('day losses: outcomes and kinds are named', () => {
  const [day] = readLosses(JSON.stringify(DAY)).days;
  assert.deepEqual(
    day.byOutcome.map(({cause}) => cause),
    ['late', 'refused', 'failed'],
  );
  assert.equal(day.byGroup[0].cause, 'kind 3');
});

test('day losses: the mean counts days without a loss', () => {
  const losses = [[{cause: 'late', worth: 0.2}], []];
  assert.deepEqual(meanLosses(losses), [{cause: 'late', worth: 0.1}]);
});

test('day losses: another file is refused', () => {
  assert.throws(() => readLosses('{}'), /neither/);
});
