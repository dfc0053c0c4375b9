import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {checkRuns, reportedResult} from './checks.js';
import {createHarness, type Harness} from './harness/index.js';

const HOSTS = 4;
const KEYS = ['a', 'b', 'c', 'd'];
const MAX_STEP_TIME_MS = 4_000;

type Step = (harness: Harness) => void;

const host = fc.nat({max: HOSTS - 1});
const faultCount = fc.integer({min: 1, max: 3});
/** Most steps happen in the first 60 ms, where commits and sends overlap. */
const stepTime = fc.oneof(
  {weight: 3, arbitrary: fc.nat({max: 60})},
  {weight: 2, arbitrary: fc.nat({max: 600})},
  {weight: 1, arbitrary: fc.nat({max: MAX_STEP_TIME_MS})},
);

const callStep = fc
  .record({
    host,
    key: fc.constantFrom(...KEYS),
    deadlineMs: fc.constantFrom(30, 150, 1_000, 4_000),
  })
  .map(call =>
    Object.assign(
      (harness: Harness) =>
        void harness.call(call.host, call.key, call.deadlineMs),
      {[fc.toStringMethod]: () => `call ${JSON.stringify(call)}`},
    ),
  );

const storeFault = fc.constantFrom(
  'loseAnswers' as const,
  'loseWrites' as const,
  'delayWrites' as const,
);
const netFault = fc.constantFrom(
  'loseRequests' as const,
  'loseResponses' as const,
  'delayRequests' as const,
);
const serviceFault = fc.constantFrom(
  'refuse' as const,
  'freezeBefore' as const,
  'freezeAfter' as const,
  'crashAfter' as const,
);
const temporaryFault = (
  name: string,
  begin: (harness: Harness, host: number) => void,
  end: (harness: Harness, host: number) => void,
) =>
  fc.record({host, forMs: fc.constantFrom(50, 500, 1_500, 3_000)}).map(given =>
    labelStep(`${name} ${JSON.stringify(given)}`, harness => {
      begin(harness, given.host);
      setTimeout(() => end(harness, given.host), given.forMs);
    }),
  );

function labelStep(text: string, step: Step): Step {
  return Object.assign(step, {[fc.toStringMethod]: () => text});
}

const faultStep: fc.Arbitrary<Step> = fc.oneof(
  temporaryFault(
    'pause',
    (harness, n) => harness.pause(n),
    (harness, n) => harness.resume(n),
  ),
  temporaryFault(
    'kill and restart',
    (harness, n) => harness.kill(n),
    (harness, n) => harness.restart(n),
  ),
  temporaryFault(
    'isolate',
    (harness, n) => harness.net.isolated.add(harness.hosts[n]),
    (harness, n) => harness.net.isolated.delete(harness.hosts[n]),
  ),
  temporaryFault(
    'outage',
    harness => (harness.store.faults.outage = true),
    harness => (harness.store.faults.outage = false),
  ),
  host.map(n =>
    labelStep(`planned stop of ${n}`, harness => {
      void harness.ledger(n).handover();
    }),
  ),
  fc.tuple(storeFault, faultCount).map(([name, count]) =>
    labelStep(`${name} ${count}`, harness => {
      harness.store.faults[name] += count;
    }),
  ),
  fc.tuple(netFault, faultCount).map(([name, count]) =>
    labelStep(`${name} ${count}`, harness => {
      harness.net[name] += count;
    }),
  ),
  fc.tuple(serviceFault, faultCount).map(([name, count]) =>
    labelStep(`${name} ${count}`, harness => {
      harness.service.faults[name] += count;
    }),
  ),
);

const atTime = (step: fc.Arbitrary<Step>) => fc.tuple(stepTime, step);

describe('ledger under random interleavings', () => {
  // Guards against an order of commits, losses, takeovers, late messages and
  // retries in which a call runs twice or `not_run` is reported for a call that
  // ran.
  it('runs at most once and reports not_run truthfully', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.array(atTime(callStep), {minLength: 2, maxLength: 16}),
        fc.array(atTime(faultStep), {maxLength: 5}),
        async (seed, calls, faults) => {
          const harness = createHarness({hosts: HOSTS, seed});
          try {
            for (const [atMs, step] of [...calls, ...faults])
              setTimeout(() => step(harness), atMs);
            await harness.run(45_000);
            checkRuns(harness);
            await repeatCalls(harness);
          } finally {
            await harness.close();
          }
        },
      ),
      {seed: 20_261_204, numRuns: 1_500, endOnFailure: true},
    );
  });
});

/** Ends all faults and checks that a running host answers every key correctly. */
async function repeatCalls(harness: Harness): Promise<void> {
  const faults = [harness.store.faults, harness.service.faults];
  for (const counts of faults as unknown as Record<string, unknown>[])
    for (const [name, value] of Object.entries(counts))
      if (typeof value === 'number' && name !== 'latencyMs') counts[name] = 0;
  Object.assign(harness.net, {
    loseRequests: 0,
    loseResponses: 0,
    delayRequests: 0,
  });
  const again = KEYS.map(key => harness.call(0, key));
  await harness.run(20_000);
  checkRuns(harness);
  for (const call of again) assert.notEqual(reportedResult(call), 'no answer');
}
