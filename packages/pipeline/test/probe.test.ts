import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {install} from '@sinonjs/fake-timers';
import {id, ok, type EndpointId, type RequestId} from '@chivewick/common';
import {createEngineApi, type SessionState} from '@chivewick/engines';
import {findBottleneck, probeStages, type ProbeAnswer} from '../src/probe.js';

const SESSION = id<RequestId>('r');
const LIMITS = {minProbeMs: 10, maxProbeMs: 200};

function stage(endpoint: string, from: number) {
  return {
    endpoint: id<EndpointId>(endpoint),
    address: endpoint,
    from,
    to: from + 1,
  };
}

function state(position: number): SessionState {
  return {epoch: 1, position, kvPositions: position, kvDigest: ''};
}

function answersAt(...positions: number[]): ProbeAnswer[] {
  return positions.map((position, i) => ({
    endpoint: id<EndpointId>(`s${i}`),
    state: ok(state(position)),
  }));
}

// Guards against treating an engine as failed because this host was paused: the
// answer has arrived when the timer fires late, but is read only after it.
test('probe: a stage whose answer is read after a pause is not unresponsive', async () => {
  const clock = install({
    toFake: ['setTimeout', 'clearTimeout', 'performance'],
  });
  const api = createEngineApi();
  let answer = () => {};
  const waiting = new Promise<void>(resolve => (answer = resolve));
  const engines: typeof api = {
    ...api,
    async session(address) {
      if (address === 's1') await waiting;
      return ok(state(3));
    },
  };
  try {
    const route = [stage('s0', 0), stage('s1', 1)];
    const probe = probeStages(engines, SESSION, route, LIMITS);
    await nextTurn();
    clock.jump(60);
    await nextTurn();
    answer();
    const answers = await probe;
    assert.deepEqual(
      answers.map(({state}) => state?.ok),
      [true, true],
    );
  } finally {
    clock.uninstall();
    await api.close();
  }
});

// Guards against waiting the full `maxProbeMs` for one unresponsive stage.
test('probe: an unresponsive stage does not delay the result', async () => {
  const clock = install({
    toFake: ['setTimeout', 'clearTimeout', 'performance'],
  });
  const api = createEngineApi();
  const engines: typeof api = {
    ...api,
    session: address =>
      address === 's1' ? new Promise(() => {}) : Promise.resolve(ok(state(3))),
  };
  try {
    const route = [stage('s0', 0), stage('s1', 1)];
    const probe = probeStages(engines, SESSION, route, LIMITS);
    await nextTurn();
    await clock.tickAsync(LIMITS.minProbeMs + 1);
    const answers = await probe;
    assert.deepEqual(
      answers.map(({state}) => state?.ok),
      [true, undefined],
    );
  } finally {
    clock.uninstall();
    await api.close();
  }
});

const POSITIONS = [
  {
    name: 'the middle stage is behind',
    at: [9, 8, 8],
    known: 9,
    bottleneck: 's1',
  },
  {name: 'the last stage is behind', at: [9, 9, 8], known: 9, bottleneck: 's2'},
  {
    name: 'the head has not run the last token',
    at: [8, 8, 8],
    known: 9,
    bottleneck: 's0',
  },
  {
    name: 'all stages are up to date',
    at: [9, 9, 9],
    known: 9,
    bottleneck: undefined,
  },
  {
    name: 'a replaced stage catches up',
    at: [4, 2, 9],
    known: 9,
    bottleneck: 's1',
  },
];

// Guards against replacing a healthy stage in place of the slow one.
for (const {name, at, known, bottleneck} of POSITIONS) {
  test(`probe: ${name}`, () => {
    assert.equal(findBottleneck(answersAt(...at), known), bottleneck);
  });
}
