import {
  createSilentLogger,
  id,
  type Result,
  type WorkspaceId,
} from '@chivewick/common';
import {install, type Clock} from '@sinonjs/fake-timers';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createAdmission,
  type Admission,
  type AdmissionClass,
  type AdmissionSlot,
} from '../src/index.js';

interface Entry {
  readonly workspace: string;
  result?: Result<AdmissionSlot>;
}

interface AcquireOptions {
  cls?: AdmissionClass;
  priority?: number;
  deadlineMs?: number;
  signal?: AbortSignal;
}

function createFixture(options: {
  capacity: number;
  maxQueued?: number;
  weights?: Record<string, number>;
}) {
  const clock: Clock = install({
    toFake: ['setTimeout', 'clearTimeout', 'performance'],
  });
  const state = {capacity: options.capacity};
  const admission: Admission = createAdmission({
    capacity: () => state.capacity,
    log: createSilentLogger(),
    weight: workspace => options.weights?.[workspace] ?? 1,
    maxQueued: options.maxQueued,
  });
  const started: Entry[] = [];
  const settle = async () => {
    for (let turns = 0; turns < 10; turns += 1) await Promise.resolve();
  };
  return {
    clock,
    state,
    admission,
    started,
    settle,
    async acquire(
      workspace: string,
      {
        cls = 'draft',
        priority = 0,
        deadlineMs = 10_000,
        signal,
      }: AcquireOptions = {},
    ) {
      const entry: Entry = {workspace};
      void admission
        .acquire({
          workspace: id<WorkspaceId>(workspace),
          priority,
          class: cls,
          deadlineMs,
          signal: signal ?? new AbortController().signal,
        })
        .then(result => {
          entry.result = result;
          if (result.ok) started.push(entry);
        });
      await settle();
      return entry;
    },
    async release(entry: Entry) {
      if (entry.result?.ok) entry.result.value.release();
      await settle();
    },
    async tick(ms: number) {
      clock.tick(ms);
      await settle();
    },
    draft: () => admission.status().find(status => status.class === 'draft'),
  };
}

type Fixture = ReturnType<typeof createFixture>;
const kindOf = (entry: Entry) =>
  entry.result === undefined
    ? 'waiting'
    : entry.result.ok
      ? 'started'
      : entry.result.err.kind;

/** Serves `count` requests, each for the hold time of its workspace. */
async function serve(
  fixture: Fixture,
  count: number,
  holdMs: Record<string, number>,
): Promise<Map<string, number>> {
  const heldMs = new Map<string, number>();
  for (let served = 0; served < count; served += 1) {
    const entry = fixture.started[served];
    const ms = holdMs[entry.workspace];
    heldMs.set(entry.workspace, (heldMs.get(entry.workspace) ?? 0) + ms);
    await fixture.tick(ms);
    await fixture.release(entry);
  }
  return heldMs;
}

