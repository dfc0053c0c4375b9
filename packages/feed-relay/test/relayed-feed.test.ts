// Guards against changes that do not reach a host because the host that it asks is
// frozen, cut off from the store or behind, and against calls to the store that
// grow with the fleet.
import {fail, id, ok, type HostId, type Result} from '@chivewick/common';
import {
  storeVersion,
  type ChangeBatch,
  type Listing,
  type ObjectFeed,
} from '@chivewick/platform';
import FakeTimers from '@sinonjs/fake-timers';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {
  createRelayedFeed,
  type RelayClient,
  type RelayRole,
} from '../src/index.js';

const READER = id<HostId>('reader');
const STANDBY = id<HostId>('standby');
const FOLLOWER: RelayRole = {
  sources: [READER, STANDBY],
  isReader: false,
  isDirect: true,
};
const DRAIN_MS = 2_000;

let clock: ReturnType<typeof FakeTimers.install>;
// The test runner itself uses `nextTick`, which a full installation replaces.
beforeEach(() => {
  clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
  });
});
afterEach(() => clock.uninstall());

const pause = (ms: number) => new Promise(done => setTimeout(done, ms));
const signal = new AbortController().signal;

function batchOf(version: number, confirmedAfterMs: number): ChangeBatch {
  return {kind: 'changes', changes: [], version, confirmedAfterMs};
}

/** A store and two hosts to ask, whose behavior the test sets. */
function startHarness(role = FOLLOWER) {
  const calls = {store: 0, reader: 0, standby: 0, storeWaitMs: 0};
  const behavior = {
    reader: (waitMs: number): Promise<Result<ChangeBatch>> =>
      pause(waitMs).then(() => ok(batchOf(5, waitMs))),
    standby: (): Promise<Result<ChangeBatch>> =>
      Promise.resolve(fail('endpoint_failed', 'not known here')),
    store: (waitMs: number): Promise<ChangeBatch> =>
      pause(waitMs).then(() => batchOf(5, waitMs)),
    listing: {objects: [], version: 5, confirmedAfterMs: 0} as Listing,
  };
  const store: ObjectFeed = {
    listKind() {
      calls.store += 1;
      return Promise.resolve(
        ok({objects: [], version: 6, confirmedAfterMs: 0}),
      );
    },
    changes(_kind, _since, waitMs) {
      calls.store += 1;
      calls.storeWaitMs = waitMs;
      return behavior.store(waitMs);
    },
  };
  const client: RelayClient = {
    list: () => Promise.resolve(ok(behavior.listing)),
    changes(host, {waitMs}, timeoutMs) {
      calls[host === READER ? 'reader' : 'standby'] += 1;
      const answer =
        host === READER ? behavior.reader(waitMs) : behavior.standby();
      const timedOut = pause(timeoutMs).then((): Result<ChangeBatch> =>
        fail('deadline_exceeded', 'no answer'),
      );
      return Promise.race([answer, timedOut]);
    },
  };
  const {feed, service} = createRelayedFeed({
    store,
    client,
    role: () => role,
    effectMs: () => DRAIN_MS,
  });
  return {calls, behavior, feed, service};
}

/** Polls once; returns the batch and how long it took. */
async function poll(feed: ObjectFeed, since = 5) {
  const startMs = performance.now();
  let result: ChangeBatch | undefined;
  void feed.changes('k', since, 2_000, signal).then(batch => (result = batch));
  while (result === undefined) await clock.tickAsync(10);
  return {batch: result, elapsedMs: performance.now() - startMs};
}

test('relay: a host with a live source does not call the store', async () => {
  const {calls, feed} = startHarness();
  for (let n = 0; n < 20; n++) await poll(feed);
  assert.deepEqual([calls.store, calls.reader], [0, 20]);
});

test('relay: the reader polls the store often enough for the drain bound', async () => {
  const role = {sources: [], isReader: true, isDirect: true};
  const {calls, feed} = startHarness(role);
  await poll(feed);
  assert.equal(calls.store, 1);
  assert.ok(calls.storeWaitMs < DRAIN_MS / 2);
});

test('relay: a change reaches the host in time if its source is frozen', async () => {
  const {behavior, feed} = startHarness();
  behavior.reader = () => new Promise(() => {});
  behavior.store = () => Promise.resolve(batchOf(6, 0));
  const {batch, elapsedMs} = await poll(feed);
  assert.equal(batch.kind === 'changes' && batch.version, 6);
  assert.ok(elapsedMs < DRAIN_MS / 2, `${elapsedMs} ms`);
});

test('relay: a change reaches the host in time if its source is cut off from the store', async () => {
  const {behavior, feed} = startHarness();
  const cutAtMs = performance.now();
  behavior.reader = waitMs =>
    pause(waitMs).then(() =>
      ok(batchOf(5, cutAtMs - performance.now() + waitMs)),
    );
  behavior.store = () => Promise.resolve(batchOf(6, 0));
  let version = 5;
  while (version === 5) {
    const {batch} = await poll(feed);
    if (batch.kind === 'changes') version = batch.version;
  }
  assert.ok(performance.now() - cutAtMs < DRAIN_MS);
});

