import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createRandom,
  failure,
  id,
  type EndpointId,
  type Failure,
  type FailureDomain,
} from '@chivewick/common';
import type {EngineStatus, Route} from '@chivewick/engines';
import {createDirectory, promptBlocks, type Directory} from '../src/index.js';
import {entryOf, MODEL, requestOf, statusOf} from './fixtures.js';

const ALL = {from: 0, to: 24};
const FIRST = {from: 0, to: 12};
const SECOND = {from: 12, to: 24};
const IDLE = {running: 0, queued: 0, kvFree: 1e5, kvTotal: 1e5, ageMs: 0};
const CHOICES = 40;

interface Clock {
  nowMs: number;
}

function directoryOf(
  statuses: readonly EngineStatus[],
  clock: Clock = {nowMs: 0},
): Directory {
  const directory = createDirectory({
    random: createRandom(1),
    now: () => clock.nowMs,
  });
  for (const status of statuses) {
    const entry = entryOf(status);
    directory.add({...entry, id: status.endpoint, listedLeaving: false});
    directory.report(status);
  }
  return directory;
}

/** Endpoint names, most often chosen first. */
function endpointsByChoices(directory: Directory, change = {}): string[] {
  const counts = new Map<string, number>();
  for (let choice = 0; choice < CHOICES; choice++) {
    const res = directory.choose(requestOf(change));
    assert.ok(res.ok);
    for (const {endpoint} of res.value)
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
  }
  return [...counts].sort((a, b) => b[1] - a[1]).map(([name]) => name);
}

// Guards against a cost that ignores one of the properties of an endpoint.
const PREFERENCES: {
  name: string;
  good: Partial<EngineStatus>;
  bad: Partial<EngineStatus>;
  request?: object;
}[] = [
  {name: 'faster', good: {decodeUs: 100}, bad: {decodeUs: 200}},
  {name: 'idle', good: {}, bad: {load: {...IDLE, running: 40}}},
  {
    name: 'not queued',
    good: {},
    bad: {load: {...IDLE, queued: 40, running: 1}},
  },
  {
    name: 'with the adapter loaded',
    good: {adapters: ['formal']},
    bad: {decodeUs: 50},
    request: {adapter: 'formal'},
  },
  {
    name: 'with free KV cache',
    good: {load: IDLE},
    bad: {load: {...IDLE, kvFree: 10}},
  },
];
for (const {name, good, bad, request} of PREFERENCES)
  test(`the endpoint ${name} is preferred`, () => {
    const directory = directoryOf([
      statusOf('bad', ALL, bad),
      statusOf('good', ALL, good),
    ]);
    assert.deepEqual(endpointsByChoices(directory, request), ['good']);
  });

// Guards against overloading an endpoint whose report predates own requests.
test('requests started since a report count until a report includes them', () => {
  const clock = {nowMs: 0};
  const one = statusOf('one', ALL, {load: IDLE});
  const directory = directoryOf([one, statusOf('two', ALL)], clock);
  clock.nowMs = 100;
  const endpoint = id<EndpointId>('one');
  for (let start = 0; start < 30; start++)
    directory.observe({kind: 'started', endpoint});
  assert.deepEqual(endpointsByChoices(directory), ['two']);
  // A report that was measured before the starts must not hide them.
  clock.nowMs = 200;
  directory.report({...one, load: {...IDLE, ageMs: 150}});
  assert.deepEqual(endpointsByChoices(directory), ['two']);
  // A report that was measured after them includes those that still run.
  directory.report({...one, load: {...IDLE, ageMs: 50}});
  assert.equal(endpointsByChoices(directory).length, 2);
});

// Guards against new requests to a leaving endpoint because of a late report.
test('a leaving observation outlasts older live reports of the same instance', () => {
  const one = statusOf('one', ALL);
  const directory = directoryOf([one]);
  const endpoint = id<EndpointId>('one');
  directory.observe({kind: 'leaving', endpoint});
  directory.report(one);
  assert.equal(directory.choose(requestOf()).ok, false);
  directory.report({...one, instance: 'one-2'});
  assert.equal(directory.choose(requestOf()).ok, true);
});

// Guards against routing to an endpoint that answers polls but fails requests.
test('an endpoint whose requests fail is not usable although its status is good', () => {
  const clock = {nowMs: 0};
  const one = statusOf('one', ALL);
  const directory = directoryOf([one], clock);
  const {endpoint} = one;
  const usable = () => directory.choose(requestOf()).ok;
  const report = (afterMs: number) => {
    clock.nowMs += afterMs;
    directory.report(one);
  };
  for (let request = 0; request < 5; request++) {
    directory.observe({kind: 'started', endpoint});
    directory.observe({kind: 'failed', endpoint});
    directory.observe({kind: 'finished', endpoint});
    report(1);
  }
  assert.equal(usable(), false);
  report(1000);
  assert.equal(usable(), true);
  directory.observe({kind: 'started', endpoint});
  assert.equal(usable(), false, 'a second request during the trial');
  const route = [{endpoint, address: 'one', ...ALL}];
  directory.observe({kind: 'pace', route, intervalMs: 3});
  assert.equal(usable(), true);
});

