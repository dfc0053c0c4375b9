import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createHarness,
  grant,
  holding,
  type Harness,
} from './harness/harness.js';

function addEngines(harness: Harness, fencing: (n: number) => boolean): void {
  for (const domain of ['a', 'b'])
    for (const from of [0, 8, 16])
      harness.add({
        domain,
        fencing: fencing(harness.engines().length),
        state: holding(from, from + 8),
      });
}

/** Longer than a lease, a takeover and the subsequent loads together. */
const PAUSE_MS = 5_000;
/** Number of I/O steps of a holder that rolls out a new version. */
const STEPS = 100;
const STRIDE = 2;

// Guards against a holder that is paused at any step, loses the lease, and
// completes its outdated step when it resumes.
for (const fencing of [true, false])
  test(`a paused holder undoes nothing, ${fencing ? 'with' : 'without'} fencing`, async () => {
    for (let step = 0; step < STEPS; step += STRIDE) {
      const harness = createHarness({seed: step + 1});
      try {
        addEngines(harness, () => fencing);
        await checkPausedAt(harness, step);
      } finally {
        await harness.close();
      }
    }
  });

async function checkPausedAt(harness: Harness, step: number): Promise<void> {
  harness.start(3);
  await harness.run(3_000);
  const old = harness.holder()!;
  Object.assign(harness.lists, {version: 2, models: [grant('v2')]});
  old.gate.pauseAt(step);
  await harness.run(PAUSE_MS);
  Object.assign(harness.lists, {version: 3, models: [grant('v3')]});
  await harness.run(PAUSE_MS);
  assert.ok(old.gate.paused(), `step ${step} is not reached`);
  assert.notEqual(harness.holder()?.id, old.id, `step ${step}`);
  old.gate.resume();
  await harness.run(8_000);
  const loads = () => harness.engines().map(e => e.loads);
  const before = loads();
  await harness.run(2_000);
  assert.deepEqual(harness.findProblems(), [], `step ${step}`);
  assert.deepEqual(loads(), before, `step ${step}: oscillates`);
}

type Step = (harness: Harness) => void;

const named = (name: string, act: Step) =>
  Object.assign(act, {[fc.toStringMethod]: () => name});
const forMs = fc.constantFrom(300, 1_500, 3_000, 5_000);
const steps = fc.oneof(
  fc.record({host: fc.nat({max: 2}), forMs}).map(params =>
    named(`pause ${JSON.stringify(params)}`, harness => {
      const {gate} = harness.hosts[params.host];
      gate.pause();
      setTimeout(() => gate.resume(), params.forMs);
    }),
  ),
  fc
    .constantFrom(
      'loseResponses' as const,
      'loseWrites' as const,
      'delayWrites' as const,
    )
    .map(fault =>
      named(fault, harness => {
        harness.platform.faults[fault] += 2;
      }),
    ),
  forMs.map(ms =>
    named(`outage ${ms}`, harness => {
      harness.platform.faults.outage = true;
      setTimeout(() => (harness.platform.faults.outage = false), ms);
    }),
  ),
  fc.constant(
    named('new version', harness => {
      const version = harness.lists.version + 1;
      Object.assign(harness.lists, {version, models: [grant(`v${version}`)]});
    }),
  ),
  fc.record({engine: fc.nat({max: 5}), forMs}).map(params =>
    named(`restart ${JSON.stringify(params)}`, harness => {
      const engine = harness.engines()[params.engine];
      if (!engine.up) return;
      harness.stop(engine);
      setTimeout(() => harness.restart(engine), params.forMs);
    }),
  ),
  fc.nat({max: 5}).map(n =>
    named(`sessions on ${n}`, harness => {
      harness.engines()[n].sessions = 1;
      setTimeout(() => (harness.engines()[n].sessions = 0), 2_000);
    }),
  ),
);

const scripts = fc.array(fc.record({atMs: fc.nat({max: 6_000}), act: steps}), {
  minLength: 1,
  maxLength: 8,
});

// Guards against an interleaving of events that leaves an engine in a state
// other than the desired one, or moves the last engine of a range.
test('every interleaving ends in the desired state', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({min: 1, max: 1_000}),
      fc.array(fc.boolean(), {minLength: 6, maxLength: 6}),
      scripts,
      async (seed, fencing, script) => {
        const harness = createHarness({seed});
        try {
          addEngines(harness, n => fencing[n]);
          harness.start(3);
          await harness.run(3_000);
          for (const {atMs, act} of script)
            setTimeout(() => act(harness), atMs);
          await harness.run(30_000);
          assert.deepEqual(harness.findProblems(), []);
        } finally {
          await harness.close();
        }
      },
    ),
    {numRuns: 60, seed: 7},
  );
});