test('relay: the standby is asked while the reader does not answer', async () => {
  const {calls, behavior, feed} = startHarness();
  behavior.reader = () => Promise.resolve(fail('endpoint_failed', 'reset'));
  behavior.standby = () => Promise.resolve(ok(batchOf(5, 0)));
  behavior.store = () => Promise.resolve(batchOf(5, 0));
  await poll(feed);
  await poll(feed);
  await poll(feed);
  assert.deepEqual([calls.reader, calls.standby, calls.store], [1, 2, 1]);
});

test('relay: a host that failed to read the store leaves that to its sources', async () => {
  const {calls, behavior, feed} = startHarness();
  behavior.reader = () => Promise.resolve(fail('endpoint_failed', 'reset'));
  behavior.store = () =>
    Promise.resolve({kind: 'unavailable', message: 'down'});
  const untilMs = performance.now() + 20_000;
  while (performance.now() < untilMs) {
    await poll(feed);
    await clock.tickAsync(100);
  }
  assert.ok(calls.store <= 11, `${calls.store} calls in 20 s`);
});

test('relay: a change reaches the host soon after an outage of the store, whenever a call was lost', async () => {
  // Hosts are bound again three seconds after the outage; retries are up to 400 ms apart.
  const maxMs = 2_500;
  for (let outageMs = 3_000; outageMs < 9_000; outageMs += 290) {
    const {behavior, feed} = startHarness();
    const returnAtMs = performance.now() + outageMs;
    behavior.reader = () =>
      Promise.resolve(ok({kind: 'unavailable', message: 'store lost'}));
    behavior.store = async waitMs => {
      if (performance.now() >= returnAtMs) return batchOf(6, 0);
      // The time limit of the client, after which a lost call fails.
      await pause(waitMs + 700);
      return {kind: 'unavailable', message: 'no response'};
    };
    let version = 5;
    while (version === 5) {
      const {batch} = await poll(feed);
      if (batch.kind === 'changes') version = batch.version;
      else await clock.tickAsync(400);
    }
    const lateMs = performance.now() - returnAtMs;
    assert.ok(lateMs <= maxMs, `${lateMs} ms late after ${outageMs} ms`);
  }
});

test('relay: a source that was only behind is asked again at once', async () => {
  const {calls, behavior, feed} = startHarness();
  behavior.reader = () =>
    Promise.resolve(ok({kind: 'unavailable', message: 'store lost'}));
  behavior.store = () =>
    Promise.resolve({kind: 'unavailable', message: 'down'});
  for (let n = 0; n < 5; n++) {
    await poll(feed);
    await clock.tickAsync(400);
  }
  assert.equal(calls.reader, 5);
  behavior.reader = () => Promise.resolve(ok(batchOf(6, 0)));
  const {batch} = await poll(feed);
  assert.equal(batch.kind === 'changes' && batch.version, 6);
});

test('relay: a listing older than what the host has seen is not used', async () => {
  const {behavior, feed} = startHarness();
  const first = await feed.listKind('k');
  assert.equal(first.ok && first.value.version, 5);
  behavior.reader = () => Promise.resolve(ok(batchOf(8, 0)));
  await poll(feed);
  const second = await feed.listKind('k');
  assert.equal(second.ok && second.value.version, 6);
});

test('relay: what a host has read is passed on with its age', async () => {
  const {feed, service} = startHarness({
    sources: [],
    isReader: true,
    isDirect: true,
  });
  await assert.rejects(service.list({kind: 'k'}));
  await feed.listKind('k');
  await clock.tickAsync(300);
  const listing = await service.list({kind: 'k'});
  assert.equal(listing.version, 6);
  assert.equal(listing.confirmedAfterMs, -300);
});

test('relay: a restarted host does not take over what a cut off source still has', async () => {
  const {behavior, feed, calls} = startHarness();
  behavior.listing = {
    objects: [{key: 'k/left', version: 3, value: {}}],
    version: 5,
    confirmedAfterMs: -3_000,
  };
  const listing = await feed.listKind('k');
  assert.equal(calls.store, 1);
  assert.deepEqual(listing.ok && listing.value.objects, []);
});

// The response may have been under way when the store was restored.
test('relay: a listing of an earlier era than another host has told is not used', async () => {
  const {feed, behavior, calls} = startHarness();
  behavior.listing = {
    objects: [],
    version: storeVersion(1, 3)!,
    confirmedAfterMs: 0,
  };
  assert.equal((await feed.listKind('k')).ok, true);
  behavior.listing = {...behavior.listing, version: 5};
  const listing = await feed.listKind('k');
  assert.deepEqual([listing.ok, calls.store], [false, 1]);
});
