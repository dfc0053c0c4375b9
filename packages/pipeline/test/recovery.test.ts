import {fail} from '@chivewick/common';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineStandIn} from '@chivewick/stand-ins';
import type {RecoveryLimits} from '../src/index.js';
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

const ENGINE = {decodeUs: 500, prefillUs: 20, graceMs: 3_600_000};
const LONG_PROMPT = 'condition report of the north gate. '.repeat(12);
const FAULT_AT_TOKEN = 4;

async function withFleet(
  check: (fleet: Fleet) => Promise<void>,
  replicas = 3,
  limits: Partial<RecoveryLimits> = {},
) {
  const fleet = await createFleet({
    engine: ENGINE,
    replicas,
    pipeline: {limits},
  });
  try {
    await check(fleet);
  } finally {
    await fleet.close();
  }
}

/** Runs one request, injects faults, and checks every token and position. */
async function checkTokens(
  fleet: Fleet,
  onToken: (count: number) => void,
  fields = {},
) {
  const request = makeRequest({maxTokens: 16, ...fields});
  const got = await collect(fleet.pipeline.run(request, NEVER), onToken);
  assert.deepEqual(got.last?.type, 'done', JSON.stringify(got.last));
  assert.deepEqual(got.tokens, undisturbedTokens(request));
  const first = Buffer.byteLength(request.prompt);
  assert.deepEqual(
    got.positions,
    got.tokens.map((_, i) => first + i),
  );
  return request;
}

// The tests below guard against missing, duplicated or wrong tokens after a fault.
const STAGES = ['head', 'middle', 'last'];
const FAULTS: Array<{name: string; cause: (engine: EngineStandIn) => void}> = [
  {name: 'kill', cause: engine => engine.crash()},
  {name: 'freeze', cause: engine => engine.setFaults({freeze: true})},
  {name: 'slow engine', cause: engine => engine.setFaults({slow: 200})},
  {name: 'slow link', cause: engine => engine.setFaults({linkDelayMs: 400})},
];

for (const [stage, name] of STAGES.entries()) {
  for (const fault of FAULTS) {
    test(`recovery: ${fault.name} of the ${name} stage during decode`, () =>
      withFleet(async fleet => {
        await checkTokens(fleet, count => {
          if (count === FAULT_AT_TOKEN) fault.cause(fleet.engines[stage][0]);
        });
      }));
  }
  for (const fault of ['crashAfterSteps', 'freezeAfterSteps'] as const) {
    test(`recovery: ${fault} of the ${name} stage during prefill`, () =>
      withFleet(async fleet => {
        fleet.engines[stage][0].setFaults({[fault]: 3});
        await checkTokens(fleet, () => {}, {prompt: LONG_PROMPT});
      }));
  }
  test(`recovery: late frames after the ${name} stage is replaced`, () =>
    withFleet(async fleet => {
      const engine = fleet.engines[stage][0];
      await checkTokens(fleet, count => {
        if (count === FAULT_AT_TOKEN) engine.setFaults({freeze: true});
        if (count === FAULT_AT_TOKEN + 3) engine.setFaults({freeze: false});
      });
    }));
  test(`recovery: the ${name} stage crashes, then its replacement`, () =>
    withFleet(async fleet => {
      await checkTokens(fleet, count => {
        if (count === 3) fleet.engines[stage][0].crash();
        if (count === 7) fleet.engines[stage][1].crash();
      });
    }));
}

test('recovery: frames of an earlier epoch or position are dropped', () =>
  withFleet(async fleet => {
    fleet.engines[0][0].setFaults({staleFrames: true});
    fleet.engines[0][1].setFaults({staleFrames: true});
    await checkTokens(fleet, count => {
      if (count === FAULT_AT_TOKEN) fleet.engines[0][0].crash();
    });
  }));

test('recovery: two stages fail together in different ways', () =>
  withFleet(async fleet => {
    await checkTokens(fleet, count => {
      if (count !== FAULT_AT_TOKEN) return;
      fleet.engines[0][0].setFaults({freeze: true});
      fleet.engines[2][0].crash();
    });
  }));

// Guards against mixing up frames of concurrent requests.
test('recovery: interleaved answers of several requests are not mixed up', () =>
  withFleet(async fleet => {
    for (const engine of fleet.all) engine.setFaults({jitterMs: 8});
    const runs = Array.from({length: 8}, () => checkTokens(fleet, () => {}));
    await Promise.all(runs);
  }));

