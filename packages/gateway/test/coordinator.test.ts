// Guards against the loads of a large fleet: engines that are granted beyond their
// memory, pipes that are granted beyond their bandwidth, retries beyond the share of
// a failure domain, and grants of a coordinator that does not know the load yet.
import {
  createSilentLogger,
  id,
  type EndpointId,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
import assert from 'node:assert/strict';
import {beforeEach, mock, test} from 'node:test';
import type {PathAnswer, PathAsk} from '../src/coordination/messages.js';
import {tokenLayerCapacity} from '../src/choose-path.js';
import {createEndpointTable} from '../src/endpoint-table.js';
import {
  createTestCoordinator,
  SELF,
  WARM_UP_MS,
} from './coordinator-harness.js';
import {MODEL, PROFILE, record} from './harness.js';

const HOST = id<HostId>('entry');
const HALF = 40;
const PROMPT_TOKENS = 774;
const OUTPUT_TOKENS = 200;

let nowMs = 0;
beforeEach(() => {
  nowMs = 0;
  mock.restoreAll();
  mock.method(performance, 'now', () => nowMs);
});

/** Two copies of each half of the model; `domains` of the four engines. */
function startCoordinator(domains = ['a', 'a', 'a', 'a']) {
  const table = createEndpointTable(createSilentLogger(), () => 2_000);
  for (const [index, domain] of domains.entries()) {
    const from = index % 2 === 0 ? 0 : HALF;
    table.upsert(
      record(`e${index}`, `127.0.0.1:${index + 1}`, {
        service: MODEL,
        accelerator: 'card',
        failureDomain: id<FailureDomain>(domain),
        layers: {from, to: from + HALF},
      }),
    );
  }
  const {coordinator, retries, verified} = createTestCoordinator(table);
  nowMs += WARM_UP_MS;
  return {coordinator, retries, table, verified};
}

let lastId = 0;
function askOf(changes: Partial<PathAsk> = {}): PathAsk {
  lastId += 1;
  return {
    host: HOST,
    id: lastId,
    service: MODEL,
    promptTokens: PROMPT_TOKENS,
    outputTokens: OUTPUT_TOKENS,
    exclude: [],
    full: [],
    isRetry: false,
    released: [],
    ...changes,
  };
}

test('coordinator: engines are granted up to their memory, in equal parts', () => {
  const {coordinator, table} = startCoordinator();
  let granted = 0;
  while (coordinator.answer(askOf()).kind === 'path') granted += 1;
  const capacity = tokenLayerCapacity(PROFILE, 'card', HALF);
  const perEngine = Math.floor(
    capacity / (HALF * (PROMPT_TOKENS + OUTPUT_TOKENS)),
  );
  assert.equal(granted, 2 * perEngine);
  for (const state of table.all()) {
    assert.equal(state.othersRunning, perEngine);
    assert.ok(state.othersTokenLayers <= capacity);
  }
});

test('coordinator: without capacity it says whether waiting may help', () => {
  const crowded = startCoordinator().coordinator;
  while (crowded.answer(askOf()).kind === 'path') continue;
  const full = crowded.answer(askOf());
  assert.equal(full.kind === 'no_capacity' && full.mayFree, true);
  const {coordinator, table} = startCoordinator();
  table.remove(id<EndpointId>('e0'), 2);
  table.remove(id<EndpointId>('e2'), 2);
  const lost = coordinator.answer(askOf());
  assert.equal(lost.kind === 'no_capacity' && lost.mayFree, false);
  assert.equal(lost.kind === 'no_capacity' && lost.layers, '0-40');
});

test('coordinator: an ended path makes room for the next one', () => {
  const {coordinator} = startCoordinator();
  const ids: number[] = [];
  for (;;) {
    const ask = askOf();
    if (coordinator.answer(ask).kind !== 'path') break;
    ids.push(ask.id);
  }
  const next = askOf({released: [ids[0]]});
  assert.equal(coordinator.answer(next).kind, 'path');
});

test('coordinator: a pipe takes no more streams than it can carry', () => {
  const {coordinator} = startCoordinator(['a', 'b', 'a', 'b']);
  let crossings = 0;
  for (let ms = 0; ms < 5_000; ms += 5) {
    nowMs += 5;
    const ask = askOf();
    if (coordinator.answer(ask).kind === 'path') crossings += 1;
    coordinator.grants.release(HOST, [ask.id]);
  }
  const tokens = PROMPT_TOKENS + OUTPUT_TOKENS;
  const bitsPerS = PROFILE.pipeMbps * 1e6;
  const perS = bitsPerS / (tokens * PROFILE.activationBytes * 8);
  // At the end, transfers of three quarters of a gap goal may be left, and one more.
  const bound = (5 + 0.15) * perS + 1;
  assert.ok(crossings <= bound, `${crossings} of ${bound}`);
  assert.ok(crossings > 0.7 * 5 * perS, `${crossings} of ${bound}`);
});

test('coordinator: the streams of other failure domains fill a pipe too', () => {
  const {coordinator} = startCoordinator(['a', 'b', 'a', 'b']);
  const [a, b] = ['a', 'b'].map(name => id<FailureDomain>(name));
  assert.equal(coordinator.answer(askOf()).kind, 'path');
  coordinator.remote.replace(id<HostId>('other'), {
    loads: [],
    started: 0,
    pipes: [{from: b, to: a, utilization: 0.95}],
  });
  assert.equal(coordinator.answer(askOf()).kind, 'no_capacity');
});

test('coordinator: retries stay within the share of the failure domain', () => {
  const {coordinator, retries: pool} = startCoordinator();
  const requests = 100;
  pool.merge({
    host: HOST,
    startedAtMs: 0,
    msAgo: 0,
    knownMs: 10_000,
    counts: [{service: MODEL, requests, share: 10, granted: []}],
  });
  let retries = 0;
  for (let n = 0; n < requests; n++) {
    const ask = askOf({isRetry: true});
    if (coordinator.answer(ask).kind === 'path') retries += 1;
    coordinator.grants.release(HOST, [ask.id]);
  }
  assert.ok(retries > 0);
  assert.ok(retries <= 0.2 * requests + 10, `${retries}`);
});

test('coordinator: it grants nothing to others before it knows the load', () => {
  const {coordinator} = startCoordinator();
  nowMs -= WARM_UP_MS;
  assert.equal(coordinator.answer(askOf()).kind, 'not_ready');
  assert.equal(coordinator.answer(askOf({host: SELF})).kind, 'path');
});

const usedBy = (answer: PathAnswer) =>
  answer.kind === 'path' ? answer.stages.map(stage => stage.endpoint) : [];

test('coordinator: an endpoint that refused one host is granted to others', () => {
  const {coordinator, verified} = startCoordinator();
  const e0 = id<EndpointId>('e0');
  const refused = coordinator.answer(askOf({full: [e0]}));
  assert.equal(refused.kind, 'path');
  assert.ok(!usedBy(refused).includes(e0));
  const used = [1, 2].flatMap(() => usedBy(coordinator.answer(askOf())));
  assert.ok(used.includes(e0));
  assert.deepEqual(verified, [e0]);
});

test('coordinator: an endpoint that does not respond to a host is avoided until it is checked', () => {
  const {coordinator, verified} = startCoordinator();
  const e0 = id<EndpointId>('e0');
  coordinator.avoid([e0]);
  assert.deepEqual(verified, [e0]);
  const first = [1, 2].flatMap(() => usedBy(coordinator.answer(askOf())));
  assert.ok(first.length > 0 && !first.includes(e0));
  nowMs += 300;
  const later = [1, 2].flatMap(() => usedBy(coordinator.answer(askOf())));
  assert.ok(later.includes(e0));
});

test('coordinator: loads of the domain include its own streams', () => {
  const {coordinator, table} = startCoordinator();
  coordinator.answer(askOf());
  table.get(id<EndpointId>('e0'))!.running += 3;
  const running = coordinator
    .domainLoads()
    .reduce((sum, load) => sum + load.running, 0);
  assert.equal(running, 2 + 3);
});
