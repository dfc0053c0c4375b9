import type {EndpointId, FailureDomain} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import type {EngineProfile} from '@chivewick/gateway';
import {createCover, type Cover} from './cover.js';

/**
 * Ranges begin and end on a grid of this many parts of the model, so that a lost
 * stage has substitutes with the same boundaries.
 */
const GRID_PARTS = 8;
/** Grid parts that one engine holds at most: a quarter of the model. */
const MOST_PARTS = 2;
/** Part of an engine's memory that layers may take; the rest holds tokens. */
const MOST_LAYER_MEMORY = 0.82;
/** Weight of the fleet's cover against the cover of an engine's own domain. */
const FLEET_WEIGHT = 2;
/**
 * Layers with less than this part of the mean memory for tokens are scarce: they
 * bound what the fleet can run at once.
 */
const SCARCE_PART = 0.55;
/**
 * A move must raise the scarcest layers by this factor: until the streams that
 * pass through have ended and the layers are loaded, the engine serves nothing.
 */
const LEAST_GAIN = 1.3;

/** An engine to plan for. */
export interface PlacedEngine {
  readonly id: EndpointId;
  readonly failureDomain: FailureDomain;
  readonly accelerator?: string;
  /** What it holds or was ordered to hold; undefined for an empty engine. */
  readonly layers?: LayerRange;
}

/** An order that the plan asks for. */
export interface PlannedRange {
  readonly id: EndpointId;
  readonly range: LayerRange;
}

/**
 * Plans which layers empty engines shall hold; engines that hold layers keep
 * them. Each engine, largest first, takes the range whose layers have the least
 * memory for tokens in the fleet and in its own failure domain, so that each
 * domain gets whole paths and scarce layers get more cover.
 *
 * @returns a range for each engine that is to be ordered.
 * @example
 * const orders = planLayers([{id, failureDomain, accelerator: 'l4'}], profile);
 */
export function planLayers(
  engines: readonly PlacedEngine[],
  profile: EngineProfile,
): PlannedRange[] {
  const cover = createCover(profile);
  for (const engine of engines)
    if (engine.layers !== undefined) cover.add(engine, engine.layers);
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
    const range = leastCovered(engine, size, profile, cover);
    cover.add(engine, range);
    orders.push({id: engine.id, range});
  }
  return orders;
}

/**
 * Whether some layers have so little memory for tokens that they bound the fleet.
 *
 * @example
 * if (hasScarceLayers(engines, profile)) order(planLayers(engines, profile));
 */
export function hasScarceLayers(
  engines: readonly PlacedEngine[],
  profile: EngineProfile,
): boolean {
  const cover = createCover(profile);
  for (const engine of engines)
    if (engine.layers !== undefined) cover.add(engine, engine.layers);
  return isScarce(cover);
}

function isScarce(cover: Cover): boolean {
  return cover.least() < SCARCE_PART * cover.mean();
}

/**
 * Plans the one move that most raises the memory for tokens of the scarcest
 * layers. Answers the loss of several engines with the same layers, which makes
 * those layers the bound of the whole fleet while others have room. An engine
 * moves only if the layers that it leaves do not become scarcer than those.
 *
 * @returns undefined where no layer is scarce or no move helps enough.
 * @example
 * const move = planMove(engines, profile);
 */
export function planMove(
  engines: readonly PlacedEngine[],
  profile: EngineProfile,
): PlannedRange | undefined {
  const cover = createCover(profile);
  const placed = engines.filter(engine => engine.layers !== undefined);
  for (const engine of placed) cover.add(engine, engine.layers!);
  const least = cover.least();
  if (!isScarce(cover)) return undefined;
  let best: PlannedRange | undefined;
  let bestLeast = Math.max(least * LEAST_GAIN, Number.MIN_VALUE);
  for (const engine of placed) {
    const held = engine.layers!;
    cover.remove(engine, held);
    // A move takes seconds, in which the engine serves neither range.
    const isSpared = cover.least() >= least;
    for (const range of ranges(rangeSize(engine, profile), profile)) {
      if (!isSpared) break;
      if (range.from === held.from && range.to === held.to) continue;
      cover.add(engine, range);
      if (cover.least() > bestLeast) {
        best = {id: engine.id, range};
        bestLeast = cover.least();
      }
      cover.remove(engine, range);
    }
    cover.add(engine, held);
  }
  return best;
}

function memoryOf(engine: PlacedEngine, profile: EngineProfile): number {
  return profile.kinds.get(engine.accelerator ?? '')?.memoryMb ?? 0;
}

/** Layers that an engine takes: whole grid parts where one fits. */
function rangeSize(engine: PlacedEngine, profile: EngineProfile): number {
  const part = Math.max(1, Math.floor(profile.layers / GRID_PARTS));
  const memoryMb = memoryOf(engine, profile) * MOST_LAYER_MEMORY;
  const fits = Math.floor(memoryMb / profile.layerMb);
  if (fits < part) return fits;
  return part * Math.min(MOST_PARTS, Math.floor(fits / part));
}

/** Ranges of a size that begin on multiples of it; the last ends the model. */
function ranges(size: number, {layers}: EngineProfile): LayerRange[] {
  const found: LayerRange[] = [];
  if (size === 0) return found;
  for (let at = 0; at < layers; at += size) {
    const from = Math.min(at, layers - size);
    found.push({from, to: from + size});
  }
  return found;
}

function leastCovered(
  engine: PlacedEngine,
  size: number,
  profile: EngineProfile,
  cover: Cover,
): LayerRange {
  const {failureDomain} = engine;
  let best: LayerRange = {from: 0, to: size};
  let bestCost = Infinity;
  for (const range of ranges(size, profile)) {
    const cost =
      cover.relative(range, failureDomain) +
      FLEET_WEIGHT * cover.relative(range);
    if (cost >= bestCost) continue;
    best = range;
    bestCost = cost;
  }
  return best;
}
