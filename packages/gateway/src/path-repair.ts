import type {EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import type {PathRequest} from './choose-path.js';
import type {EndpointState} from './endpoint-table.js';
import type {Exchange, ExchangeContext} from './exchange.js';
import {repairPath} from './repair-path.js';
import type {EngineProfile} from './types.js';

/** Maximum number of path repairs per attempt. */
const MAX_REPAIRS = 4;
/** Time for which an engine that refused a stream as full is avoided. */
const FULL_BACKOFF_MS = 250;

/** How the repair of a path ended. */
export type RepairOutcome =
  | {readonly kind: 'moved'; readonly stages: readonly Stage[]}
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly suspect?: EndpointState;
    }
  /** The attempt ended meanwhile. */
  | {readonly kind: 'ended'};

/** Moves the stream of one attempt to a path without some stages. */
export type PathRepair = (
  stages: readonly Stage[],
  failedStages: readonly Stage[],
) => Promise<RepairOutcome>;

/** Dependencies of a path repair. */
export interface PathRepairOptions {
  readonly exchange: Exchange;
  readonly ctx: ExchangeContext;
  readonly profile: EngineProfile;
  readonly pathRequest: () => PathRequest;
  /** Whether the attempt has ended. */
  readonly isEnded: () => boolean;
  /** State of the attempt, for the log. */
  readonly describe: () => {
    readonly events: number;
    readonly silentMs: number;
    readonly legMs: number;
  };
}

/**
 * Creates the repair of one attempt's path. Stages that failed once are not used
 * again.
 *
 * @example
 * const repair = createPathRepair({exchange, ctx, profile, ...});
 * const outcome = await repair(stages, [dead]);
 */
export function createPathRepair(options: PathRepairOptions): PathRepair {
  const {exchange, ctx, profile} = options;
  const {requestId, service} = exchange;
  const replaced = new Set<EndpointId>();
  let repairs = 0;

  return repair;

  async function repair(
    stages: readonly Stage[],
    failedStages: readonly Stage[],
  ): Promise<RepairOutcome> {
    const suspect = ctx.table.get(failedStages[0].endpoint);
    const reason = `stream stalled, no response from ${failedStages[0].endpoint}`;
    repairs += 1;
    for (const stage of failedStages) replaced.add(stage.endpoint);
    const request = options.pathRequest();
    const path =
      repairs > MAX_REPAIRS
        ? undefined
        : repairPath(
            stages,
            new Set(failedStages.map(stage => stage.endpoint)),
            ctx.table.usable(service.name),
            profile,
            {...request, exclude: new Set([...request.exclude, ...replaced])},
          );
    if (path === undefined) return {kind: 'failed', reason, suspect};
    const outcome = await ctx.control.repath(
      {id: stages[0].endpoint, address: stages[0].address},
      requestId,
      path,
      {fence: ctx.fence()},
    );
    if (options.isEnded()) return {kind: 'ended'};
    ctx.log.event('pathChanged', {
      requestId,
      outcome: outcome.kind,
      replaced: failedStages.map(stage => stage.endpoint).join(','),
      path: path.map(item => item.endpoint).join(','),
      ...options.describe(),
    });
    if (outcome.kind === 'accepted' || outcome.kind === 'done')
      return {kind: 'moved', stages: path};
    const suspectStage = path.find(
      ({address}) =>
        outcome.kind === 'conflict' && address === outcome.suspectAddress,
    );
    if (suspectStage !== undefined)
      return repairWithout(suspectStage, stages, failedStages);
    return {kind: 'failed', reason: `repath: ${outcome.kind}`, suspect};
  }

  /**
   * Repairs the path again, without a stage of the new path that the first stage
   * reported as the cause of a conflict.
   */
  function repairWithout(
    suspectStage: Stage,
    stages: readonly Stage[],
    failedStages: readonly Stage[],
  ): Promise<RepairOutcome> {
    replaced.add(suspectStage.endpoint);
    const state = ctx.table.get(suspectStage.endpoint);
    if (state !== undefined) {
      state.fullUntilMs = performance.now() + FULL_BACKOFF_MS;
    }
    const wasOnPath = stages.some(
      stage => stage.endpoint === suspectStage.endpoint,
    );
    return repair(
      stages,
      wasOnPath ? [...failedStages, suspectStage] : failedStages,
    );
  }
}
