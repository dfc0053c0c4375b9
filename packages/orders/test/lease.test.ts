// Guards against a holder that was suspended and then sends orders based on
// what it knew before, while another host may hold the lease. Also guards against a lease
// that is lost, held twice or ends a process when an older copy of the store comes back.
import {createSilentLogger, id, ok, type HostId} from '@chivewick/common';
import {
  storeVersion,
  type ObjectStore,
  type StoredObject,
} from '@chivewick/platform';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLease, LEASE_KEY} from '../src/lease.js';

const TIMING = {leaseMs: 5_000, leaseMarginMs: 500};

function createHarness() {
  let steady = 1_000;
  let timeOfDay = 1_800_000_000_000;
  let stored: StoredObject | undefined;
  let era = 0;
  let losesResponse = false;
  const fences: number[] = [];
  const store: ObjectStore = {
    get: () => Promise.resolve(ok(stored)),
    list: () => Promise.resolve(ok(stored === undefined ? [] : [stored])),
    put(key, value, expected) {
      if ((stored?.version ?? 'absent') !== expected)
        return Promise.resolve({kind: 'conflict'});
      const version = (stored?.version ?? 0) + 1;
      stored = {key, version, value};
      fences.push((value as {fence: number}).fence);
      if (losesResponse) return Promise.resolve({kind: 'unknown', message: ''});
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
      clocks: {monotonicMs: () => steady, epochMs: () => timeOfDay},
    });
  return {
    leaseOf,
    advance(ms: number) {
      steady += ms;
      timeOfDay += ms;
    },
    /**
     * Suspends the process: the monotonic clock stops, the wall clock goes on.
     */
    suspend: (ms: number) => void (timeOfDay += ms),
    /** Stores a value as another writer does. */
    leave: (value: unknown) => {
      stored = {key: LEASE_KEY, version: (stored?.version ?? 0) + 1, value};
    },
    /** Replaces fields of the stored value and keeps its version. */
    spoil: (fields: object) => {
      const {version, value} = stored!;
      stored = {
        key: LEASE_KEY,
        version,
        value: {...(value as object), ...fields},
      };
    },
    /** Fencing numbers in the order of the writes. */
    fences,
    copy: () => stored,
    setLosesResponse: (loses: boolean) => void (losesResponse = loses),
    /** Brings back a copy, in a new era. */
    restore(copy: StoredObject | undefined) {
      era += 1;
      stored = copy && {...copy, version: storeVersion(era, 1)!};
    },
    takeOver: (fence: number) => {
      const {version} = stored!;
      const value = {holder: 'b', session: 's', writeId: 'w', fence, lists: 0};
      stored = {key: LEASE_KEY, version: version + 1, value};
    },
  };
}

test('lease: a holder that was suspended acts only after a renewal', async () => {
  const harness = createHarness();
  const lease = harness.leaseOf('a');
  await lease.step(0);
  assert.equal(lease.fence(), 1);
  harness.suspend(1_000);
  assert.equal(lease.fence(), undefined);
  await lease.step(0);
  assert.equal(lease.fence(), 1);
});

test('lease: a holder that was suspended while another took over does not act', async () => {
  const harness = createHarness();
  const lease = harness.leaseOf('a');
  await lease.step(0);
  harness.suspend(20_000);
  harness.takeOver(2);
  assert.equal(lease.fence(), undefined);
  await lease.step(0);
  await lease.step(0);
  assert.equal(lease.fence(), undefined);
});

test('lease: a holder that only waits acts until its deadline', async () => {
  const harness = createHarness();
  const lease = harness.leaseOf('a');
  await lease.step(0);
  harness.advance(4_400);
  assert.equal(lease.fence(), 1);
  harness.advance(200);
  assert.equal(lease.fence(), undefined);
});

const LEASE = {holder: 'b', session: 's', writeId: 'w', fence: 3, lists: 0};
/** Values of another writer, with the fence that follows each. */
const UNREADABLE: readonly [value: unknown, nextFence: number][] = [
  [null, 1],
  [5, 1],
  ['x', 1],
  [[], 1],
  [{}, 1],
  [{...LEASE, fence: '3'}, 1],
  [{...LEASE, fence: null}, 1],
  [{...LEASE, holder: null}, 4],
  [{...LEASE, session: 1}, 4],
  [{...LEASE, lists: {}}, 4],
];

