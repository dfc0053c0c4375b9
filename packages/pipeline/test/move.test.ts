import assert from 'node:assert/strict';
import {test} from 'node:test';
import {id, type EndpointId} from '@chivewick/common';
import {
  collect,
  createFleet,
  makeRequest,
  NEVER,
  NO_STALLS,
  waitUntil,
  undisturbedTokens,
  type Fleet,
} from './fleet.js';

const ENGINE = {decodeUs: 500, prefillUs: 20};
const PROMPT = 'treatment draft for the bell tower. '.repeat(10);
const LEAVE_AT_TOKEN = 4;
const MAX_TOKENS = 40;

async function runWithLeaving(
  fleet: Fleet,
  stage: number,
  alsoAt: (count: number) => void = () => {},
) {
  const request = makeRequest({maxTokens: MAX_TOKENS, prompt: PROMPT});
  const [leaving] = fleet.engines[stage];
  const got = await collect(fleet.pipeline.run(request, NEVER), count => {
    if (count === LEAVE_AT_TOKEN) {
      leaving.setFaults({leaving: true});
      fleet.pipeline.moveRequestsFrom(id<EndpointId>(leaving.endpoint));
    }
    alsoAt(count);
  });
  assert.deepEqual(got.last?.type, 'done', JSON.stringify(got.last));
  assert.deepEqual(got.tokens, undisturbedTokens(request));
}

for (const [stage, name] of ['head', 'middle', 'last'].entries()) {
  // Guards against a move that recomputes the prompt or counts as a failure.
  test(`leaving: the KV of the ${name} stage is transferred between two tokens`, async () => {
    const fleet = await createFleet({
      engine: ENGINE,
      replicas: 2,
      pipeline: {limits: NO_STALLS},
    });
    try {
      await runWithLeaving(fleet, stage);
      const [leaving, successor] = fleet.engines[stage];
      // The successor computes two layers per token after the move; recomputing
      // the prompt of 360 bytes would add 720.
      assert.ok(successor.computed() > 0, 'the successor computed no token');
      assert.ok(
        successor.computed() < PROMPT.length,
        'the successor recomputed the prompt',
      );
      const failed = fleet.observed.filter(({kind}) => kind === 'failed');
      assert.deepEqual(failed, []);
      await waitUntil(() => leaving.sessions().length === 0);
    } finally {
      await fleet.close();
    }
  });

  // Guards against a move that leaves the request without a way to recover.
  test(`leaving: the successor of the ${name} stage crashes after the move`, async () => {
    const fleet = await createFleet({engine: ENGINE, replicas: 3});
    try {
      await runWithLeaving(fleet, stage, count => {
        if (count === LEAVE_AT_TOKEN + 12) fleet.engines[stage][1].crash();
      });
    } finally {
      await fleet.close();
    }
  });
}

// Guards against failing a request because its move is not possible.
test('leaving: without another endpoint the request completes on its route', async () => {
  const fleet = await createFleet({engine: ENGINE, replicas: 1});
  try {
    await runWithLeaving(fleet, 1);
  } finally {
    await fleet.close();
  }
});

// Guards against counting the refusal of a leaving endpoint as its failure.
test('leaving: a new request takes another route when its session is refused', async () => {
  const fleet = await createFleet({
    engine: ENGINE,
    replicas: 2,
    pipeline: {limits: NO_STALLS},
  });
  try {
    for (const [leaving] of fleet.engines) leaving.setFaults({leaving: true});
    const request = makeRequest();
    const got = await collect(fleet.pipeline.run(request, NEVER));
    assert.deepEqual(got.tokens, undisturbedTokens(request));
    const kinds = new Set(fleet.observed.map(({kind}) => kind));
    assert.ok(kinds.has('leaving') && !kinds.has('failed'));
  } finally {
    await fleet.close();
  }
});
