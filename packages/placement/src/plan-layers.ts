import type {EndpointId, FailureDomain} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import {tokenLayerCapacity, type EngineProfile} from '@chivewick/gateway';

/**
 * Ranges begin and end on a grid of this many parts of the model, so that a lost
 * stage has substitutes with the same boundaries.
 */
const GRID_PARTS = 8;
/** Grid parts that one engine holds at most: a quarter of the model. */
const MOST_PARTS = 2;
/** Part of an engine's memory that layers may take; the rest holds tokens. */
const MOST_LAYER_MEMORY = 0.82;

/** An engine to plan for. */
export interface PlacedEngine {
  readonly id: EndpointId;
  readonly failureDomain: FailureDomain;
  readonly accelerator?: string;
  /** What it holds or was ordered to hold; undefined for an empty engine. */
  readonly layers?: LayerRange;
}

/**
 * Plans which layers empty engines shall hold. Engines that hold layers keep
 * them. Each engine, largest first, takes the range whose layers have the least
 * memory for tokens in its own failure domain, and after that in the fleet, so
 * that each domain gets whole paths and scarce layers get more cover.
 *
 * @returns a range for each engine that is to be ordered.
 * @example
 * const orders = planLayers([{id, failureDomain, accelerator: 'l4'}], profile);
 */
export function planLayers(
  engines: readonly PlacedEngine[],
  profile: EngineProfile,
): Map<EndpointId, LayerRange> {
  const fleet = new Array<number>(profile.layers).fill(0);
  const domains = new Map<FailureDomain, number[]>();
  const domainCover = (domain: FailureDomain) => {
    const known = domains.get(domain);
    if (known !== undefined) return known;
    const created = new Array<number>(profile.layers).fill(0);
    domains.set(domain, created);
    return created;
  };
  const count = (engine: PlacedEngine, range: LayerRange) => {
    const held = range.to - range.from;
    const capacity = tokenLayerCapacity(profile, engine.accelerator, held);
    const tokens = capacity / held;
    const cover = domainCover(engine.failureDomain);
    for (let layer = range.from; layer < range.to; layer++) {
      fleet[layer] += tokens;
      cover[layer] += tokens;
    }
  };

  for (const engine of engines)
    if (engine.layers !== undefined) count(engine, engine.layers);
  const orders = new Map<EndpointId, LayerRange>();
  const memoryOf = (engine: PlacedEngine) =>
    profile.kinds.get(engine.accelerator ?? '')?.memoryMb ?? 0;
  const empty = engines
    .filter(engine => engine.layers === undefined)
    .sort((a, b) => memoryOf(b) - memoryOf(a) || (a.id < b.id ? -1 : 1));
  for (const engine of empty) {
    const size = rangeSize(memoryOf(engine), profile);
    if (size === 0) continue;
    const cover = domainCover(engine.failureDomain);
    const range = leastCovered(size, profile.layers, cover, fleet);
    count(engine, range);
    orders.set(engine.id, range);
  }
  return orders;
}

/** Layers that an engine takes: whole grid parts where one fits. */
function rangeSize(memoryMb: number, profile: EngineProfile): number {
  const part = Math.max(1, Math.floor(profile.layers / GRID_PARTS));
  const fits = Math.floor((memoryMb * MOST_LAYER_MEMORY) / profile.layerMb);
  if (fits < part) return fits;
  return part * Math.min(MOST_PARTS, Math.floor(fits / part));
}

function leastCovered(
  size: number,
  layers: number,
  domainCover: readonly number[],
  fleetCover: readonly number[],
): LayerRange {
  let best: LayerRange = {from: 0, to: size};
  let bestCover = [Infinity, Infinity];
  for (let at = 0; at < layers; at += size) {
    const from = Math.min(at, layers - size);
    const to = from + size;
    const cover = [mean(domainCover, from, to), mean(fleetCover, from, to)];
    const isBetter =
      cover[0] < bestCover[0] ||
      (cover[0] === bestCover[0] && cover[1] < bestCover[1]);
    if (!isBetter) continue;
    best = {from, to};
    bestCover = cover;
  }
  return best;
}

function mean(values: readonly number[], from: number, to: number): number {
  let sum = 0;
  for (let index = from; index < to; index++) sum += values[index];
  return sum / (to - from);
}