// Guards against recomputing the prompt on stages that the fault did not affect.
test('recovery: stages that survive keep their KV', () =>
  withFleet(
    async fleet => {
      const [[, ,], [, ,], [last]] = fleet.engines;
      let before = 0;
      const request = await checkTokens(fleet, count => {
        if (count !== FAULT_AT_TOKEN) return;
        before = last.computed();
        fleet.engines[1][0].crash();
      });
      // Each later token runs two layers once; recomputing the prompt adds more.
      const after = last.computed() - before;
      const perToken = 2 * (16 - FAULT_AT_TOKEN + 2);
      assert.ok(after <= perToken, `${after} computations for ${request.id}`);
    },
    3,
    NO_STALLS,
  ));

// Guards against routing new requests to an endpoint that just failed.
test('recovery: a failed endpoint is reported to the route table', () =>
  withFleet(
    async fleet => {
      await checkTokens(fleet, count => {
        if (count === FAULT_AT_TOKEN) fleet.engines[1][0].crash();
      });
      const failed = fleet.observed.flatMap(observation =>
        observation.kind === 'failed' ? [observation.endpoint] : [],
      );
      assert.deepEqual(failed, ['s1r0']);
    },
    3,
    NO_STALLS,
  ));

// Guards against treating stages as failed when this host is briefly isolated.
test('recovery: no stage is reported as failed if none answers for a short time', () =>
  withFleet(async fleet => {
    const slow = fleet.engines[1][0];
    let unansweredProbes = 2 * fleet.engines.length;
    const host = fleet.host(
      {},
      {
        session(address, session, timeoutMs) {
          if (unansweredProbes === 0)
            return fleet.api.session(address, session, timeoutMs);
          unansweredProbes -= 1;
          if (unansweredProbes === 0) slow.setFaults({freeze: false});
          return Promise.resolve(fail('deadline_exceeded', 'no answer'));
        },
      },
    );
    const request = makeRequest({maxTokens: 16});
    const got = await collect(host.run(request, NEVER), count => {
      if (count === FAULT_AT_TOKEN) slow.setFaults({freeze: true});
    });
    assert.deepEqual(got.tokens, undisturbedTokens(request));
    assert.equal(unansweredProbes, 0);
    const reportedFailed = fleet.observed.filter(({kind}) => kind === 'failed');
    assert.deepEqual(reportedFailed, []);
  }, 1));

// Guard against recoveries that never end and against a failure of the wrong kind.
const BOUNDS = [
  {
    name: 'no endpoint is left',
    replicas: 3,
    limits: {silenceMs: 300},
    cause: (fleet: Fleet) => fleet.engines[1].forEach(e => e.crash()),
    kind: 'no_route',
  },
  {
    name: 'a stage without a substitute makes no progress',
    replicas: 1,
    limits: {silenceMs: 300},
    cause: (fleet: Fleet) => fleet.engines[1][0].setFaults({slow: 1e6}),
    kind: 'deadline_exceeded',
  },
  {
    name: 'its recoveries are used up',
    replicas: 3,
    limits: {maxRecoveries: 1},
    cause: (fleet: Fleet, count: number) =>
      fleet.engines[1][count - FAULT_AT_TOKEN]?.crash(),
    kind: 'endpoint_failed',
  },
];

for (const {name, replicas, limits, cause, kind} of BOUNDS) {
  test(`recovery: a request fails when ${name}`, () =>
    withFleet(async fleet => {
      const request = makeRequest({maxTokens: 40});
      const events = fleet.host(limits).run(request, NEVER);
      const got = await collect(events, count => {
        if (count >= FAULT_AT_TOKEN) cause(fleet, count);
      });
      assert.equal(got.last?.type === 'failed' && got.last.err.kind, kind);
      const expected = undisturbedTokens(request);
      assert.deepEqual(got.tokens, expected.slice(0, got.tokens.length));
    }, replicas));
}

// Guards against sessions that stay on the engines after a cancel. The grace
// period of the engines is too long to free them here.
test('cancel: engines free the session when the caller disconnects', () =>
  withFleet(async fleet => {
    const caller = new AbortController();
    const pipeline = fleet.host({resumeWindowMs: 0});
    const request = makeRequest({maxTokens: 500});
    const got = await collect(pipeline.run(request, caller.signal), count => {
      if (count === FAULT_AT_TOKEN) caller.abort();
    });
    assert.ok(got.tokens.length < 500);
    await waitUntil(() => fleet.all.every(e => e.sessions().length === 0));
    assert.equal(pipeline.activeRequests(), 0);
  }));