const UNRESPONSIVE = failure('deadline_exceeded', 'no status in 500 ms');
const REFUSING = failure('endpoint_failed', 'connection refused');
// Guard against no_route while unresponsive endpoints may still work, and against
// choosing them before a usable one.
const FALLBACK_CASES: {
  name: string;
  err: Failure;
  others: readonly EngineStatus[];
  chosen: string | undefined;
}[] = [
  {
    name: 'unresponsive and the only one',
    err: UNRESPONSIVE,
    others: [],
    chosen: 'suspect',
  },
  {
    name: 'refusing polls and the only one',
    err: REFUSING,
    others: [],
    chosen: undefined,
  },
  {
    name: 'unresponsive, with a usable replica',
    err: UNRESPONSIVE,
    others: [statusOf('usable', SECOND, {decodeUs: 900})],
    chosen: 'usable',
  },
];
for (const {name, err, others, chosen} of FALLBACK_CASES)
  test(`choice with an endpoint that is ${name}`, () => {
    const suspect = statusOf('suspect', SECOND);
    const directory = directoryOf([
      statusOf('head', FIRST),
      suspect,
      ...others,
    ]);
    directory.pollFailed(suspect.endpoint, err);
    directory.pollFailed(suspect.endpoint, err);
    for (let choice = 0; choice < CHOICES; choice++) {
      const res = directory.choose(requestOf());
      const last = res.ok ? res.value.at(-1)?.endpoint : undefined;
      assert.equal(last, chosen);
    }
  });

// Guards against a sample from 40 endpoints that misses the one with the prefix.
test('an endpoint with a cached prefix is found, also after event gaps', () => {
  const names = Array.from({length: 40}, (_, index) => `e${index}`);
  const directory = directoryOf(names.map(name => statusOf(name, ALL)));
  const prompt = 'p'.repeat(1024);
  const scope = {model: MODEL, version: 'v1', adapter: ''};
  const blocks = promptBlocks(prompt, scope);
  const stored = {kind: 'stored' as const, blocks};
  directory.cacheEvents(id('e7'), {events: [{seq: 5, ...stored}], next: 5});
  assert.equal(endpointsByChoices(directory, {prompt})[0], 'e7');
  assert.notEqual(
    endpointsByChoices(directory, {prompt: 'q'.repeat(1024)})[0],
    'e7',
  );
  const evicted = {kind: 'evicted' as const, blocks};
  directory.cacheEvents(id('e7'), {events: [{seq: 9, ...evicted}], next: 9});
  assert.ok(endpointsByChoices(directory, {prompt}).length > 10);
});

// Guards against a cache hit that reveals the prompt of another workspace.
test('prompts of two workspaces share no prefix', () => {
  const scope = {model: MODEL, version: 'v1', adapter: ''};
  const [one] = promptBlocks('p'.repeat(64), {...scope, workspace: 'a'});
  const [two] = promptBlocks('p'.repeat(64), {...scope, workspace: 'b'});
  assert.notEqual(one, two);
});

// Guards against avoiding a link indefinitely, since an avoided link has no
// traffic.
const LINKS = [
  {
    name: 'avoided, and used again after it recovered',
    normalPaces: 20,
    seconds: 120,
  },
  {
    name: 'tried again even if it was never observed without the degradation',
    normalPaces: 0,
    seconds: 600,
  },
];
for (const {name, normalPaces, seconds} of LINKS)
  test(`a degraded link is ${name}`, () => {
    const clock = {nowMs: 0};
    const far = {failureDomain: id<FailureDomain>('zone-b')};
    const statuses = [
      statusOf('head', FIRST),
      statusOf('near', SECOND, {decodeUs: 400}),
      statusOf('far', SECOND, far),
    ];
    const directory = directoryOf(statuses, clock);
    const route: Route = ['head', 'far'].map((stage, index) => ({
      endpoint: id<EndpointId>(stage),
      address: stage,
      ...[FIRST, SECOND][index],
    }));
    const observePace = (count: number, intervalMs: number): void => {
      for (let observed = 0; observed < count; observed++)
        directory.observe({kind: 'pace', route, intervalMs});
    };
    observePace(normalPaces, 3.4);
    assert.ok(!endpointsByChoices(directory).includes('near'));
    observePace(20, 60);
    assert.ok(!endpointsByChoices(directory).includes('far'));
    for (let second = 0; second < seconds; second++) {
      clock.nowMs += 1000;
      statuses.forEach(directory.report);
      endpointsByChoices(directory);
    }
    assert.ok(endpointsByChoices(directory).includes('far'));
  });

// Guards against a recovery that recomputes KV that a stage still holds.
test('stages that hold KV of the session stay on its next route', () => {
  const names = Array.from({length: 40}, (_, index) => `e${index}`);
  const directory = directoryOf([
    ...names.map(name => statusOf(name, FIRST)),
    statusOf('tail', SECOND),
  ]);
  const prefer: Route = [
    {endpoint: id<EndpointId>('e7'), address: 'e7', ...FIRST},
  ];
  const prompt = 'p'.repeat(1024);
  assert.ok(endpointsByChoices(directory, {prompt, prefer}).includes('e7'));
  assert.equal(endpointsByChoices(directory, {prompt, prefer}).length, 2);
});
