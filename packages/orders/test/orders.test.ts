import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createHarness,
  grant,
  holding,
  type Harness,
} from './harness/harness.js';
import {EMPTY_STATE} from './harness/fake-engines.js';

/** Adds two replicas of three ranges, one in each of two failure domains. */
function addEngines(harness: Harness, fencing = true): void {
  for (const domain of ['a', 'b'])
    for (const from of [0, 8, 16])
      harness.add({domain, fencing, state: holding(from, from + 8)});
}

interface Case {
  readonly name: string;
  /** Runs after a holder has claimed the engines. */
  readonly act: (harness: Harness) => void | Promise<void>;
  readonly runMs: number;
  readonly check?: (harness: Harness) => void;
}

const CASES: readonly Case[] = [
  {
    // Guards against orders that reload engines that already serve.
    name: 'engines that serve what is granted load nothing',
    act: () => {},
    runMs: 10_000,
    check: harness => assert.deepEqual(harness.weights.granted, []),
  },
  {
    // Guards against a new version that needs an operator's action.
    name: 'a new version of a model is loaded everywhere',
    act: harness =>
      void Object.assign(harness.lists, {version: 2, models: [grant('v2')]}),
    runMs: 20_000,
    check: harness =>
      assert.ok(harness.engines().every(e => e.state.version === 'v2')),
  },
  {
    // Guards against an engine that stays empty after its restart.
    name: 'an engine restarted with nothing loaded gets its range again',
    act: async harness => {
      harness.stop(harness.engines()[1]);
      await harness.run(500);
      harness.restart(harness.engines()[1]);
    },
    runMs: 10_000,
    check: harness =>
      assert.deepEqual(harness.engines()[1].state.layers, {from: 8, to: 16}),
  },
  {
    // Guards against a range that stays lost with its last engine.
    name: 'a range that lost all engines is covered by an engine of another range',
    act: async harness => {
      harness.stop(harness.engines()[1]);
      await harness.run(5_000);
      harness.stop(harness.engines()[4]);
    },
    runMs: 15_000,
  },
  {
    // Guards against orders to an engine that is draining.
    name: 'an engine that is leaving gets no order',
    act: async harness => {
      harness.engines()[0].leaving = true;
      await harness.run(1_500);
      Object.assign(harness.lists, {version: 2, models: [grant('v2')]});
    },
    runMs: 20_000,
    check: harness => assert.equal(harness.engines()[0].state.version, 'v1'),
  },
  {
    // Guards against orders without a written desired state in an outage.
    name: 'an outage stops orders and undoes nothing',
    act: async harness => {
      harness.platform.faults.outage = true;
      await harness.run(8_000);
      Object.assign(harness.lists, {version: 2, models: [grant('v2')]});
      await harness.run(8_000);
      assert.ok(harness.engines().every(e => e.state.version === 'v1'));
      harness.platform.faults.outage = false;
    },
    runMs: 25_000,
  },
  {
    // Guards against a lease or desired state that is lost with a response.
    name: 'lost and late responses of the platform end in the same state',
    act: harness => {
      Object.assign(harness.platform.faults, {
        loseResponses: 3,
        loseWrites: 3,
        delayWrites: 3,
      });
      Object.assign(harness.lists, {version: 2, models: [grant('v2')]});
    },
    runMs: 25_000,
  },
  {
    // Guards against an order that interrupts requests in progress.
    name: 'an engine with sessions is reloaded when they have ended',
    act: async harness => {
      for (const engine of harness.engines()) engine.sessions = 1;
      await harness.run(1_000);
      Object.assign(harness.lists, {version: 2, models: [grant('v2')]});
      await harness.run(10_000);
      assert.deepEqual(harness.weights.granted, []);
      for (const engine of harness.engines()) engine.sessions = 0;
    },
    runMs: 15_000,
  },
  {
    // Guards against load requests that continue while the store refuses them.
    name: 'a rate limit delays all loads, then they go on',
    act: async harness => {
      harness.weights.limited = true;
      Object.assign(harness.lists, {version: 2, models: [grant('v2')]});
      await harness.run(6_000);
      assert.deepEqual(harness.weights.granted, []);
      harness.weights.limited = false;
    },
    runMs: 15_000,
  },
];

for (const {name, act, runMs, check} of CASES)
  for (const fencing of [true, false])
    test(`${name}, ${fencing ? 'with' : 'without'} fencing`, async t => {
      const harness = createHarness();
      t.after(() => harness.close());
      addEngines(harness, fencing);
      harness.start(3);
      await harness.run(8_000);
      await act(harness);
      await harness.run(runMs);
      assert.deepEqual(harness.findProblems(), []);
      check?.(harness);
    });

// Guards against engines that stay idle because the ranges into which the model
// is divided do not fit on them.
test('engines of different sizes load a new version at their own size', async t => {
  const harness = createHarness();
  t.after(() => harness.close());
  const ranges = [
    [0, 12],
    [12, 24],
    [0, 8],
    [8, 16],
    [16, 24],
  ];
  for (const [from, to] of ranges)
    harness.add({domain: 'a', state: holding(from, to)});
  harness.start(1);
  await harness.run(3_000);
  Object.assign(harness.lists, {version: 2, models: [grant('v2')]});
  await harness.run(8_000);
  assert.deepEqual(harness.findProblems(), []);
  const held = harness
    .engines()
    .map(({state}) => [state.version, state.layers]);
  const expected = ranges.map(([from, to]) => ['v2', {from, to}]);
  assert.deepEqual(held, expected);
});

// Guards against a new holder that treats a served range as uncovered because
// the status of its engine has not arrived yet.
test('a new holder reads every engine before it plans', async t => {
  const harness = createHarness();
  t.after(() => harness.close());
  for (const from of [0, 8, 16])
    harness.add({domain: 'a', state: holding(from, from + 8)});
  harness.engines()[2].statusMs = 400;
  harness.add({domain: 'b', state: EMPTY_STATE});
  harness.start(1);
  await harness.run(6_000);
  assert.deepEqual(harness.findProblems(), []);
  assert.deepEqual(harness.weights.granted, ['rota-draft v1 0-8']);
});

// Guards against spare replicas that are loaded while a model is incomplete.
test('layers that nothing serves are loaded before spare replicas', async t => {
  const harness = createHarness();
  t.after(() => harness.close());
  harness.lists.models = [grant('v1', 16, 'a'), grant('v1', 16, 'b')];
  harness.add({domain: 'a', state: holding(0, 8, 'v1', 'a')});
  harness.add({domain: 'a', state: holding(8, 16, 'v1', 'a')});
  for (let n = 0; n < 6; n++) harness.add({domain: 'b', state: EMPTY_STATE});
  harness.start(1);
  await harness.run(12_000);
  assert.deepEqual(harness.findProblems(), []);
  assert.deepEqual(harness.weights.granted.slice(0, 2), [
    'b v1 0-8',
    'b v1 8-16',
  ]);
  assert.equal(harness.weights.granted.length, 6);
});
