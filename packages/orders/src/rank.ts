/** Ranks targets by how urgently their loads are needed. */
import type {EndpointId, ModelGrant, ModelName} from '@chivewick/common';
import type {DesiredEngine} from '@chivewick/engines';
import type {Coverage, Segment} from './coverage.js';
import type {EngineView, Need, Target} from './plan-types.js';
import {sameWeights, serves} from './same-state.js';

const NEED_ORDER: readonly Need[] = ['uncovered', 'spare', 'extra', 'keep'];
/** Replicas that each layer range should have. */
const MIN_REPLICAS = 2;

interface Row {
  readonly id: EndpointId;
  readonly desired: DesiredEngine;
  readonly need: Need;
  readonly servesNow: boolean;
  /** Uncovered ranges of the model; a model with fewer is usable sooner. */
  readonly missingRanges: number;
}

/**
 * Ranks the targets by need, then by the number of uncovered ranges of the
 * model, fewest first, because a model with a missing range serves nothing.
 *
 * @example
 * const ranked = rankTargets(assigner, engines, current, grants);
 */
export function rankTargets(
  assigned: {
    targets(): ReadonlyMap<EndpointId, DesiredEngine>;
    waiting(): ReadonlySet<EndpointId>;
  },
  engines: readonly EngineView[],
  current: Coverage,
  grants: ReadonlyMap<ModelName, ModelGrant>,
): Map<EndpointId, Target> {
  /** Replicas added by the targets seen so far. */
  const plannedReplicas = new Map<Segment, number>();
  const rows: Row[] = [];
  const states = new Map(engines.map(({id, state}) => [id, state]));
  // In order of assignment, so that of two engines for one range the one in
  // another failure domain counts as the spare.
  for (const [id, desired] of assigned.targets()) {
    const state = states.get(id);
    if (state === undefined) continue;
    const servesNow = serves(state, grants.get(state.model));
    const need = sameWeights(state, desired)
      ? 'keep'
      : needOf(current.within(desired), plannedReplicas);
    const missingRanges = current
      .segmentsOf(desired.model)
      .filter(s => s.holders.size === 0).length;
    rows.push({id, desired, need, servesNow, missingRanges});
  }
  rows.sort(compareRows);
  return new Map(
    rows.map(({id, ...row}, rank) => [
      id,
      {
        desired: row.desired,
        need: row.need,
        servesNow: row.servesNow,
        waits: row.need !== 'keep' && assigned.waiting().has(id),
        rank,
      },
    ]),
  );
}

function needOf(
  segments: readonly Segment[],
  plannedReplicas: Map<Segment, number>,
): Need {
  let fewest = Infinity;
  for (const segment of segments) {
    const replicas = segment.holders.size + (plannedReplicas.get(segment) ?? 0);
    fewest = Math.min(fewest, replicas);
    plannedReplicas.set(segment, (plannedReplicas.get(segment) ?? 0) + 1);
  }
  if (fewest === 0) return 'uncovered';
  return fewest < MIN_REPLICAS ? 'spare' : 'extra';
}

function compareRows(a: Row, b: Row): number {
  const byNeed = NEED_ORDER.indexOf(a.need) - NEED_ORDER.indexOf(b.need);
  if (byNeed !== 0) return byNeed;
  if (a.missingRanges !== b.missingRanges)
    return a.missingRanges - b.missingRanges;
  if (a.desired.model !== b.desired.model)
    return a.desired.model < b.desired.model ? -1 : 1;
  return (
    a.desired.layers.from - b.desired.layers.from || (a.id < b.id ? -1 : 1)
  );
}
