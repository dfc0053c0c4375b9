/**
 * Plans which layers each engine should hold. Pure: equal input, equal plan.
 */
import type {EndpointId, ModelGrant, ModelName} from '@chivewick/common';
import type {DesiredEngine, LayerRange} from '@chivewick/engines';
import {createCoverage, type Coverage, type Segment} from './coverage.js';
import {chooseEngine, type RequiredStage} from './choose-engine.js';
import type {EngineView, Plan} from './plan-types.js';
import {rankTargets} from './rank.js';
import {isRangeOf, sameWeights, serves} from './same-state.js';
import {divideLayers} from './stages.js';

const SERVE_ROLE = 'serve';
/** Replicas that each layer range should have. */
const MIN_REPLICAS = 2;

/** Layers per stage when no engine's capacity is known. */
const DEFAULT_WIDTH = 32;

/**
 * Plans the state of every live engine. Engines that serve granted layers keep
 * them. The others, and if needed engines whose ranges have replicas to spare,
 * first cover layers that no engine serves, then layers with fewer than two
 * replicas or in only one failure domain. An engine is never moved away from
 * layers unless another reachable and secured engine continues to serve them.
 * Engines that are leaving or whose state is unknown get no target.
 *
 * @example
 * const {targets, uncovered} = planEngines(grants, engines);
 */
export function planEngines(
  models: readonly ModelGrant[],
  engines: readonly EngineView[],
): Plan {
  const grants = new Map(models.map(grant => [grant.model, grant]));
  const usable = engines.filter(e => !e.leaving && e.state !== undefined);
  const stages = stagesOf(models, engines, usable);
  const ranges = [
    ...usable.flatMap(e => inGrantedVersion(e.state!, grants) ?? []),
    ...usable.flatMap(e => e.desired ?? []),
    ...[...stages].flatMap(([model, parts]) =>
      parts.map(layers => ({
        model,
        version: grants.get(model)!.version,
        layers,
      })),
    ),
  ];
  const current = createCoverage(grants, ranges);
  for (const e of usable)
    if (e.reachable) current.add(e.id, e.failureDomain, e.state!);
  const assigner = createAssigner({
    grants,
    ranges,
    usable,
    current,
  });
  const pool = assigner.assignKept();
  const stageTargets = requiredStages(models, stages);
  const needs = [isUncovered, needsSpare(usable)];
  for (const needsReplica of needs)
    assigner.fill(stageTargets, () => pool, needsReplica);
  // An unresponsive engine may return. Engines that serve nothing replace it
  // immediately; engines that serve are moved only once it counts as lost.
  assigner.countUnreachable();
  for (const needsReplica of needs)
    assigner.fill(stageTargets, assigner.movable, needsReplica);
  assigner.assignRemaining(stageTargets);
  return {
    targets: rankTargets(assigner, usable, current, grants),
    uncovered: models.flatMap(({model}) => uncoveredOf(model, current)),
  };
}

function stagesOf(
  models: readonly ModelGrant[],
  engines: readonly EngineView[],
  usable: readonly EngineView[],
): Map<ModelName, LayerRange[]> {
  const known = [
    ...usable.map(e => ({...e.state!, serving: e.reachable})),
    ...engines.flatMap(e =>
      e.desired === undefined ? [] : {...e.desired, serving: false},
    ),
  ];
  const widths = usable.flatMap(e => e.maxLayers ?? []).sort((a, b) => a - b);
  const width = widths[Math.floor(widths.length / 2)] ?? DEFAULT_WIDTH;
  return new Map(
    models.map(grant => [grant.model, divideLayers(grant, known, width)]),
  );
}

function requiredStages(
  models: readonly ModelGrant[],
  stages: ReadonlyMap<ModelName, readonly LayerRange[]>,
): RequiredStage[] {
  return models.flatMap(({model, version, adapters}) =>
    (stages.get(model) ?? []).map(layers => ({
      model,
      version,
      layers,
      adapters,
    })),
  );
}

type NeedsReplica = (segment: Segment) => boolean;

const isUncovered: NeedsReplica = ({holders}) => holders.size === 0;

function needsSpare(usable: readonly EngineView[]): NeedsReplica {
  const domains = new Set(usable.map(e => e.failureDomain)).size;
  const requiredDomains = Math.min(MIN_REPLICAS, domains);
  return ({holders}) =>
    holders.size < MIN_REPLICAS ||
    new Set(holders.values()).size < requiredDomains;
}

interface AssignerInput {
  readonly grants: ReadonlyMap<ModelName, ModelGrant>;
  readonly ranges: Parameters<typeof createCoverage>[1];
  readonly usable: readonly EngineView[];
  readonly current: Coverage;
}

