import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fail, ok, type EndpointId} from '@chivewick/common';
import type {PipelineQuarantine} from '../src/index.js';
import {
  collect,
  createFleet,
  makeRequest,
  NEVER,
  NO_STALLS,
  undisturbedTokens,
} from './fleet.js';

function recordingQuarantine(banned: (fingerprint: string) => boolean) {
  const crashes: Array<{endpoint: EndpointId; fingerprints: string[]}> = [];
  const quarantine: PipelineQuarantine = {
    reportCrash(endpoint, fingerprints) {
      crashes.push({endpoint, fingerprints: [...fingerprints].sort()});
    },
    admitRetry: fingerprint =>
      banned(fingerprint)
        ? fail('quarantined', 'crashed two endpoints')
        : ok(undefined),
  };
  return {quarantine, crashes};
}

// Guards against counting one crash several times against the same requests.
test('quarantine: a crash is reported once, with all requests on the endpoint', async () => {
  const {quarantine, crashes} = recordingQuarantine(() => false);
  const fleet = await createFleet({
    engine: {decodeUs: 500},
    pipeline: {quarantine, limits: NO_STALLS},
  });
  try {
    let streaming = 0;
    const runs = ['a', 'b', 'c'].map(async fingerprint => {
      const request = makeRequest({fingerprint, maxTokens: 80});
      const got = await collect(fleet.pipeline.run(request, NEVER), count => {
        if (count === 3 && ++streaming === 3) fleet.engines[1][0].crash();
      });
      assert.deepEqual(got.tokens, undisturbedTokens(request));
    });
    await Promise.all(runs);
    assert.deepEqual(crashes, [
      {endpoint: 's1r0', fingerprints: ['a', 'b', 'c']},
    ]);
  } finally {
    await fleet.close();
  }
});

// Guards against suspecting requests when an endpoint only stops answering.
test('quarantine: a frozen endpoint is not reported as crashed', async () => {
  const {quarantine, crashes} = recordingQuarantine(() => false);
  const fleet = await createFleet({pipeline: {quarantine}});
  try {
    const request = makeRequest({maxTokens: 16});
    const got = await collect(fleet.pipeline.run(request, NEVER), count => {
      if (count === 3) fleet.engines[1][0].setFaults({freeze: true});
    });
    assert.deepEqual(got.tokens, undisturbedTokens(request));
    assert.deepEqual(crashes, []);
  } finally {
    await fleet.close();
  }
});

// Guards against a request that crashes all replicas, one recovery after another.
test('quarantine: a banned request is not recovered again', async () => {
  const crashesOf = new Map<string, number>();
  const {quarantine, crashes} = recordingQuarantine(
    fingerprint => (crashesOf.get(fingerprint) ?? 0) >= 2,
  );
  const counting: PipelineQuarantine = {
    ...quarantine,
    reportCrash(endpoint, fingerprints) {
      for (const f of fingerprints)
        crashesOf.set(f, (crashesOf.get(f) ?? 0) + 1);
      return quarantine.reportCrash(endpoint, fingerprints, new Set());
    },
  };
  const fleet = await createFleet({
    pipeline: {quarantine: counting, limits: NO_STALLS},
  });
  try {
    for (const engine of fleet.engines[1])
      engine.setFaults({crashOn: 'POISON'});
    const request = makeRequest({prompt: 'a POISON rota'});
    const got = await collect(fleet.pipeline.run(request, NEVER));
    assert.equal(got.last?.type, 'failed');
    assert.equal(crashes.length, 2);
  } finally {
    await fleet.close();
  }
});

// Guards against recoveries that ignore the shared retry budget.
test('retry budget: a refused recovery fails the request', async () => {
  const fleet = await createFleet({
    engine: {decodeUs: 500},
    pipeline: {retryBudget: {take: () => false}},
  });
  try {
    const request = makeRequest({maxTokens: 16});
    const got = await collect(fleet.pipeline.run(request, NEVER), count => {
      if (count === 3) fleet.engines[1][0].crash();
    });
    assert.equal(got.last?.type, 'failed');
    const expected = undisturbedTokens(request);
    assert.deepEqual(got.tokens, expected.slice(0, got.tokens.length));
  } finally {
    await fleet.close();
  }
});
