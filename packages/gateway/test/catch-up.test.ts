// Guards against a host that keeps an older configuration than other hosts have: one that
// started from an older copy of the store, or missed a version that the store has lost.
import {id, type FailureDomain, type HostId} from '@chivewick/common';
import {rankCoordinators} from '@chivewick/coordination';
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {createCatchUp} from '../src/catch-up.js';
import {closeHarnesses, config, startHarness, until} from './harness.js';

after(closeHarnesses);

const HOST = id<HostId>('other');

/** A host with version 7 whose fetches the test ends. */
function setup() {
  const state = {own: 7, nowMs: 0, fetches: 0, end: () => {}};
  const catchUp = createCatchUp({
    current: () => state.own,
    now: () => state.nowMs,
    fetch() {
      state.fetches += 1;
      return new Promise(resolve => (state.end = resolve));
    },
  });
  const hearAt = (ms: number, version: number) => {
    state.nowMs = ms;
    catchUp.heard(HOST, version);
    return state.fetches;
  };
  return {state, hearAt};
}

test('catch-up: a newer version is fetched if the feed does not bring it', async () => {
  const {state, hearAt} = setup();
  assert.deepEqual([hearAt(0, 9), hearAt(499, 9), hearAt(500, 9)], [0, 0, 1]);
  assert.equal(hearAt(2_600, 9), 1);
  state.end();
  await Promise.resolve();
  await Promise.resolve();
  assert.equal(hearAt(2_601, 9), 2);
});

test('catch-up: nothing is fetched while the feed brings new versions', () => {
  const {state, hearAt} = setup();
  hearAt(0, 9);
  state.own = 9;
  assert.equal(hearAt(600, 9), 0);
  assert.equal(hearAt(700, 11), 0);
  state.own = 11;
  assert.equal(hearAt(1_300, 12), 0);
});

test('catch-up: a host that starts from an older copy takes the newer configuration', async () => {
  // The one that comes first does not read the store through the other.
  const [reader, other] = rankCoordinators(
    id<FailureDomain>('a'),
    ['h1', 'h2'].map(name => ({
      id: id<HostId>(name),
      failureDomain: id<FailureDomain>('a'),
      cores: 1,
    })),
  );
  const first = await startHarness({
    name: other.id,
    config: config({version: 10}),
  });
  const second = await startHarness({
    name: reader.id,
    config: config({version: 7}),
    others: [first.self],
  });
  await until(() => second.gateway.config()?.version === 10);
  second.store.restore(second.store.copy());
  second.store.put('config/main', config({version: 9}));
  second.store.put('config/main', config({version: 11}));
  const seen = new Set<number>();
  await until(() => {
    const {version} = second.gateway.config()!;
    seen.add(version);
    return version === 11;
  });
  assert.equal(seen.has(9), false);
});

test('catch-up: a configuration that the store has replaced is not taken back', async () => {
  const [reader, other] = rankCoordinators(
    id<FailureDomain>('a'),
    ['h1', 'h2'].map(name => ({
      id: id<HostId>(name),
      failureDomain: id<FailureDomain>('a'),
      cores: 1,
    })),
  );
  const first = await startHarness({
    name: other.id,
    config: config({version: 10}),
  });
  const second = await startHarness({
    name: reader.id,
    config: config({version: 10}),
    others: [first.self],
  });
  second.store.put('config/main', config({version: 9}));
  await until(() => second.gateway.config()!.version === 9);
  const seen = new Set<number>();
  const watch = setInterval(
    () => seen.add(second.gateway.config()!.version),
    5,
  );
  await new Promise(done => setTimeout(done, 3_000));
  clearInterval(watch);
  assert.deepEqual([...seen], [9]);
});
