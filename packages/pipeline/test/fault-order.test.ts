import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {id, type EndpointId} from '@chivewick/common';
import type {EngineStandIn} from '@chivewick/stand-ins';
import {
  collect,
  createFleet,
  makeRequest,
  NEVER,
  unbalancedStarts,
  undisturbedTokens,
  type Fleet,
} from './fleet.js';

const MAX_TOKENS = 24;
const RUNS = 25;
const SEED = 7;

/** Faults affect replicas 0 and 1 of a stage; replica 2 stays healthy. */
const CAUSES = {
  kill: (engine: EngineStandIn) => engine.crash(),
  restart: (engine: EngineStandIn) => {
    engine.crash();
    return engine.restart();
  },
  freeze: (engine: EngineStandIn) => engine.setFaults({freeze: true}),
  thaw: (engine: EngineStandIn) => engine.setFaults({freeze: false, slow: 1}),
  slow: (engine: EngineStandIn) => engine.setFaults({slow: 100}),
  stale: (engine: EngineStandIn) => engine.setFaults({staleFrames: true}),
  leave: (engine: EngineStandIn, fleet: Fleet) => {
    engine.setFaults({leaving: true});
    fleet.pipeline.moveRequestsFrom(id<EndpointId>(engine.endpoint));
  },
};

const step = fc.record({
  atToken: fc.integer({min: 1, max: MAX_TOKENS - 2}),
  stage: fc.nat(2),
  replica: fc.nat(1),
  cause: fc.constantFrom(
    ...(Object.keys(CAUSES) as Array<keyof typeof CAUSES>),
  ),
});

const scenario = fc.record({
  steps: fc.array(step, {minLength: 1, maxLength: 6}),
  /** Steps after which the middle engine crashes in prefill; 0 for never. */
  prefillCrash: fc.nat(4),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

/** Scenarios that failed before and are fixed. */
const KNOWN: Array<[Scenario]> = [
  [
    {
      // A move that began before a recovery imported KV under the new epoch.
      steps: [
        {atToken: 1, stage: 1, replica: 0, cause: 'leave'},
        {atToken: 1, stage: 0, replica: 0, cause: 'kill'},
      ],
      prefillCrash: 0,
    },
  ],
];

async function checkScenario({steps, prefillCrash}: Scenario) {
  const fleet = await createFleet({
    engine: {decodeUs: 300, sampleByEpoch: true},
  });
  try {
    fleet.engines[1][0].setFaults({crashAfterSteps: prefillCrash});
    const requests = [0, 1].map(n =>
      makeRequest({maxTokens: MAX_TOKENS, prompt: `rota ${n} `.repeat(20)}),
    );
    const [got, other] = await Promise.all([
      collect(fleet.pipeline.run(requests[0], NEVER), async count => {
        for (const {atToken, stage, replica, cause} of steps)
          if (atToken === count)
            await CAUSES[cause](fleet.engines[stage][replica], fleet);
      }),
      collect(fleet.pipeline.run(requests[1], NEVER)),
    ]);
    for (const [i, run] of [got, other].entries()) {
      assert.deepEqual(run.last?.type, 'done', JSON.stringify(run.last));
      assert.deepEqual(run.tokens, undisturbedTokens(requests[i], run.epochs));
    }
    assert.deepEqual(
      unbalancedStarts(fleet.observed),
      [],
      'started requests without a finish',
    );
  } finally {
    await fleet.close();
  }
}

// Guards invariants I1 and I2: no order of faults skips, duplicates or mixes up
// tokens, and a request completes if each stage keeps one healthy endpoint. The
// engines sample different tokens in each epoch, so KV of a token that the caller
// never received would change all later tokens.
test('recovery: tokens are exact after any order of faults', async () => {
  await fc.assert(fc.asyncProperty(scenario, checkScenario), {
    examples: KNOWN,
    numRuns: RUNS,
    seed: SEED,
  });
});
