// Guards against requests to an endpoint whose removal reaches a host late, through a
// host that is behind, soon after this host was itself cut off.
import {createSilentLogger, fail, id, ok, type HostId} from '@chivewick/common';
import {createRelayedFeed} from '@chivewick/feed-relay';
import type {ChangeBatch, ObjectChange} from '@chivewick/platform';
import FakeTimers from '@sinonjs/fake-timers';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {createEndpointTable} from '../src/endpoint-table.js';
import {followEndpoints} from '../src/follow-endpoints.js';
import {PLAIN, record} from './harness.js';

const DRAIN_MS = 2_000;
/** Time without a disturbance after which the drain bound holds for a host. */
const CONTACT_MS = 3_000;
const CUT_MS = {from: 1_000, to: 2_000};
const NEVER = new Promise<never>(() => {});

let clock: ReturnType<typeof FakeTimers.install>;
// The test runner itself uses `nextTick`, which a full installation replaces.
beforeEach(() => {
  clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
  });
});
afterEach(() => clock.uninstall());

const pause = (ms: number) => new Promise(done => setTimeout(done, ms));

/**
 * A host that was cut off once, and the host that it reads through.
 *
 * @param behindFromMs time from which that host learns nothing from the store.
 */
function startHost({removedMs = Infinity, behindFromMs = Infinity}) {
  const startMs = performance.now();
  const nowMs = () => performance.now() - startMs;
  const endpoint = record('e', '127.0.0.1:1');
  const isCut = () => nowMs() >= CUT_MS.from && nowMs() < CUT_MS.to;
  const table = createEndpointTable(createSilentLogger(), () => DRAIN_MS);

  /** Contents at a time; a question waits for the next change until then. */
  async function answer(since: number, untilMs: number): Promise<ChangeBatch> {
    if (isCut()) return NEVER;
    const askedMs = nowMs();
    const isRemoved = () => Math.min(nowMs(), untilMs) >= removedMs;
    for (let waited = 0; waited < 50 && !(isRemoved() && since < 6); waited++)
      await pause(10);
    const changes: ObjectChange[] =
      isRemoved() && since < 6 ? [{key: 'endpoints/e', version: 6}] : [];
    const version = isRemoved() ? 6 : Math.max(since, 5);
    const confirmedAfterMs = Math.min(nowMs(), untilMs) - askedMs;
    return {kind: 'changes', changes, version, confirmedAfterMs};
  }

  async function list() {
    await pause(1);
    const objects = [{key: 'endpoints/e', version: 5, value: endpoint}];
    return ok({objects, version: 5, confirmedAfterMs: 0});
  }

  const {feed, failedAtMs} = createRelayedFeed({
    store: {
      listKind: list,
      changes: (_kind, since) =>
        Promise.race([
          answer(since, Infinity),
          pause(700).then((): ChangeBatch => ({
            kind: 'unavailable',
            message: 'no response',
          })),
        ]),
    },
    client: {
      list,
      changes: (_host, {since}, timeoutMs) =>
        Promise.race([
          answer(since, behindFromMs).then(ok),
          pause(timeoutMs).then(() => fail('deadline_exceeded', 'no answer')),
        ]),
    },
    role: () => ({
      sources: [id<HostId>('source')],
      isReader: false,
      isDirect: true,
    }),
    effectMs: () => DRAIN_MS,
  });
  const closing = new AbortController();
  followEndpoints({
    kind: 'endpoints',
    feed,
    failedAtMs,
    table,
    drainMs: () => DRAIN_MS,
    read: () => [endpoint],
    onChanged: () => {},
    after: Promise.resolve(),
    log: createSilentLogger(),
    signal: closing.signal,
  });
  return {
    isUsed: () => table.usable(PLAIN).length > 0,
    stop: () => closing.abort(),
    async advanceTo(ms: number) {
      while (nowMs() < ms) await clock.tickAsync(10);
    },
  };
}

test('endpoints: one whose removal is learned late, after a cut, is not used past the drain bound', async () => {
  const boundFromMs = CUT_MS.to + CONTACT_MS;
  for (let removedMs = 2_000; removedMs < 4_000; removedMs += 50) {
    const host = startHost({removedMs, behindFromMs: removedMs - 20});
    await host.advanceTo(removedMs - 10);
    assert.ok(host.isUsed());
    await host.advanceTo(Math.max(removedMs + DRAIN_MS, boundFromMs) + 20);
    assert.equal(host.isUsed(), false, `removed at ${removedMs} ms`);
    host.stop();
  }
});

test('endpoints: one whose entry expired while the host was cut off stays in use at first', async () => {
  // The host learns of it at 3.2 s: it asks its source again 1.5 s after a failed call.
  const host = startHost({removedMs: CUT_MS.to - 100});
  await host.advanceTo(CUT_MS.to + 1_800);
  assert.ok(host.isUsed());
  host.stop();
});
