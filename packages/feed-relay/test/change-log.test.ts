// Guards against old contents of one host that others take for new ones.
import type {Clocks} from '@chivewick/common';
import type {ObjectChange} from '@chivewick/platform';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {Worker} from 'node:worker_threads';
import fc from 'fast-check';
import {createChangeLog} from '../src/index.js';

/** Clocks that the test advances; a suspension stops only the monotonic one. */
function createClocks() {
  let monotonicMs = 0;
  let epochMs = 1_000_000;
  const clocks: Clocks = {
    monotonicMs: () => monotonicMs,
    epochMs: () => epochMs,
  };
  return {
    clocks,
    pass(ms: number) {
      monotonicMs += ms;
      epochMs += ms;
    },
    suspend: (ms: number) => void (epochMs += ms),
  };
}

const object = (name: string, version: number) => ({
  key: `k/${name}`,
  version,
  value: name,
});

test('change log: nothing is known before the first listing', async () => {
  const log = createChangeLog(createClocks().clocks);
  assert.equal(log.listing(), undefined);
  assert.equal((await log.changes(0, 0)).kind, 'unavailable');
});

test('change log: a confirmation is counted from the question', async () => {
  const {clocks, pass} = createClocks();
  const log = createChangeLog(clocks);
  const call = log.begin();
  pass(10);
  call.listed({objects: [object('a', 3)], version: 5, confirmedAfterMs: 0});
  pass(390);
  const batch = await log.changes(5, 0);
  assert.deepEqual(batch, {
    kind: 'changes',
    changes: [],
    version: 5,
    confirmedAfterMs: -400,
  });
});

test('change log: a suspension makes the contents unconfirmed', async () => {
  const {clocks, pass, suspend} = createClocks();
  const log = createChangeLog(clocks);
  log.begin().listed({objects: [], version: 5, confirmedAfterMs: 0});
  pass(100);
  suspend(3_000);
  assert.equal(log.listing(), undefined);
  assert.equal((await log.changes(5, 0)).kind, 'unavailable');
  log.begin().polled({
    kind: 'changes',
    changes: [],
    version: 5,
    confirmedAfterMs: 0,
  });
  assert.equal((await log.changes(5, 0)).kind, 'changes');
});

test('change log: a removed object with an old version reaches hosts that are behind', async () => {
  const {clocks} = createClocks();
  const log = createChangeLog(clocks);
  const objects = [object('a', 2), object('b', 3)];
  log.begin().listed({objects, version: 7, confirmedAfterMs: 0});
  log.begin().polled({
    kind: 'changes',
    changes: [{key: 'k/a', version: 2}],
    version: 9,
    confirmedAfterMs: 0,
  });
  const batch = await log.changes(7, 0);
  assert.deepEqual(batch.kind === 'changes' && batch.changes, [
    {key: 'k/a', version: 2},
  ]);
  assert.deepEqual(log.listing()?.objects, [object('b', 3)]);
});

test('change log: a host that is too far behind has to list again', async () => {
  const log = createChangeLog(createClocks().clocks);
  log.begin().listed({objects: [], version: 7, confirmedAfterMs: 0});
  assert.equal((await log.changes(6, 0)).kind, 'history_lost');
});

test('change log: the wait ends with the next result, also with a failure', async () => {
  const log = createChangeLog(createClocks().clocks);
  log.begin().listed({objects: [], version: 7, confirmedAfterMs: 0});
  const waiting = log.changes(7, 60_000);
  log.begin().polled({
    kind: 'changes',
    changes: [object('a', 8)],
    version: 8,
    confirmedAfterMs: 0,
  });
  const batch = await waiting;
  assert.deepEqual(batch.kind === 'changes' && batch.changes, [object('a', 8)]);
  const next = log.changes(8, 60_000);
  log.begin().polled({kind: 'unavailable', message: 'down'});
  assert.equal((await next).kind, 'changes');
});

test('change log: a host that is behind gets the last change of each object', async () => {
  const log = createChangeLog(createClocks().clocks);
  log.begin().listed({
    objects: [object('a', 2), object('b', 3)],
    version: 7,
    confirmedAfterMs: 0,
  });
  const poll = (version: number, ...changes: ObjectChange[]) =>
    log
      .begin()
      .polled({kind: 'changes', changes, version, confirmedAfterMs: 0});
  poll(9, object('a', 8), object('b', 9));
  poll(11, {key: 'k/b', version: 9}, object('a', 11));
  poll(12, object('b', 12));
  const changesSince = async (since: number) => {
    const batch = await log.changes(since, 0);
    return batch.kind === 'changes' && batch.changes;
  };
  assert.deepEqual(await changesSince(7), [object('a', 11), object('b', 12)]);
  assert.deepEqual(await changesSince(11), [object('b', 12)]);
  assert.deepEqual(await changesSince(12), []);
});

test('change log: versions of an object do not add up in memory', async () => {
  const worker = new Worker(new URL('change-log-dose.js', import.meta.url), {
    resourceLimits: {maxOldGenerationSizeMb: 96, maxYoungGenerationSizeMb: 8},
  });
  const [code] = (await once(worker, 'exit')) as [number];
  assert.equal(code, 0);
});

/** Tolerance of clock marks for suspensions, in milliseconds. */
const CLOCK_DRIFT_MS = 150;

test('change log: no answer claims a confirmation later than the true one', async () => {
  const span = fc.record({
    passMs: fc.nat({max: 2_000}),
    suspendedMs: fc.oneof(fc.constant(0), fc.nat({max: 5_000})),
  });
  await fc.assert(
    fc.asyncProperty(
      span,
      span,
      fc.nat({max: 800}),
      async (poll, idle, after) => {
        const {clocks, pass, suspend} = createClocks();
        const log = createChangeLog(clocks);
        const call = log.begin();
        const elapse = ({passMs, suspendedMs}: typeof poll) => {
          pass(passMs);
          suspend(suspendedMs);
          return passMs + suspendedMs;
        };
        const pollMs = elapse({...poll, passMs: poll.passMs + after});
        call.listed({objects: [], version: 1, confirmedAfterMs: after});
        const idleMs = elapse(idle);
        const batch = await log.changes(1, 0);
        if (batch.kind !== 'changes') return;
        // Both counted from the start of the poll, as a clock on the wall shows it.
        const claimedMs = pollMs + idleMs + batch.confirmedAfterMs;
        assert.ok(claimedMs <= after + CLOCK_DRIFT_MS);
      },
    ),
  );
});
