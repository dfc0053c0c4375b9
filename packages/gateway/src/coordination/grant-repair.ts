import type {EndpointId} from '@chivewick/common';
import {createRepairReadings} from '@chivewick/coordination';
import type {Stage} from '@chivewick/engines';
import type {PathRequest} from '../choose-path.js';
import type {EndpointTable} from '../endpoint-table.js';
import {repairPath} from '../repair-path.js';
import {stageReadingMs} from '../stage-reading.js';
import type {EngineProfile} from '../types.js';
import type {PathAnswer, PathAsk, RepairAsk} from './messages.js';

/** Decides on the repair of a path, with the load of all hosts in the table. */
export type RepairGrants = (
  ask: PathAsk & {readonly repair: RepairAsk},
  profile: EngineProfile,
  request: PathRequest,
) => Extract<PathAnswer, {kind: 'path' | 'no_capacity'}>;

/**
 * Creates the decision on repairs. Repairs that are granted together spread, because
 * each adds the reading of its prompt to the expected time of the next.
 *
 * @example
 * const grantRepair = createRepairGrants(table);
 * const answer = grantRepair(ask, profile, request);
 */
export function createRepairGrants(table: EndpointTable): RepairGrants {
  const readings = createRepairReadings();

  /** Adds the readings of the new stages; returns when the last one is done. */
  function addReadings(
    added: readonly Stage[],
    profile: EngineProfile,
    promptTokens: number,
  ): number {
    let readMs = 0;
    for (const stage of added) {
      const state = table.get(stage.endpoint);
      const workMs = stageReadingMs(stage, state, profile, promptTokens);
      readings.add(stage.endpoint, workMs);
      readMs += readings.waitMs(stage.endpoint);
    }
    return readMs;
  }

  return (ask, profile, request) => {
    const {stages, replaced} = ask.repair;
    const path = repairPath(
      stages,
      new Set<EndpointId>(replaced),
      table.usable(ask.service),
      profile,
      {...request, waitMs: endpoint => readings.waitMs(endpoint)},
    );
    if (path === undefined) {
      const layers = stages
        .filter(stage => replaced.includes(stage.endpoint))
        .map(({from, to}) => `${from}-${to}`)
        .join(', ');
      return {kind: 'no_capacity', layers, mayFree: true, isRepair: true};
    }
    const kept = new Set(stages.map(stage => stage.endpoint));
    const added = path.filter(stage => !kept.has(stage.endpoint));
    const readMs = addReadings(added, profile, ask.promptTokens);
    return {kind: 'path', stages: path, isRepair: true, readMs};
  };
}
