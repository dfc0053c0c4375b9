import {createRandom, id, type ModelGrant} from '@chivewick/common';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {planEngines, type EngineView, type Target} from '../src/index.js';
import {EMPTY_STATE} from './harness/fake-engines.js';
import {grant, holding} from './harness/harness.js';

function engine(overrides: Partial<EngineView> & {id: never}): EngineView {
  return {
    failureDomain: id('a'),
    leaving: false,
    state: EMPTY_STATE,
    reachable: true,
    idle: true,
    secured: true,
    maxLayers: 8,
    ...overrides,
  };
}

const e = (name: string, overrides: Partial<EngineView>) =>
  engine({...overrides, id: id<never>(name)});

const low = holding(0, 8);
const high = holding(8, 16);
const MODELS = [grant('v1', 16)];

interface Case {
  /** Names the behavior whose loss the case guards against. */
  readonly name: string;
  readonly engines: readonly EngineView[];
  /** Target of each engine that has one, as `id from-to need`. */
  readonly expected: readonly string[];
  readonly uncovered?: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'a range that nothing serves takes the engine of a replicated range',
    engines: [e('e0', {state: low}), e('e1', {state: low})],
    expected: ['e0 8-16 uncovered', 'e1 0-8 keep'],
    uncovered: ['rota-draft 8-16'],
  },
  {
    name: 'the last engine of a range stays',
    engines: [e('e0', {state: low})],
    expected: ['e0 0-8 keep'],
    uncovered: ['rota-draft 8-16'],
  },
  {
    name: 'an engine stays while an earlier holder can move the other engine of its range',
    engines: [
      e('e0', {state: low, secured: false}),
      e('e1', {state: low, secured: false}),
    ],
    expected: ['e0 0-8 keep', 'e1 0-8 keep'],
    uncovered: ['rota-draft 8-16'],
  },
  {
    name: 'an engine that is leaving gets no target and does not count as a replica',
    engines: [
      e('e0', {state: low, leaving: true}),
      e('e1', {state: low}),
      e('e2', {state: high}),
      e('e3', {}),
    ],
    expected: ['e1 0-8 keep', 'e2 8-16 keep', 'e3 0-8 spare'],
  },
  {
    name: 'an engine that stopped answering keeps the engines of other ranges in place',
    engines: [
      e('e0', {state: low}),
      e('e1', {state: low}),
      e('e2', {state: high, reachable: false}),
    ],
    expected: ['e0 0-8 keep', 'e1 0-8 keep', 'e2 8-16 keep'],
    uncovered: ['rota-draft 8-16'],
  },
  {
    name: 'a spare replica goes to another failure domain',
    engines: [
      e('e0', {state: low}),
      e('e1', {state: high}),
      e('e2', {}),
      e('e3', {failureDomain: id<never>('b')}),
      e('e4', {failureDomain: id<never>('b')}),
    ],
    expected: [
      'e0 0-8 keep',
      'e1 8-16 keep',
      'e2 0-8 extra',
      'e3 0-8 spare',
      'e4 8-16 spare',
    ],
  },
  {
    name: 'an engine that an old order moved goes back to its desired state',
    engines: [
      e('e0', {state: high, desired: low}),
      e('e1', {state: high}),
      e('e2', {state: low}),
    ],
    expected: ['e0 0-8 spare', 'e1 8-16 keep', 'e2 0-8 keep'],
  },
  {
    name: 'an engine that an old order moved stays when it became the last of a range',
    engines: [e('e0', {state: high, desired: low}), e('e1', {state: low})],
    expected: ['e0 8-16 keep', 'e1 0-8 keep'],
  },
  {
    name: 'a range stays uncovered when no engine has room for it',
    engines: [e('e0', {state: low}), e('e1', {maxLayers: 4, desired: high})],
    expected: ['e0 0-8 keep', 'e1 8-16 uncovered'],
    uncovered: ['rota-draft 8-16'],
  },
];

for (const {name, engines, expected, uncovered = []} of CASES)
  test(`plan: ${name}`, () => {
    const plan = planEngines(MODELS, engines);
    const rows = [...plan.targets].map(
      ([
        endpoint,
        {
          desired: {layers},
          need,
        },
      ]) => `${endpoint} ${layers.from}-${layers.to} ${need}`,
    );
    assert.deepEqual(rows.sort(), expected);
    assert.deepEqual(plan.uncovered, uncovered);
  });

const views = fc
  .array(
    fc.record({
      failureDomain: fc.constantFrom('a', 'b', 'c').map(d => id<never>(d)),
      from: fc.constantFrom(0, 4, 8, 12),
      width: fc.constantFrom(0, 4, 8),
      model: fc.constantFrom('a', 'b', 'gone'),
      version: fc.constantFrom('v1', 'v2'),
    }),
    {minLength: 2, maxLength: 14},
  )
  .map(rows =>
    rows.map(({from, width, model, version, failureDomain}, n) =>
      e(`e${n}`, {
        failureDomain,
        state:
          width === 0
            ? EMPTY_STATE
            : holding(from, from + width, version, model),
      }),
    ),
  );

const GRANTED: readonly ModelGrant[] = [
  grant('v2', 16, 'a'),
  grant('v2', 8, 'b'),
];

function servedBy(
  engines: readonly EngineView[],
  model: ModelGrant,
  layer: number,
) {
  return engines.filter(
    ({state}) =>
      state!.model === model.model &&
      state!.version === model.version &&
      state!.layers.to <= model.layers &&
      state!.layers.from <= layer &&
      layer < state!.layers.to,
  );
}

/** Layers of granted models that only this engine serves. */
function soleHolderOf(
  engines: readonly EngineView[],
  one: EngineView,
): string[] {
  return GRANTED.flatMap(model =>
    Array.from({length: model.layers}, (_, layer) => layer)
      .filter(layer => {
        const by = servedBy(engines, model, layer);
        return by.length === 1 && by[0] === one;
      })
      .map(layer => `${model.model} ${layer}`),
  );
}

const isDue = ({need, waits}: Target) => need !== 'keep' && !waits;

// Guards against plans that never converge, and against a plan that removes the
// last engine of a range when orders complete in any order.
test('plans converge with every range covered that can be', () => {
  fc.assert(
    fc.property(views, fc.nat({max: 1_000}), (start, seed) => {
      const random = createRandom(seed);
      let engines = start;
      for (let moves = 0; ; moves++) {
        const {targets, uncovered} = planEngines(GRANTED, engines);
        for (const {desired} of targets.values()) {
          const granted = GRANTED.find(({model}) => model === desired.model);
          assert.ok(
            desired.layers.to <= granted!.layers,
            'layers do not exist',
          );
        }
        const due = [...targets].filter(([, target]) => isDue(target));
        if (due.length === 0) {
          if (engines.length >= 6) assert.deepEqual(uncovered, []);
          return;
        }
        assert.ok(moves <= 3 * engines.length, 'plans do not converge');
        const [endpoint, {desired}] = due[random.int(due.length)];
        const moved = engines.find(one => one.id === endpoint)!;
        assert.deepEqual(soleHolderOf(engines, moved), []);
        engines = engines.map(one =>
          one === moved ? {...one, state: desired, desired} : one,
        );
      }
    }),
    {numRuns: 400, seed: 11},
  );
});
