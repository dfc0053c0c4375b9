/** Chooses the engine that a layer range is assigned to. */
import type {DesiredEngine, LayerRange} from '@chivewick/engines';
import type {Segment} from './coverage.js';
import type {EngineView} from './plan-types.js';
import {isRangeOf, sameWeights} from './same-state.js';

/** A layer range of a granted model that an engine should hold. */
export type RequiredStage = Omit<DesiredEngine, 'role'>;

/** An engine, and the layers that it would be assigned. */
export interface EngineChoice {
  readonly engine: EngineView;
  readonly layers: LayerRange;
}

/**
 * Returns the engine that covers a segment with the least disruption, or
 * undefined if there is none. Preference, in this order: it was already ordered
 * to hold the layers, its failure domain has no replica, it has no sessions, it
 * holds an earlier version of the same layers; then the lowest ID. An engine of
 * the same model keeps its own range, which is known to fit; any other engine
 * takes the range of the stage if that fits.
 *
 * @example
 * const choice = chooseEngine(pool, stage, segment, grant.layers);
 */
export function chooseEngine(
  engines: Iterable<EngineView>,
  stage: RequiredStage,
  segment: Segment,
  layerCount: number,
): EngineChoice | undefined {
  const domains = new Set(segment.holders.values());
  let best: {choice: EngineChoice; score: number} | undefined;
  for (const engine of engines) {
    if (!engine.reachable || segment.holders.has(engine.id)) continue;
    // A range with two replicas gains nothing from another in the same domain.
    const addsDomain = !domains.has(engine.failureDomain);
    if (!addsDomain && segment.holders.size > 1) continue;
    const heldLayers =
      engine.state?.model === stage.model && engine.state.layers;
    const ownRange =
      heldLayers && isRangeOf(heldLayers, layerCount) ? heldLayers : undefined;
    const layers = layersFor(engine, ownRange, stage, segment);
    if (layers === undefined) continue;
    const score = scoreOf(engine, {...stage, layers}, addsDomain);
    const isBetter =
      best === undefined ||
      score > best.score ||
      (score === best.score && engine.id < best.choice.engine.id);
    if (isBetter) best = {choice: {engine, layers}, score};
  }
  return best?.choice;
}

function layersFor(
  {maxLayers = Infinity}: EngineView,
  ownRange: LayerRange | undefined,
  {layers}: RequiredStage,
  segment: Segment,
): LayerRange | undefined {
  if (ownRange && ownRange.from <= segment.from && ownRange.to >= segment.to)
    return ownRange;
  return layers.to - layers.from <= maxLayers ? layers : undefined;
}

function scoreOf(
  engine: EngineView,
  stage: RequiredStage,
  addsDomain: boolean,
): number {
  const {state, desired, idle} = engine;
  const alreadyOrdered = desired !== undefined && sameWeights(desired, stage);
  const sameLayers =
    state?.model === stage.model &&
    sameWeights({...state, version: ''}, {...stage, version: ''});
  const criteria = [alreadyOrdered, addsDomain, idle, sameLayers];
  return criteria.reduce(
    (score, criterion) => score * 2 + Number(criterion),
    0,
  );
}
