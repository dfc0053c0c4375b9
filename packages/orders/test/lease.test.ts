// Guards against a holder of the lease that orders from knowledge of before a
// standstill, while another host may hold the lease.
import {createSilentLogger, id, ok, type HostId} from '@chivewick/common';
import type {ObjectStore, StoredObject} from '@chivewick/platform';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLease, LEASE_KEY} from '../src/lease.js';

const TIMING = {leaseMs: 5_000, leaseMarginMs: 500};

function createWorld() {
  let steady = 1_000;
  let day = 1_800_000_000_000;
  let stored: StoredObject | undefined;
  const store: ObjectStore = {
    get: () => Promise.resolve(ok(stored)),
    list: () => Promise.resolve(ok(stored === undefined ? [] : [stored])),
    put(key, value, expected) {
      if ((stored?.version ?? 'absent') !== expected)
        return Promise.resolve({kind: 'conflict'});
      const version = (stored?.version ?? 0) + 1;
      stored = {key, version, value};
      return Promise.resolve({kind: 'written', version});
    },
  };
  const leaseOf = (host: string) =>
    createLease({
      self: id<HostId>(host),
      platform: store,
      log: createSilentLogger(),
      timing: TIMING,
      highestFence: () => Promise.resolve(0),
      clocks: {steady: () => steady, timeOfDay: () => day},
    });
  return {
    leaseOf,
    pass(ms: number) {
      steady += ms;
      day += ms;
    },
    /** Time in which the steady clock stands with the process. */
    standStill: (ms: number) => void (day += ms),
    otherTakes: (fence: number) => {
      const {version} = stored!;
      const value = {holder: 'b', session: 's', writeId: 'w', fence, lists: 0};
      stored = {key: LEASE_KEY, version: version + 1, value};
    },
  };
}

test('lease: a holder that stood still acts only after a renewal', async () => {
  const world = createWorld();
  const lease = world.leaseOf('a');
  await lease.step(0);
  assert.equal(lease.fence(), 1);
  world.standStill(1_000);
  assert.equal(lease.fence(), undefined);
  await lease.step(0);
  assert.equal(lease.fence(), 1);
});

test('lease: a holder that stood still while another took over does not act', async () => {
  const world = createWorld();
  const lease = world.leaseOf('a');
  await lease.step(0);
  world.standStill(20_000);
  world.otherTakes(2);
  assert.equal(lease.fence(), undefined);
  await lease.step(0);
  await lease.step(0);
  assert.equal(lease.fence(), undefined);
});

test('lease: a holder that only waits acts until its deadline', async () => {
  const world = createWorld();
  const lease = world.leaseOf('a');
  await lease.step(0);
  world.pass(4_400);
  assert.equal(lease.fence(), 1);
  world.pass(200);
  assert.equal(lease.fence(), undefined);
});
