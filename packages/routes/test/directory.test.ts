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

/** Endpoint names in the order of how often they were chosen. */
function favourites(directory: Directory, change = {}): string[] {
  const counts = new Map<string, number>();
  for (let choice = 0; choice < CHOICES; choice++) {
    const res = directory.choose(requestOf(change));
    assert.ok(res.ok);
    for (const {endpoint} of res.value)
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
  }
  return [...counts].sort((a, b) => b[1] - a[1]).map(([name]) => name);
}

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
    name: 'with room for KV',
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
    assert.deepEqual(favourites(directory, request), ['good']);
  });

test('own starts since the report count until a report shows them', () => {
  const clock = {nowMs: 0};
  const one = statusOf('one', ALL, {load: IDLE});
  const directory = directoryOf([one, statusOf('two', ALL)], clock);
  clock.nowMs = 100;
  const endpoint = id<EndpointId>('one');
  for (let start = 0; start < 30; start++)
    directory.observe({kind: 'started', endpoint});
  assert.deepEqual(favourites(directory), ['two']);
  // A report from before the starts must not hide them.
  clock.nowMs = 200;
  directory.report({...one, load: {...IDLE, ageMs: 150}});
  assert.deepEqual(favourites(directory), ['two']);
  // A report from after them says what is left of them.
  directory.report({...one, load: {...IDLE, ageMs: 50}});
  assert.equal(favourites(directory).length, 2);
});

test('a leaving sign holds against older live reports of the same instance', () => {
  const one = statusOf('one', ALL);
  const directory = directoryOf([one]);
  const endpoint = id<EndpointId>('one');
  directory.observe({kind: 'leaving', endpoint});
  directory.report(one);
  assert.equal(directory.choose(requestOf()).ok, false);
  directory.report({...one, instance: 'one-2'});
  assert.equal(directory.choose(requestOf()).ok, true);
});

test('an endpoint whose requests fail is refused though its status is good', () => {
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
  assert.equal(usable(), false, 'a second request beside the trial');
  const route = [{endpoint, address: 'one', ...ALL}];
  directory.observe({kind: 'pace', route, intervalMs: 3});
  assert.equal(usable(), true);
});

const SILENT = failure('deadline_exceeded', 'no status in 500 ms');
const REFUSING = failure('endpoint_failed', 'connection refused');
const SUSPECTS: {
  name: string;
  err: Failure;
  others: readonly EngineStatus[];
  chosen: string | undefined;
}[] = [
  {name: 'silent and the last one', err: SILENT, others: [], chosen: 'suspect'},
  {
    name: 'refusing and the last one',
    err: REFUSING,
    others: [],
    chosen: undefined,
  },
  {
    name: 'silent beside a usable one',
    err: SILENT,
    others: [statusOf('usable', SECOND, {decodeUs: 900})],
    chosen: 'usable',
  },
];
for (const {name, err, others, chosen} of SUSPECTS)
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

test('a prefix cached elsewhere is found, also after late events with gaps', () => {
  const names = Array.from({length: 40}, (_, index) => `e${index}`);
  const directory = directoryOf(names.map(name => statusOf(name, ALL)));
  const prompt = 'p'.repeat(1024);
  const scope = {model: MODEL, version: 'v1', adapter: ''};
  const blocks = promptBlocks(prompt, scope);
  const stored = {kind: 'stored' as const, blocks};
  directory.cacheEvents(id('e7'), {events: [{seq: 5, ...stored}], next: 5});
  assert.equal(favourites(directory, {prompt})[0], 'e7');
  assert.notEqual(favourites(directory, {prompt: 'q'.repeat(1024)})[0], 'e7');
  const evicted = {kind: 'evicted' as const, blocks};
  directory.cacheEvents(id('e7'), {events: [{seq: 9, ...evicted}], next: 9});
  assert.ok(favourites(directory, {prompt}).length > 10);
});

test('prompts of two workspaces share no prefix', () => {
  const scope = {model: MODEL, version: 'v1', adapter: ''};
  const [one] = promptBlocks('p'.repeat(64), {...scope, workspace: 'a'});
  const [two] = promptBlocks('p'.repeat(64), {...scope, workspace: 'b'});
  assert.notEqual(one, two);
});

const LINKS = [
  {name: 'avoided, and used again after it recovered', good: 20, seconds: 120},
  {name: 'tried again even if it was never seen good', good: 0, seconds: 600},
];
for (const {name, good, seconds} of LINKS)
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
    const pass = (count: number, intervalMs: number): void => {
      for (let seen = 0; seen < count; seen++)
        directory.observe({kind: 'pace', route, intervalMs});
    };
    pass(good, 3.4);
    assert.ok(!favourites(directory).includes('near'));
    pass(20, 60);
    assert.ok(!favourites(directory).includes('far'));
    for (let second = 0; second < seconds; second++) {
      clock.nowMs += 1000;
      statuses.forEach(directory.report);
      favourites(directory);
    }
    assert.ok(favourites(directory).includes('far'));
  });

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
  assert.ok(favourites(directory, {prompt, prefer}).includes('e7'));
  assert.equal(favourites(directory, {prompt, prefer}).length, 2);
});
