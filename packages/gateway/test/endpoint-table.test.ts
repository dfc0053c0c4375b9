// Guards against requests to endpoints that have left, and against the loss of
// all endpoints when their entries lapse in an outage of the store.
import {createSilentLogger} from '@chivewick/common';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEndpointTable} from '../src/endpoint-table.js';
import {PLAIN, record} from './world.js';

const DRAIN_MS = 2_000;

function world() {
  let nowMs = 100_000;
  const table = createEndpointTable(
    createSilentLogger(),
    () => DRAIN_MS,
    () => nowMs,
  );
  const endpoint = record('e', '127.0.0.1:1');
  table.upsert(endpoint);
  return {
    table,
    endpoint,
    pass: (ms: number) => void (nowMs += ms),
    usable: () => table.usable(PLAIN).length,
  };
}

test('endpoints: a removed entry ends the use at once', () => {
  const {table, endpoint, usable} = world();
  table.remove(endpoint.id);
  assert.equal(usable(), 0);
});

test('endpoints: an entry removed after an outage counts until it is back', () => {
  const {table, endpoint, pass, usable} = world();
  table.storeUnavailable();
  pass(1_000);
  table.remove(endpoint.id);
  assert.equal(usable(), 1);
  pass(1_200);
  table.upsert(endpoint);
  pass(10_000);
  assert.equal(usable(), 1);
});

test('endpoints: one that left soon after an outage is not used past the drain bound', () => {
  const {table, endpoint, pass, usable} = world();
  table.storeUnavailable();
  pass(1_000);
  const learnedAfterMs = 450;
  table.remove(endpoint.id);
  pass(DRAIN_MS - learnedAfterMs);
  assert.equal(usable(), 0);
});

test('endpoints: one that announced its leaving is gone with its entry', () => {
  const {table, endpoint, usable} = world();
  table.storeUnavailable();
  table.upsert({...endpoint, state: 'draining'});
  assert.equal(usable(), 0);
  table.remove(endpoint.id);
  assert.equal(table.all().length, 0);
});

test('endpoints: a new incarnation under the old id begins with nothing', () => {
  const {table, endpoint} = world();
  const before = table.get(endpoint.id)!;
  before.running = 3;
  table.suspect(before, 'test');
  table.upsert({...endpoint, startedAtMs: 2});
  const state = table.get(endpoint.id)!;
  assert.equal(before.gone, true);
  assert.equal(state.running, 0);
  assert.equal(state.suspectedUntilMs, 0);
});