const CASES: Array<{
  name: string;
  capacity: number;
  maxQueued?: number;
  weights?: Record<string, number>;
  run: (fixture: Fixture) => Promise<void>;
}> = [
  {
    name: 'a lookup does not wait behind drafts',
    capacity: 1,
    async run(fixture) {
      await fixture.acquire('a');
      const draft = await fixture.acquire('a');
      const lookup = await fixture.acquire('a', {cls: 'lookup'});
      assert.deepEqual([draft, lookup].map(kindOf), ['waiting', 'started']);
    },
  },
  {
    name: 'a request that cannot start before its deadline is shed, and starts when retried after the retry-after',
    capacity: 1,
    async run(fixture) {
      await fixture.acquire('a');
      await serve(fixture, 1, {a: 100});
      for (let i = 0; i < 5; i += 1) await fixture.acquire('a');
      const shed = await fixture.acquire('a', {deadlineMs: 200});
      assert.ok(shed.result?.ok === false);
      assert.deepEqual(
        [shed.result.err.kind, shed.result.err.ran],
        ['overloaded', 'not_run'],
      );
      const untilRetryMs = shed.result.err.retryAfterMs ?? 0;
      let retried: Entry | undefined;
      for (let ms = 10; ms <= untilRetryMs + 200; ms += 10) {
        await fixture.tick(10);
        if (ms % 100 === 0) await fixture.release(fixture.started[ms / 100]);
        if (ms === untilRetryMs) {
          retried = await fixture.acquire('a', {deadlineMs: 200});
        }
      }
      assert.ok(retried);
      assert.equal(kindOf(retried), 'started');
    },
  },
  {
    name: 'two workspaces share the slot time by weight',
    capacity: 1,
    weights: {a: 3, b: 1},
    async run(fixture) {
      for (let i = 0; i < 40; i += 1)
        for (const workspace of ['a', 'b'])
          await fixture.acquire(workspace, {deadlineMs: 100_000});
      const heldMs = await serve(fixture, 40, {a: 100, b: 100});
      assert.deepEqual([heldMs.get('a'), heldMs.get('b')], [3_000, 1_000]);
    },
  },
  {
    name: 'a workspace with long requests gets no more slot time than its weight allows',
    capacity: 1,
    async run(fixture) {
      for (let i = 0; i < 60; i += 1)
        for (const workspace of ['a', 'b'])
          await fixture.acquire(workspace, {deadlineMs: 1_000_000});
      const heldMs = await serve(fixture, 60, {a: 1_000, b: 100});
      const share =
        (heldMs.get('a') ?? 0) /
        ((heldMs.get('a') ?? 0) + (heldMs.get('b') ?? 0));
      assert.ok(share < 0.65, `share ${share}`);
    },
  },
  {
    name: 'a request of an idle workspace starts before the queued burst of another',
    capacity: 1,
    async run(fixture) {
      for (let i = 0; i < 20; i += 1) await fixture.acquire('burst');
      await fixture.acquire('quiet');
      await serve(fixture, 1, {burst: 100});
      assert.equal(fixture.started[1].workspace, 'quiet');
    },
  },
  {
    name: 'a full queue sheds the lowest priority first',
    capacity: 1,
    maxQueued: 2,
    async run(fixture) {
      await fixture.acquire('a', {priority: 1});
      const low = await fixture.acquire('b', {priority: 3});
      const entries = [
        low,
        await fixture.acquire('a', {priority: 1}),
        await fixture.acquire('a', {priority: 1}),
      ];
      assert.deepEqual(entries.map(kindOf), [
        'overloaded',
        'waiting',
        'waiting',
      ]);
    },
  },
  {
    name: 'a cancelled request leaves the queue and never starts',
    capacity: 1,
    async run(fixture) {
      const first = await fixture.acquire('a');
      const abort = new AbortController();
      const cancelled = await fixture.acquire('a', {signal: abort.signal});
      const next = await fixture.acquire('a');
      abort.abort();
      await fixture.release(first);
      assert.deepEqual([cancelled, next].map(kindOf), [
        'request_timeout',
        'started',
      ]);
    },
  },
  {
    name: 'a request past its deadline is shed without running',
    capacity: 1,
    async run(fixture) {
      await fixture.acquire('a');
      const late = await fixture.acquire('a', {deadlineMs: 300});
      await fixture.tick(300);
      assert.equal(kindOf(late), 'overloaded');
      assert.equal(fixture.draft()?.waiting, 0);
    },
  },
  {
    name: 'a higher capacity admits waiting requests and a lower one is respected',
    capacity: 1,
    async run(fixture) {
      const entries = [
        await fixture.acquire('a'),
        await fixture.acquire('a'),
        await fixture.acquire('a'),
      ];
      fixture.state.capacity = 2;
      fixture.admission.refresh();
      await fixture.settle();
      assert.deepEqual(entries.map(kindOf), ['started', 'started', 'waiting']);
      fixture.state.capacity = 1;
      await fixture.release(entries[0]);
      assert.deepEqual(entries.map(kindOf), ['started', 'started', 'waiting']);
      await fixture.release(entries[1]);
      assert.equal(kindOf(entries[2]), 'started');
    },
  },
  {
    name: 'closing the admission fails waiting requests with shutting_down',
    capacity: 1,
    async run(fixture) {
      await fixture.acquire('a');
      const waiting = await fixture.acquire('a');
      await fixture.admission.close();
      await fixture.settle();
      assert.equal(kindOf(waiting), 'shutting_down');
    },
  },
];

for (const {name, run, ...options} of CASES) {
  test(`admission: ${name}`, async () => {
    const fixture = createFixture(options);
    try {
      await run(fixture);
    } finally {
      fixture.clock.uninstall();
    }
  });
}

const step = fc.oneof(
  fc.record({
    kind: fc.constant('acquire' as const),
    n: fc.nat(2),
    ms: fc.integer({min: 1, max: 500}),
  }),
  fc.record({
    kind: fc.constant('release' as const),
    n: fc.nat(20),
    ms: fc.constant(0),
  }),
  fc.record({
    kind: fc.constant('tick' as const),
    n: fc.constant(0),
    ms: fc.integer({min: 1, max: 200}),
  }),
  fc.record({
    kind: fc.constant('capacity' as const),
    n: fc.nat(3),
    ms: fc.constant(0),
  }),
  fc.record({
    kind: fc.constant('abort' as const),
    n: fc.nat(20),
    ms: fc.constant(0),
  }),
);

// Guards against slots that are lost or exceeded when requests end, time out or
// are cancelled in any order while the capacity changes.
test('admission: in any order no slot is exceeded, lost or left idle while a request waits', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 20, maxLength: 80}),
      async steps => {
        const fixture = createFixture({capacity: 2, maxQueued: 6});
        const entries: Array<{entry: Entry; abort: AbortController}> = [];
        try {
          for (const {kind, n, ms} of steps) {
            const before = fixture.draft()?.running ?? 0;
            if (kind === 'acquire') {
              const abort = new AbortController();
              entries.push({
                entry: await fixture.acquire(`w${n}`, {
                  priority: n,
                  deadlineMs: ms,
                  signal: abort.signal,
                }),
                abort,
              });
            }
            if (kind === 'release' && fixture.started[n])
              await fixture.release(fixture.started[n]);
            if (kind === 'tick') await fixture.tick(ms);
            if (kind === 'abort') entries[n]?.abort.abort();
            if (kind === 'capacity') fixture.state.capacity = n;
            fixture.admission.refresh();
            await fixture.settle();
            const {running, waiting} = fixture.draft() ?? {
              running: 0,
              waiting: 0,
            };
            assert.ok(
              running <= Math.max(before, fixture.state.capacity),
              'started above the capacity',
            );
            assert.ok(
              waiting === 0 || running >= fixture.state.capacity,
              'a slot is idle while a request waits',
            );
          }
          await fixture.tick(1_000);
          for (const entry of fixture.started) await fixture.release(entry);
          assert.ok(
            entries.every(({entry}) => entry.result !== undefined),
            'a request was lost',
          );
          assert.equal(fixture.draft()?.running, 0);
        } finally {
          fixture.clock.uninstall();
        }
      },
    ),
    {numRuns: 200, seed: 20_261},
  );
});