function createAssigner({grants, ranges, usable, current}: AssignerInput) {
  /** Coverage once all targets are reached. */
  const planned = createCoverage(grants, ranges);
  /** Coverage by engines that serve now and keep their weights. */
  const staying = createCoverage(grants, ranges);
  /**
   * As `staying`, without engines that an earlier lease holder can still move.
   */
  const secured = createCoverage(grants, ranges);
  const targets = new Map<EndpointId, DesiredEngine>();
  /** Engines without a target. */
  const pool = new Set<EngineView>();
  const waiting = new Set<EndpointId>();
  for (const e of usable.filter(({reachable}) => reachable)) {
    staying.add(e.id, e.failureDomain, e.state!);
    if (e.secured) secured.add(e.id, e.failureDomain, e.state!);
  }

  function assign(engine: EngineView, stage: RequiredStage): void {
    if (!isReplicatedIn(engine, secured)) waiting.add(engine.id);
    const desired = {
      ...stage,
      adapters: [...stage.adapters].sort(),
      role: engine.state!.role || SERVE_ROLE,
    };
    targets.set(engine.id, desired);
    planned.remove(engine.id);
    if (engine.reachable) planned.add(engine.id, engine.failureDomain, desired);
    if (sameWeights(engine.state!, desired)) return;
    staying.remove(engine.id);
    secured.remove(engine.id);
  }

  /** Whether other engines in `others` serve every layer that this one serves. */
  function isReplicatedIn(engine: EngineView, others: Coverage): boolean {
    return current
      .within(engine.state!)
      .every(({model, from, to}) =>
        others
          .within({...engine.state!, model, layers: {from, to}})
          .every(({holders}) => holders.size > Number(holders.has(engine.id))),
      );
  }

  function keptState(engine: EngineView): DesiredEngine | undefined {
    const {state, desired} = engine;
    const granted = (held: DesiredEngine | undefined) =>
      held !== undefined && serves(held, grants.get(held.model));
    if (!granted(desired)) return granted(state) ? state : undefined;
    if (sameWeights(desired!, state!) || isReplicatedIn(engine, staying))
      return desired;
    return state;
  }

  /** Whether the planned coverage stays sufficient without this engine. */
  function canMove(engine: EngineView, needsReplica: NeedsReplica): boolean {
    const held = targets.get(engine.id);
    if (held === undefined || !sameWeights(held, engine.state!)) return false;
    const without = (s: Segment): Segment => {
      const holders = new Map(s.holders);
      holders.delete(engine.id);
      return {...s, holders};
    };
    return (
      isReplicatedIn(engine, secured) &&
      planned.within(held).every(s => !needsReplica(without(s)))
    );
  }

  return {
    targets: () => targets,
    /**
     * Engines that must not move until secured engines serve the same layers.
     */
    waiting: () => waiting,
    /**
     * Lets engines that serve granted layers keep them; returns the other
     * engines.
     */
    assignKept(): Set<EngineView> {
      for (const engine of usable) {
        const kept = keptState(engine);
        if (kept === undefined) pool.add(engine);
        else
          assign(engine, {
            ...kept,
            adapters: grants.get(kept.model)!.adapters,
          });
      }
      return pool;
    },
    /** Counts unresponsive engines as if they served their targets. */
    countUnreachable() {
      for (const {id, failureDomain, reachable} of usable) {
        const desired = targets.get(id);
        if (!reachable && desired) planned.add(id, failureDomain, desired);
      }
    },
    /** Engines that may be moved although they serve granted layers. */
    movable: (needsReplica: NeedsReplica) =>
      usable.filter(e => e.reachable && canMove(e, needsReplica)),
    /**
     * Assigns the best available engines to each segment that needs a replica.
     */
    fill(
      stages: readonly RequiredStage[],
      candidates: (needsReplica: NeedsReplica) => Iterable<EngineView>,
      needsReplica: NeedsReplica,
    ) {
      for (const stage of stages)
        for (const segment of planned.within(stage))
          for (let round = 0; round < usable.length; round++) {
            if (!needsReplica(segment)) break;
            const {layers} = grants.get(stage.model)!;
            const choice = chooseEngine(
              candidates(needsReplica),
              stage,
              segment,
              layers,
            );
            if (choice === undefined) break;
            pool.delete(choice.engine);
            assign(choice.engine, {...stage, layers: choice.layers});
          }
    },
    /**
     * Assigns the remaining engines to their previous range, or to the stage
     * with the fewest replicas.
     */
    assignRemaining(stages: readonly RequiredStage[]) {
      const replicas = (stage: RequiredStage) =>
        Math.min(...planned.within(stage).map(s => s.holders.size));
      for (const engine of pool) {
        const maxLayers = engine.maxLayers ?? Infinity;
        const own = inGrantedVersion(engine.state!, grants);
        const fits = stages.filter(
          stage => stage.layers.to - stage.layers.from <= maxLayers,
        );
        const assigned =
          own ?? fits.sort((a, b) => replicas(a) - replicas(b)).at(0);
        if (assigned !== undefined) assign(engine, assigned);
      }
    },
  };
}

/** The same layers in the currently granted version. */
function inGrantedVersion(
  held: DesiredEngine,
  grants: ReadonlyMap<ModelName, ModelGrant>,
): DesiredEngine | undefined {
  const grant = grants.get(held.model);
  if (grant === undefined || !isRangeOf(held.layers, grant.layers)) return;
  return {...held, version: grant.version, adapters: grant.adapters};
}

function uncoveredOf(model: ModelName, current: Coverage): string[] {
  return current
    .segmentsOf(model)
    .filter(isUncovered)
    .map(({from, to}) => `${model} ${from}-${to}`);
}