// Guards against a host that ends at a lease without a value, as each of its runs does.
for (const [value, nextFence] of UNREADABLE)
  test(`lease: a value that is no lease ends no host, and is replaced when it has expired (${JSON.stringify(value)})`, async () => {
    const harness = createHarness();
    const lease = harness.leaseOf('a');
    harness.leave(value);
    await lease.step(0);
    assert.equal(lease.fence(), undefined);
    harness.advance(TIMING.leaseMs - 1);
    await lease.step(0);
    assert.equal(lease.fence(), undefined);
    harness.advance(1);
    await lease.step(0);
    assert.equal(lease.fence(), nextFence);
  });

test('lease: an own lease whose fence cannot be read is not acted on', async () => {
  const harness = createHarness();
  const lease = harness.leaseOf('a');
  await lease.step(0);
  harness.spoil({fence: 'x'});
  lease.invalidate();
  await lease.step(0);
  assert.equal(lease.fence(), undefined);
});

test('lease: a holder goes on after a restore that lost its last renewal', async () => {
  const harness = createHarness();
  const lease = harness.leaseOf('a');
  await lease.step(0);
  const copy = harness.copy();
  harness.advance(1_500);
  await lease.step(0);
  harness.restore(copy);
  harness.advance(1_500);
  await lease.step(0);
  await lease.step(0);
  assert.equal(lease.fence(), 1);
  await lease.step(0);
  assert.equal(lease.fence(), 1);
});

test('lease: a host whose lease another had taken waits after a restore', async () => {
  const harness = createHarness();
  const [first, second] = [harness.leaseOf('a'), harness.leaseOf('b')];
  await first.step(0);
  const copy = harness.copy();
  await second.step(0);
  harness.advance(5_001);
  await second.step(0);
  await first.step(0);
  await first.step(0);
  assert.deepEqual([first.fence(), second.fence()], [undefined, 2]);
  harness.restore(copy);
  await first.step(0);
  assert.deepEqual([first.fence(), second.fence()], [undefined, 2]);
  harness.advance(5_001);
  await first.step(0);
  assert.deepEqual([first.fence(), second.fence()], [3, undefined]);
});

test('lease: a holder that was suspended over a takeover and a restore waits', async () => {
  const harness = createHarness();
  const [first, second] = [harness.leaseOf('a'), harness.leaseOf('b')];
  await first.step(0);
  await first.step(0);
  const copy = harness.copy();
  await first.step(0);
  await second.step(0);
  harness.advance(5_001);
  await second.step(0);
  assert.equal(second.fence(), 2);
  harness.restore(copy);
  await first.step(0);
  await first.step(0);
  assert.deepEqual([first.fence(), second.fence()], [undefined, 2]);
});

test('lease: a lost acquisition that a restore brings back is not acted on', async () => {
  const harness = createHarness();
  const [first, second] = [harness.leaseOf('a'), harness.leaseOf('b')];
  await second.step(0);
  await second.release();
  harness.setLosesResponse(true);
  await first.step(0);
  harness.setLosesResponse(false);
  const copy = harness.copy();
  await second.step(0);
  harness.advance(5_001);
  await second.step(0);
  assert.deepEqual([first.fence(), second.fence()], [undefined, 3]);
  harness.restore(copy);
  await first.step(0);
  await first.step(0);
  assert.deepEqual([first.fence(), second.fence()], [undefined, 3]);
});

test('lease: a restored renewal does not bring back a lower fencing number', async () => {
  const harness = createHarness();
  const lease = harness.leaseOf('a');
  await lease.step(0);
  const copy = harness.copy();
  lease.invalidate(true);
  await lease.step(0);
  await lease.step(0);
  assert.equal(lease.fence(), 2);
  harness.restore(copy);
  await lease.step(0);
  await lease.step(0);
  assert.equal(lease.fence(), 2);
  assert.equal(harness.fences.at(-1), 2);
});
