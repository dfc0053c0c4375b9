// Guards against layers without an engine, orders that exceed an engine's
// memory, and moves that make other layers scarce while they are in progress.
import {
  id,
  type EndpointId,
  type FailureDomain,
  type ModelName,
} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import type {EngineProfile} from '@chivewick/gateway';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTokenCapacity} from '../src/token-capacity.js';
import {
  hasScarceLayers,
  planLayers,
  planMove,
  type PlacedEngine,
} from '../src/plan-layers.js';

const KINDS = new Map([
  ['large', {memoryMb: 72_000, pace: 2.4, readFactor: 3.2}],
  ['medium', {memoryMb: 43_200, pace: 5.6, readFactor: 2.7}],
  ['small', {memoryMb: 21_600, pace: 16, readFactor: 8.2}],
]);
const PROFILE: EngineProfile = {
  model: id<ModelName>('m'),
  loadS: 14,
  loadsAtOnce: 5,
  layers: 80,
  layerMb: 1_750,
  stepMs: 1,
  perSequenceMs: 0.01,
  contextMsPerThousand: 0.014,
  prefillTokensPerS: 105_000,
  tokenBytes: 1_315_343,
  activationBytes: 65_767,
  linkMbps: 400_000,
  pipeMbps: 26_000,
  slots: 134,
  typicalPromptTokens: 774,
  typicalOutputTokens: 200,
  kinds: KINDS,
  delays: [],
};

/** Creates engines from counts by failure domain and accelerator kind. */
function fleet(
  counts: Readonly<Record<string, Readonly<Record<string, number>>>>,
): PlacedEngine[] {
  return Object.entries(counts).flatMap(([domain, kinds]) =>
    Object.entries(kinds).flatMap(([accelerator, count]) =>
      Array.from({length: count}, (_, index) => ({
        id: id<EndpointId>(`${domain}-${accelerator}-${index}`),
        failureDomain: id<FailureDomain>(domain),
        accelerator,
      })),
    ),
  );
}

const THREE_DOMAINS = fleet({
  a: {large: 1, medium: 3, small: 8},
  b: {large: 1, medium: 6, small: 5},
  c: {large: 2, medium: 2, small: 5},
});

function placed(engines: readonly PlacedEngine[]): PlacedEngine[] {
  const ranges = new Map(
    planLayers(engines, PROFILE).map(({id: engine, range}) => [engine, range]),
  );
  return engines.map(engine => ({
    ...engine,
    layers: engine.layers ?? ranges.get(engine.id),
  }));
}

function uncovered(engines: readonly PlacedEngine[]): number[] {
  return Array.from({length: PROFILE.layers}, (_, layer) => layer).filter(
    layer =>
      !engines.some(
        ({layers}) =>
          layers !== undefined && layers.from <= layer && layer < layers.to,
      ),
  );
}

test('layers: every layer is held in at least two failure domains', () => {
  const engines = placed(THREE_DOMAINS);
  for (const lost of ['a', 'b', 'c']) {
    const left = engines.filter(({failureDomain}) => failureDomain !== lost);
    assert.deepEqual(uncovered(left), [], `without domain ${lost}`);
  }
});

test('layers: the loss of any one engine leaves a path', () => {
  const engines = placed(THREE_DOMAINS);
  for (const lost of engines) {
    const left = engines.filter(engine => engine !== lost);
    assert.deepEqual(uncovered(left), [], `without ${lost.id}`);
  }
});

test('layers: each failure domain with enough memory gets a complete path', () => {
  const engines = placed(THREE_DOMAINS);
  for (const domain of ['a', 'b', 'c']) {
    const own = engines.filter(({failureDomain}) => failureDomain === domain);
    assert.deepEqual(uncovered(own), [], `domain ${domain}`);
  }
});

test('layers: no order exceeds an engine, for any fleet', () => {
  const count = fc.integer({min: 0, max: 6});
  const domain = fc.record({large: count, medium: count, small: count});
  fc.assert(
    fc.property(fc.record({a: domain, b: domain, c: domain}), counts => {
      const engines = fleet(counts);
      for (const {id: engine, range} of planLayers(engines, PROFILE)) {
        const {accelerator} = engines.find(item => item.id === engine)!;
        const heldMb = (range.to - range.from) * PROFILE.layerMb;
        assert.ok(heldMb < KINDS.get(accelerator!)!.memoryMb);
        assert.ok(range.from >= 0 && range.to <= PROFILE.layers);
      }
    }),
  );
});

test('layers: engines that hold layers keep them when others come and go', () => {
  fc.assert(
    fc.property(
      fc.subarray(THREE_DOMAINS, {minLength: 20}),
      fc.subarray(THREE_DOMAINS),
      (first, joining) => {
        const before = placed(first);
        const added = joining.filter(engine => !first.includes(engine));
        const ordered = planLayers([...before, ...added], PROFILE);
        const kept = new Set(
          before.filter(engine => engine.layers).map(engine => engine.id),
        );
        assert.ok(ordered.every(order => !kept.has(order.id)));
      },
    ),
  );
});

test('layers: an engine of an unknown kind gets no order', () => {
  const [engine] = fleet({a: {unheard: 1}});
  assert.deepEqual(planLayers([engine], PROFILE), []);
});

/** Engines of the larger kinds that hold any of these layers. */
const holdersOf = (engines: readonly PlacedEngine[], layers: LayerRange) =>
  engines.filter(
    engine =>
      engine.accelerator !== 'small' &&
      engine.layers!.from < layers.to &&
      engine.layers!.to > layers.from,
  );

test('layers: when several engines with the same layers are lost, one moves there', () => {
  const engines = placed(THREE_DOMAINS);
  for (const from of [0, 20, 40, 60]) {
    const lost = {from, to: from + 20};
    const holders = holdersOf(engines, lost);
    const left = engines.filter(engine => !holders.includes(engine));
    assert.equal(hasScarceLayers(left, PROFILE), true);
    const move = planMove(left, PROFILE);
    assert.ok(move !== undefined, `layers from ${from}`);
    assert.ok(move.range.from < lost.to && move.range.to > lost.from);
  }
});

test('layers: the loss of one engine causes no move', () => {
  const engines = placed(THREE_DOMAINS);
  for (const lost of engines) {
    const left = engines.filter(engine => engine !== lost);
    assert.equal(planMove(left, PROFILE), undefined, `without ${lost.id}`);
  }
});

test('layers: a full fleet needs no move', () => {
  assert.equal(planMove(placed(THREE_DOMAINS), PROFILE), undefined);
});

test('layers: a move never leaves other layers scarcer while it is in progress', () => {
  fc.assert(
    fc.property(fc.subarray(placed(THREE_DOMAINS), {minLength: 12}), left => {
      const move = planMove(left, PROFILE);
      if (move === undefined) return;
      const before = createTokenCapacity(PROFILE);
      const during = createTokenCapacity(PROFILE);
      for (const engine of left) {
        before.add(engine, engine.layers!);
        if (engine.id !== move.id) during.add(engine, engine.layers!);
      }
      assert.ok(during.min() >= before.min() - 1e-6);
    }),
  );
});
