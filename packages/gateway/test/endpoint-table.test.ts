// Guards against requests to removed endpoints, and against the loss of all
// endpoints when their entries expire during a store outage. Also guards against an older
// copy of the store that undoes what endpoints have said since.
import {createSilentLogger} from '@chivewick/common';
import {storeVersion} from '@chivewick/platform';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEndpointTable} from '../src/endpoint-table.js';
import {PLAIN, record} from './harness.js';

const DRAIN_MS = 2_000;

function setup() {
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
    advance: (ms: number) => void (nowMs += ms),
    usable: () => table.usable(PLAIN).length,
  };
}

test('endpoints: an endpoint is not used after its entry is removed', () => {
  const {table, endpoint, usable} = setup();
  table.remove(endpoint.id, 2);
  assert.equal(usable(), 0);
});

test('endpoints: an entry removed after an outage is used until it is re-created', () => {
  const {table, endpoint, advance, usable} = setup();
  table.storeUnavailable();
  advance(1_000);
  table.remove(endpoint.id, 2);
  assert.equal(usable(), 1);
  advance(1_200);
  table.upsert(endpoint);
  advance(10_000);
  assert.equal(usable(), 1);
});

test('endpoints: one removed soon after an outage is not used past the drain bound', () => {
  const {table, endpoint, advance, usable} = setup();
  table.storeUnavailable();
  advance(1_000);
  const detectedAfterMs = 450;
  table.remove(endpoint.id, 2);
  advance(DRAIN_MS - detectedAfterMs);
  assert.equal(usable(), 0);
});

test('endpoints: a draining one is dropped together with its entry', () => {
  const {table, endpoint, usable} = setup();
  table.storeUnavailable();
  table.upsert({...endpoint, state: 'draining'});
  assert.equal(usable(), 0);
  table.remove(endpoint.id, 2);
  assert.equal(table.all().length, 0);
});

test('endpoints: a new incarnation with the same id starts with a clean state', () => {
  const {table, endpoint} = setup();
  const before = table.get(endpoint.id)!;
  before.running = 3;
  table.suspect(before, 'test');
  table.upsert({...endpoint, startedAtMs: 2});
  const state = table.get(endpoint.id)!;
  assert.equal(before.removed, true);
  assert.equal(state.running, 0);
  assert.equal(state.suspectedUntilMs, 0);
});

for (const [name, address, leavesAs, expected] of [
  ['one that crashed is a restart', 'old', 'ready', true],
  ['one that left as planned is not', 'old', 'draining', false],
  ['no other is not', 'new', 'ready', false],
] as const)
  test(`endpoints: one that starts at the address of ${name}`, () => {
    const {table} = setup();
    const layers = {from: 0, to: 40};
    const holder = record('m1', 'old', {layers});
    table.upsert(holder);
    table.upsert({...holder, state: leavesAs});
    table.remove(holder.id, 2);
    const next = record('m2', address);
    table.upsert(next);
    assert.equal(table.get(next.id)!.isRestart, expected);
  });

/** Versions of the copy, and of what is written after the restore. */
const COPIED = storeVersion(1, 10)!;
const WRITTEN = storeVersion(1, 20)!;

for (const [name, copied, expected] of [
  ['is still leaving if the copy has it as ready', {writes: 4}, 0],
  ['is ready if it was started again', {startedAtMs: 2, writes: 1}, 1],
] as const)
  test(`endpoints: after a restore, one that leaves ${name}`, () => {
    const {table, endpoint, usable} = setup();
    table.upsert({...endpoint, state: 'draining', writes: 5});
    const record = {...endpoint, storeVersion: COPIED, ...copied};
    table.replaceAll([record], COPIED);
    assert.equal(usable(), expected);
    table.upsert({...record, writes: 6, storeVersion: WRITTEN});
    assert.equal(usable(), 1);
  });

