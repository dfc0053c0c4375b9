import assert from 'node:assert/strict';
import {id, type HostId} from '@chivewick/common';
import fc from 'fast-check';
import {test} from 'node:test';
import {createFleet, type Fleet, type AdapterOverrides} from './fleet.js';

const HOSTS = 4;
const CONCURRENCY = 7;

type Step = (fleet: Fleet) => Promise<void> | void;

interface NamedStep {
  readonly name: string;
  readonly step: Step;
}

const host = fc.nat(HOSTS - 1);
const count = fc.integer({min: 1, max: 6});
const named = (name: string, step: Step): NamedStep => ({name, step});

const load: Array<fc.Arbitrary<NamedStep>> = [
  fc
    .tuple(host, count, fc.constantFrom(0, 0, 60, 400))
    .map(([h, n, tokens]) =>
      named(`acquire ${h} x${n} of ${tokens} tokens`, f =>
        f.acquire(h, n, tokens),
      ),
    ),
  fc
    .tuple(host, count)
    .map(([h, n]) => named(`release ${h} x${n}`, f => f.release(h, n))),
  fc
    .integer({min: 1, max: 400})
    .map(ms => named(`advance ${ms}`, f => f.time.advance(ms))),
];

/** Steps that begin or end a fault; any faults may be active at the same time. */
const faults: Array<fc.Arbitrary<NamedStep>> = [
  count.map(n =>
    named(`lose ${n} requests`, f => void (f.faults.loseRequests += n)),
  ),
  count.map(n =>
    named(`lose ${n} answers`, f => void (f.faults.loseAnswers += n)),
  ),
  count.map(n =>
    named(
      `lose ${n} write answers`,
      f => void (f.faults.loseWriteAnswers += n),
    ),
  ),
  count.map(n =>
    named(`${n} late writes`, f => void (f.faults.lateWrites += n)),
  ),
  fc
    .constantFrom(0, 50, 500)
    .map(ms => named(`slow ${ms}`, f => void (f.faults.slowMs = ms))),
  fc
    .boolean()
    .map(on => named(`outage ${on}`, f => void (f.faults.outage = on))),
  host.map(h =>
    named(`cut ${h}`, f => void f.faults.isolatedHosts.add(`host-${h}`)),
  ),
  fc.constant(named('heal', f => f.faults.isolatedHosts.clear())),
  host.map(h => named(`restart ${h}`, f => f.restart(h))),
  host.map(h => named(`pause ${h}`, f => f.pause(h))),
  host.map(h => named(`resume ${h}`, f => f.resume(h))),
  fc
    .tuple(host, fc.subarray([0, 1, 2, 3], {minLength: 1}))
    .map(([h, seen]) =>
      named(
        `${h} sees ${seen}`,
        f => void (f.members[h].live = seen.map(i => id<HostId>(`host-${i}`))),
      ),
    ),
  host.map(h =>
    named(
      `handover ${h}`,
      f =>
        void f.time.run(f.members[h].process, () =>
          f.members[h].limits.handover(),
        ),
    ),
  ),
  fc.tuple(host, fc.boolean()).map(([h, paused]) =>
    named(`remove ${h} for long, ${paused ? 'paused' : 'running'}`, async f => {
      if (paused) f.pause(h);
      f.faults.isolatedHosts.add(`host-${h}`);
      f.setHostListed(h, false);
      for (let second = 0; second < 60; second += 1) {
        f.acquire((h + 1) % HOSTS);
        await f.time.advance(1_000);
      }
      f.setHostListed(h, true);
      f.faults.isolatedHosts.clear();
      f.acquire(h, CONCURRENCY);
    }),
  ),
];

/** Restarts during rounds that two hosts run at the same time. */
const restarts: Array<fc.Arbitrary<NamedStep>> = [
  host.map(h =>
    named(`restart and acquire ${h}`, f => {
      f.restart(h);
      f.members[h].live = [id<HostId>(`host-${h}`)];
      f.acquire(h, CONCURRENCY);
    }),
  ),
  fc
    .integer({min: 1, max: 30})
    .map(ms => named(`advance ${ms}`, f => f.time.advance(ms))),
];

