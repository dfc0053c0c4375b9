import type {EndpointId, FailureDomain} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import type {EngineProfile} from '@chivewick/gateway';
import {createTokenCapacity, type TokenCapacity} from './token-capacity.js';

/**
 * Number of equal parts on whose boundaries ranges begin and end, so that a
 * lost stage has substitutes with the same boundaries.
 */
const GRID_PARTS = 8;
/** Maximum number of grid parts on one engine: a quarter of the model. */
const MAX_PARTS = 2;
/** Share of an engine's memory that layers may use; the rest holds tokens. */
const MAX_LAYER_MEMORY_SHARE = 0.82;
/**
 * Weight of the fleet's capacity relative to that of the engine's own domain.
 */
const FLEET_WEIGHT = 2;
/**
 * Layers with less than this share of the mean token capacity are scarce: they
 * limit what the fleet can run at once.
 */
const SCARCE_SHARE = 0.55;
/**
 * Minimum factor by which a move must raise the capacity of the scarcest
 * layers, because the engine serves nothing until its current streams have
 * ended and the new layers are loaded.
 */
const MIN_MOVE_GAIN = 1.3;

/** An engine to plan for. */
export interface PlacedEngine {
  readonly id: EndpointId;
  readonly failureDomain: FailureDomain;
  readonly accelerator?: string;
  /** Layers that it holds or was ordered to hold; undefined if it is empty. */
  readonly layers?: LayerRange;
}

/** Layers that an engine should be ordered to hold. */
export interface PlannedRange {
  readonly id: EndpointId;
  readonly range: LayerRange;
}

/**
 * Plans which layers empty engines should hold; engines that hold layers keep
 * them. Each engine, largest first, is assigned the range with the least token
 * capacity in the fleet and in its own failure domain, so that each domain gets
 * complete paths and scarce layers get more capacity.
 *
 * @returns a range for each engine that should receive an order.
 * @example
 * const orders = planLayers([{id, failureDomain, accelerator: 'l4'}], profile);
 */
export function planLayers(
  engines: readonly PlacedEngine[],
  profile: EngineProfile,
): PlannedRange[] {
  const capacity = createTokenCapacity(profile);
  for (const engine of engines)
    if (engine.layers !== undefined) capacity.add(engine, engine.layers);
  const orders: PlannedRange[] = [];
  const empty = engines
    .filter(engine => engine.layers === undefined)
    .sort(
      (a, b) =>
        memoryOf(b, profile) - memoryOf(a, profile) || (a.id < b.id ? -1 : 1),
    );
  for (const engine of empty) {
    const size = rangeSize(engine, profile);
    if (size === 0) continue;
    const range = scarcestRange(engine, size, profile, capacity);
    capacity.add(engine, range);
    orders.push({id: engine.id, range});
  }
  return orders;
}

/**
 * Whether some layers have so little token capacity that they limit the fleet.
 *
 * @example
 * if (hasScarceLayers(engines, profile)) order(planLayers(engines, profile));
 */
export function hasScarceLayers(
  engines: readonly PlacedEngine[],
  profile: EngineProfile,
): boolean {
  const capacity = createTokenCapacity(profile);
  for (const engine of engines)
    if (engine.layers !== undefined) capacity.add(engine, engine.layers);
  return isScarce(capacity);
}

function isScarce(capacity: TokenCapacity): boolean {
  return capacity.min() < SCARCE_SHARE * capacity.mean();
}

/**
 * Plans the one move that most raises the token capacity of the scarcest
 * layers. It is needed when several engines with the same layers are lost:
 * those layers then limit the whole fleet while others have capacity. An engine
 * moves only if the layers that it leaves do not become scarcer than those.
 *
 * @returns undefined if no layer is scarce or no move helps enough.
 * @example
 * const move = planMove(engines, profile);
 */
export function planMove(
  engines: readonly PlacedEngine[],
  profile: EngineProfile,
): PlannedRange | undefined {
  const capacity = createTokenCapacity(profile);
  const placed = engines.filter(engine => engine.layers !== undefined);
  for (const engine of placed) capacity.add(engine, engine.layers!);
  const minTokens = capacity.min();
  if (!isScarce(capacity)) return undefined;
  let best: PlannedRange | undefined;
  let bestMinTokens = Math.max(minTokens * MIN_MOVE_GAIN, Number.MIN_VALUE);
  for (const engine of placed) {
    const held = engine.layers!;
    capacity.remove(engine, held);
    // A move takes seconds, during which the engine serves neither range.
    const canLeave = capacity.min() >= minTokens;
    for (const range of ranges(rangeSize(engine, profile), profile)) {
      if (!canLeave) break;
      if (range.from === held.from && range.to === held.to) continue;
      capacity.add(engine, range);
      if (capacity.min() > bestMinTokens) {
        best = {id: engine.id, range};
        bestMinTokens = capacity.min();
      }
      capacity.remove(engine, range);
    }
    capacity.add(engine, held);
  }
  return best;
}

function memoryOf(engine: PlacedEngine, profile: EngineProfile): number {
  return profile.kinds.get(engine.accelerator ?? '')?.memoryMb ?? 0;
}

/** Number of layers for an engine: whole grid parts if at least one fits. */
function rangeSize(engine: PlacedEngine, profile: EngineProfile): number {
  const partSize = Math.max(1, Math.floor(profile.layers / GRID_PARTS));
  const memoryMb = memoryOf(engine, profile) * MAX_LAYER_MEMORY_SHARE;
  const maxLayers = Math.floor(memoryMb / profile.layerMb);
  if (maxLayers < partSize) return maxLayers;
  return partSize * Math.min(MAX_PARTS, Math.floor(maxLayers / partSize));
}

/**
 * Ranges of `size` layers that start at multiples of it; the last one ends with
 * the last layer of the model.
 */
function ranges(size: number, {layers}: EngineProfile): LayerRange[] {
  const found: LayerRange[] = [];
  if (size === 0) return found;
  for (let at = 0; at < layers; at += size) {
    const from = Math.min(at, layers - size);
    found.push({from, to: from + size});
  }
  return found;
}

function scarcestRange(
  engine: PlacedEngine,
  size: number,
  profile: EngineProfile,
  capacity: TokenCapacity,
): LayerRange {
  const {failureDomain} = engine;
  let best: LayerRange = {from: 0, to: size};
  let bestCost = Infinity;
  for (const range of ranges(size, profile)) {
    const cost =
      capacity.relative(range, failureDomain) +
      FLEET_WEIGHT * capacity.relative(range);
    if (cost >= bestCost) continue;
    best = range;
    bestCost = cost;
  }
  return best;
}
