/** Tracks which engines serve each layer range of the granted models. */
import type {
  EndpointId,
  FailureDomain,
  ModelGrant,
  ModelName,
} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import {serves, type LoadedWeights} from './same-state.js';

/** A layer range that each engine holds either completely or not at all. */
export interface Segment extends LayerRange {
  readonly model: ModelName;
  /** Engines that serve it, and the failure domain of each. */
  readonly holders: Map<EndpointId, FailureDomain>;
}

/** Which engines serve which layers of the granted models. */
export interface Coverage {
  add(engine: EndpointId, domain: FailureDomain, held: LoadedWeights): void;
  remove(engine: EndpointId): void;
  /** Segments covered by a state; none when its model is not granted. */
  within(held: LoadedWeights): readonly Segment[];
  segmentsOf(model: ModelName): readonly Segment[];
}

/**
 * Creates an empty coverage. `ranges` must list every range that will be added:
 * segments are cut at their boundaries so that none is held in part.
 *
 * @example
 * const coverage = createCoverage(grants, ranges);
 * coverage.add(engine, domain, status);
 * const uncovered = coverage.segmentsOf(model).filter(s => s.holders.size === 0);
 */
export function createCoverage(
  grants: ReadonlyMap<ModelName, ModelGrant>,
  ranges: Iterable<LoadedWeights>,
): Coverage {
  const segments = segmentsOfAll(grants, ranges);
  const byEngine = new Map<EndpointId, readonly Segment[]>();
  const within = (held: LoadedWeights): readonly Segment[] => {
    if (!serves(held, grants.get(held.model))) return [];
    const {from, to} = held.layers;
    const all = segments.get(held.model) ?? [];
    return all.filter(s => s.from >= from && s.to <= to);
  };
  return {
    add(engine, domain, held) {
      const covered = within(held);
      byEngine.set(engine, covered);
      for (const {holders} of covered) holders.set(engine, domain);
    },
    remove(engine) {
      for (const {holders} of byEngine.get(engine) ?? [])
        holders.delete(engine);
      byEngine.delete(engine);
    },
    within,
    segmentsOf: model => segments.get(model) ?? [],
  };
}

function segmentsOfAll(
  grants: ReadonlyMap<ModelName, ModelGrant>,
  ranges: Iterable<LoadedWeights>,
): Map<ModelName, Segment[]> {
  const points = new Map<ModelName, Set<number>>();
  for (const [model, {layers}] of grants) {
    points.set(model, new Set([0, layers]));
  }
  for (const held of ranges) {
    if (!serves(held, grants.get(held.model))) continue;
    points.get(held.model)!.add(held.layers.from).add(held.layers.to);
  }
  const segments = new Map<ModelName, Segment[]>();
  for (const [model, set] of points) {
    const sorted = [...set].sort((a, b) => a - b);
    segments.set(
      model,
      sorted.slice(1).map((to, at) => ({
        model,
        from: sorted[at],
        to,
        holders: new Map<EndpointId, FailureDomain>(),
      })),
    );
  }
  return segments;
}