// Writes that only count on are not reported, so the copy may have a later one.
test('endpoints: after a restore, one that has left is not used until it writes again', () => {
  const {table, endpoint, usable, advance} = setup();
  table.remove(endpoint.id, 2);
  const copied = {...endpoint, writes: 9, storeVersion: COPIED};
  table.replaceAll([copied], COPIED);
  assert.equal(usable(), 0);
  advance(3_000);
  assert.equal(usable(), 0);
  table.upsert({...copied, writes: 10, storeVersion: WRITTEN});
  assert.equal(usable(), 1);
});

for (const [name, isRemoved, expected] of [
  ['is used again if its entry stays', false, 1],
  ['is not used if its entry is removed', true, 0],
] as const)
  test(`endpoints: after a restore, one that has left ${name}`, () => {
    const {table, endpoint, usable, advance} = setup();
    table.remove(endpoint.id, 2);
    table.replaceAll([{...endpoint, storeVersion: COPIED}], COPIED);
    if (isRemoved) table.remove(endpoint.id, WRITTEN);
    advance(5_001);
    assert.equal(usable(), expected);
  });

test('endpoints: after a restore, one that the copy lacks is used until it writes again', () => {
  const {table, endpoint, usable, advance} = setup();
  table.replaceAll([], COPIED);
  assert.equal(usable(), 1);
  advance(1_900);
  table.upsert({...endpoint, storeVersion: WRITTEN});
  advance(10_000);
  assert.equal(usable(), 1);
});

// A host that reads through another one lists again once that one has listed.
test('endpoints: after a restore, one that the copy lacks is used over a second listing', () => {
  const {table, usable, advance} = setup();
  table.replaceAll([], COPIED);
  advance(100);
  table.replaceAll([], COPIED + 1);
  assert.equal(usable(), 1);
  advance(3_000);
  assert.equal(usable(), 0);
});

test('endpoints: after a restore, one that the copy lacks is dropped if it does not write', () => {
  const {table, usable, advance} = setup();
  table.replaceAll([], COPIED);
  advance(3_001);
  assert.equal(usable(), 0);
});

test('endpoints: long after a restore, one that is missing from a listing is dropped', () => {
  const {table, endpoint, usable} = setup();
  table.upsert({...endpoint, writes: 7});
  table.replaceAll([{...endpoint, storeVersion: COPIED}], COPIED);
  table.replaceAll([], WRITTEN);
  assert.equal(usable(), 0);
});

test('endpoints: after a restore, what one writes counts whatever its number of writes', () => {
  const {table, endpoint, usable} = setup();
  table.upsert({...endpoint, writes: 90});
  table.replaceAll([{...endpoint, writes: 40, storeVersion: COPIED}], COPIED);
  const leaving = {...endpoint, state: 'draining', writes: 50} as const;
  table.upsert({...leaving, storeVersion: WRITTEN});
  assert.equal(usable(), 0);
});

for (const [name, isRemoved, expected] of [
  ['runs', false, 2],
  ['has left', true, undefined],
] as const)
  test(`endpoints: after a restore, an earlier run of one that ${name} is not used`, () => {
    const {table, endpoint} = setup();
    table.upsert({...endpoint, startedAtMs: 2});
    if (isRemoved) table.remove(endpoint.id, 2);
    const earlier = {...endpoint, writes: 9, storeVersion: COPIED};
    table.replaceAll([earlier], COPIED);
    const {startedAtMs} = table.get(endpoint.id)?.record ?? {};
    assert.equal(startedAtMs, expected);
  });

test('endpoints: one that has left is not used while its removal cannot be read', () => {
  const {table, endpoint, usable, advance} = setup();
  table.remove(endpoint.id, 2);
  table.replaceAll([{...endpoint, storeVersion: COPIED}], COPIED);
  advance(4_000);
  table.storeUnavailable();
  advance(4_000);
  assert.equal(usable(), 0);
  table.replaceAll([], WRITTEN);
  advance(9_000);
  assert.equal(usable(), 0);
});

test('endpoints: within an era, an entry replaces the one before whatever it counts', () => {
  const {table, endpoint, usable} = setup();
  table.upsert({...endpoint, state: 'draining', writes: 5, storeVersion: 3});
  table.upsert({...endpoint, writes: 1, storeVersion: 4});
  assert.equal(usable(), 1);
});
