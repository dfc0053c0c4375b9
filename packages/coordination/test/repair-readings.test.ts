// Guards against readings that never end, or that count for another endpoint.
import {id, type EndpointId} from '@chivewick/common';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRepairReadings} from '../src/repair-readings.js';

test('repair readings: they add up, end with the clock and are never negative', () => {
  let nowMs = 1_000;
  const readings = createRepairReadings(() => nowMs);
  const [a, b] = [id<EndpointId>('a'), id<EndpointId>('b')];
  readings.add(a, 40);
  readings.add(a, 30);
  assert.equal(readings.waitMs(a), 70);
  assert.equal(readings.waitMs(b), 0);
  nowMs += 50;
  assert.equal(readings.waitMs(a), 20);
  nowMs += 50;
  assert.equal(readings.waitMs(a), 0);
  readings.add(a, 10);
  assert.equal(readings.waitMs(a), 10);
});
