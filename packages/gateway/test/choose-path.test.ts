// Guards against many hosts that simultaneously choose the same engines, because
// their load reports are older than their choices.
import {createRandom, id, type EndpointId} from '@chivewick/common';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  choosePath,
  sampleFraction,
  tokenLayerCapacity,
  type PathRequest,
} from '../src/choose-path.js';
import type {EndpointState} from '../src/endpoint-table.js';
import {MODEL, PROFILE, record} from './harness.js';

const HOSTS = 74;
const STREAMS = 222;
const QUARTER = 20;
const PROMPT_TOKENS = 774;
const OUTPUT_TOKENS = 200;
const STREAM_TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS;

/** Engines per quarter of the model; two of them are fast. */
const COPIES = 10;
const DOMAINS = 4;

function createEngines(): EndpointState[] {
  return [0, 1, 2, 3].flatMap(quarter =>
    Array.from({length: COPIES}, (_, copy) =>
      stateOf(`e${quarter}-${copy}`, quarter, copy < 2),
    ),
  );
}

function stateOf(
  name: string,
  quarter: number,
  isFast: boolean,
): EndpointState {
  const from = quarter * QUARTER;
  return {
    record: record(name, '127.0.0.1:1', {
      service: MODEL,
      accelerator: isFast ? 'fast' : 'slow',
      layers: {from, to: from + QUARTER},
    }),
    domain: Number(name.slice(-1)) % DOMAINS,
    firstSeenAtMs: 0,
    isRestart: false,
    running: 0,
    starting: 0,
    othersStarting: 0,
    heldTokenLayers: 0,
    othersRunning: 0,
    othersTokenLayers: 0,
    latencyMs: 0,
    consecutiveFailures: 0,
    suspectedUntilMs: 0,
    fullUntilMs: 0,
    slowness: 1,
    slownessAtMs: 0,
    removed: false,
    leaving: false,
    pausedUntilMs: 0,
  };
}

const profile = {
  ...PROFILE,
  kinds: new Map([
    ['fast', {memoryMb: 72_000, pace: 2.4, readFactor: 3.2}],
    ['slow', {memoryMb: 43_000, pace: 5.6, readFactor: 2.7}],
  ]),
};

function requestOf(fraction: number, seed: number): PathRequest {
  return {
    promptTokens: PROMPT_TOKENS,
    outputTokens: OUTPUT_TOKENS,
    exclude: new Set<EndpointId>(),
    missingHosts: 0,
    sampleFraction: fraction,
    random: createRandom(seed),
    pipes: {utilization: () => 0, isSaturated: () => false},
    nowMs: 0,
    limitedBy: 'refusals',
  };
}

/** Streams on the busiest engine if each host sees only its own choices. */
function maxStreamsPerEngine(fraction: number): number {
  const chosen = new Map<EndpointId, number>();
  for (let host = 0; host < HOSTS; host++) {
    const engines = createEngines();
    const request = requestOf(fraction, host + 1);
    for (let stream = 0; stream < STREAMS / HOSTS; stream++)
      for (const {endpoint} of choosePath(engines, profile, request)!) {
        chosen.set(endpoint, (chosen.get(endpoint) ?? 0) + 1);
        engines.find(({record}) => record.id === endpoint)!.running += 1;
      }
  }
  return Math.max(...chosen.values());
}

test('paths: hosts that choose simultaneously do not all take the fastest engines', () => {
  const tokenLayers = tokenLayerCapacity(profile, 'fast', QUARTER);
  const capacity = tokenLayers / (QUARTER * STREAM_TOKENS);
  const unsampled = maxStreamsPerEngine(1);
  const sampled = maxStreamsPerEngine(sampleFraction(STREAMS));
  assert.ok(
    unsampled > 0.9 * capacity,
    `${unsampled} of ${capacity} without sampling`,
  );
  assert.ok(
    sampled < 0.7 * capacity,
    `${sampled} of ${capacity} with sampling`,
  );
});

test('paths: a small fleet with recent reports considers every engine', () => {
  assert.equal(sampleFraction(0), 1);
  assert.equal(sampleFraction(8), 1);
  assert.ok(sampleFraction(100) < 0.5);
});

test('paths: a path is found even if the sampled engines have none', () => {
  const [first, ...others] = createEngines();
  const only = [first, ...others.filter(e => e.record.id.endsWith('-3'))];
  for (let seed = 1; seed <= 20; seed++) {
    const path = choosePath(only, profile, requestOf(0.25, seed));
    assert.equal(path?.length, 4);
  }
  assert.equal(choosePath([first], profile, requestOf(0.25, 1)), undefined);
  assert.equal(first.record.id, id<EndpointId>('e0-0'));
});

// The fastest engine with the first layers had two thirds more streams than slots: they
// waited there for 1.5 s, while other engines with these layers had free slots.
test('paths: no stream begins at an engine whose slots are taken', () => {
  const engines = createEngines();
  const firsts = engines.filter(({record: {layers}}) => layers?.from === 0);
  const request = {...requestOf(1, 1), limitedBy: 'capacity'} as const;
  const chosen = choosePath(engines, profile, request)![0].endpoint;
  const busiest = firsts.find(({record: {id: name}}) => name === chosen)!;
  busiest.othersStarting = profile.slots;
  const next = choosePath(engines, profile, request)![0].endpoint;
  assert.notEqual(next, chosen);
  for (const state of firsts) state.othersStarting = profile.slots;
  assert.equal(choosePath(engines, profile, request), undefined);
  // A free slot may be waited for.
  const waits = choosePath(engines, profile, {
    ...request,
    limitedBy: 'nothing',
  });
  assert.ok(waits !== undefined);
});

test('paths: streams spread over the engines with the first layers before any slot is missing', () => {
  const engines = createEngines();
  const random = createRandom(3);
  const slots = 20;
  for (let n = 0; n < slots * COPIES * 0.85; n++) {
    const request = {
      ...requestOf(1, 1),
      random,
      limitedBy: 'capacity',
    } as const;
    const path = choosePath(engines, {...profile, slots}, request)!;
    for (const [index, {endpoint}] of path.entries()) {
      const state = engines.find(({record: {id: name}}) => name === endpoint)!;
      state.running += 1;
      if (index === 0) state.starting += 1;
    }
  }
  const most = Math.max(
    ...engines
      .filter(({record: {layers}}) => layers?.from === 0)
      .map(({starting}) => starting),
  );
  assert.ok(most <= slots, `${most} streams begin at one engine`);
});