const limitChange = fc
  .constantFrom(2, 5, CONCURRENCY, 11, undefined)
  .map(n => named(`limit ${n}`, f => f.setLimit(n)));

function scenario(steps: Array<fc.Arbitrary<NamedStep>>, weight: number) {
  return fc.record({
    seed: fc.nat(1_000_000),
    steps: fc.array(
      fc.oneof(
        ...load.map(arbitrary => ({arbitrary, weight: 4})),
        ...steps.map(arbitrary => ({arbitrary, weight})),
      ),
      {minLength: 10, maxLength: 60, size: 'max'},
    ),
  });
}

/** Runs a scenario; throws with the first violation and the steps before it. */
async function runScenario(
  {seed, steps}: {seed: number; steps: NamedStep[]},
  overrides?: AdapterOverrides,
): Promise<void> {
  const fleet = createFleet({
    hosts: HOSTS,
    concurrency: CONCURRENCY,
    seed,
    overrides,
  });
  const names = steps.map(({name}) => name).join(', ');
  const verify = (name: string) => {
    fleet.check(name);
    assert.ok(
      fleet.violations.length === 0,
      `${fleet.violations[0]} (seed ${seed}: ${names})`,
    );
  };
  try {
    for (const {name, step} of steps) {
      await step(fleet);
      await fleet.time.settle();
      verify(name);
    }
    await fleet.time.advance(3_000);
    verify('end');
  } finally {
    await fleet.close();
  }
}

const CASES = [
  {
    name: 'random interleavings without faults',
    steps: [],
    weight: 0,
    runs: 150,
  },
  {name: 'faults and pairs of faults', steps: faults, weight: 1, runs: 300},
  {name: 'restarts and two rebalancers', steps: restarts, weight: 4, runs: 200},
  {name: 'changes of the limit', steps: [limitChange], weight: 1, runs: 150},
  {
    name: 'changes of the limit together with faults',
    steps: [...faults, limitChange],
    weight: 1,
    runs: 300,
  },
];

// Guards against use or allowances above the limit, caused by lost messages,
// late writes, restarts, suspensions or changed limits in any order.
for (const {name, steps, weight, runs} of CASES) {
  test(`limits: the sum in use never exceeds the limit under ${name}`, async () => {
    await fc.assert(
      fc.asyncProperty(scenario(steps, weight), input => runScenario(input)),
      {numRuns: runs, seed: 20_261, endOnFailure: false},
    );
  });
}

/** A holder that replies to a reclaim before it lowers its allowance. */
const lowersTooLate: AdapterOverrides = {
  peers: peers => ({
    ...peers,
    handle(method, handler) {
      if (method !== 'limits.reclaim') return peers.handle(method, handler);
      peers.handle(method, (params: never, from) => {
        const {view} = params as {
          view: {own: {concurrency: number; tokensPerSecond: number}};
        };
        setTimeout(() => void handler(params, from), 200);
        return {
          kind: 'pledged',
          keep: {concurrency: 0, tokensPerSecond: view.own.tokensPerSecond},
          idle: {concurrency: 0, tokensPerSecond: 0},
          draining: 0,
        } as never;
      });
    },
  }),
};

/** Reports every write as done, even if it takes effect later or never. */
const raisesTooEarly: AdapterOverrides = {
  platform: platform => ({
    ...platform,
    async put(key, value, expected) {
      const outcome = await platform.put(key, value, expected);
      if (outcome.kind === 'written') return outcome;
      return {
        kind: 'written',
        version: (expected === 'absent' ? 0 : expected) + 1,
      };
    },
  }),
};

const BROKEN = [
  {
    name: 'a holder lowers its allowance after the object is written',
    overrides: lowersTooLate,
  },
  {
    name: 'a host raises its allowance before the object is written',
    overrides: raisesTooEarly,
  },
];

// Guards against an invariant check that passes although the protocol is broken.
for (const {name, overrides} of BROKEN) {
  test(`limits: the invariant check fails when ${name}`, async () => {
    const details = await fc.check(
      fc.asyncProperty(scenario(faults, 1), input =>
        runScenario(input, overrides),
      ),
      {numRuns: 300, seed: 20_261, endOnFailure: true},
    );
    assert.equal(details.failed, true);
    assert.match(String(details.errorInstance), /in use of|allowed of/);
  });
}
