import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createObjectApiStandIn} from '@chivewick/stand-ins';
import {createObjectApi, updateObject} from '../src/index.js';

async function setUp() {
  const platform = await createObjectApiStandIn({});
  const api = createObjectApi({address: platform.address, timeoutMs: 500});
  const close = async () => {
    await api.close();
    await platform.close();
  };
  return {platform, api, close};
}

interface Counter {
  count: number;
}

test('object API: a write that expects an outdated version is a conflict', async () => {
  const {api, close} = await setUp();
  const created = await api.put('a/b', {n: 1}, 'absent');
  assert.equal(created.kind, 'written');
  assert.equal((await api.put('a/b', {n: 2}, 'absent')).kind, 'conflict');
  const again = await api.put('a/b', {n: 2}, 99);
  assert.equal(again.kind, 'conflict');
  await close();
});

const FAULTS = [
  {name: 'response lost after the write took effect', faults: {loseAnswers: 1}},
  {
    name: 'two responses lost after the write took effect',
    faults: {loseAnswers: 2},
  },
  {name: 'write lost before it took effect', faults: {loseWrites: 1}},
  {
    name: 'write lost, then a response lost',
    faults: {loseWrites: 1, loseAnswers: 1},
  },
];

for (const {name, faults} of FAULTS) {
  test(`updateObject: ${name}: the update is applied exactly once`, async () => {
    const {platform, api, close} = await setUp();
    await api.put('counter', {count: 5}, 'absent');
    Object.assign(platform.faults, faults);
    const updated = await updateObject<Counter>(api, 'counter', current => ({
      count: (current?.count ?? 0) + 1,
    }));
    assert.equal(updated.ok, true);
    const stored = platform.store.get('counter')?.value as Counter;
    assert.equal(stored.count, 6);
    await close();
  });
}

test('updateObject: an update during an outage fails as not_run', async () => {
  const {platform, api, close} = await setUp();
  platform.faults.outage = true;
  const updated = await updateObject<Counter>(api, 'c', () => ({count: 1}), {
    deadlineMs: 100,
  });
  assert.equal(updated.ok, false);
  if (!updated.ok) {
    assert.equal(updated.err.kind, 'platform_unavailable');
    assert.equal(updated.err.ran, 'not_run');
  }
  await close();
});

test('watch: yields earlier and later changes, and fails in an outage', async () => {
  const {platform, api, close} = await setUp();
  await api.put('lists/plans', {n: 1}, 'absent');
  const stop = new AbortController();
  const seen: number[] = [];
  const watching = (async () => {
    for await (const change of api.watch('lists/', 0, stop.signal)) {
      seen.push(change.version);
      if (seen.length === 1) await api.put('lists/plans', {n: 2}, 1);
      if (seen.length === 2) break;
    }
  })();
  await watching;
  assert.deepEqual(seen, [1, 2]);
  platform.faults.outage = true;
  await assert.rejects(async () => {
    for await (const _ of api.watch('lists/', 0, stop.signal)) void _;
  });
  await close();
});
