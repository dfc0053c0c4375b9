import type {EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import type {PathWork, RepairChoice} from './coordination/index.js';
import type {EndpointState} from './endpoint-table.js';
import type {Exchange, ExchangeContext} from './exchange.js';
import type {PathLoad} from './path-load.js';
import {repairPath} from './repair-path.js';
import {stageReadingMs} from './stage-reading.js';
import type {EngineProfile} from './types.js';

/** Maximum number of path repairs per attempt, without those that were denied. */
const MAX_REPAIRS = 4;
/** Time for which an engine that refused a stream as full is avoided. */
const FULL_BACKOFF_MS = 250;

/** How the repair of a path ended. */
export type RepairOutcome =
  | {
      readonly kind: 'moved';
      readonly stages: readonly Stage[];
      /** Expected time until the replacements have read the prompt. */
      readonly readMs: number;
    }
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly suspect?: EndpointState;
    }
  /** The attempt ended meanwhile, or events have arrived. */
  | {readonly kind: 'ended'}
  | {readonly kind: 'recovered'};

/** Replacements that may be used, or why there are none. */
type RepairPathChoice =
  | Exclude<RepairChoice, {kind: 'local'}>
  | {
      readonly kind: 'local';
      readonly stages: readonly Stage[];
      readonly readMs: number;
    }
  | {readonly kind: 'no_path'};

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
  readonly load: PathLoad;
  readonly remainingWork: () => PathWork;
  /** Whether the attempt has ended. */
  readonly isEnded: () => boolean;
  /** Whether events have arrived since the silence for which the path was checked. */
  readonly hasRecovered: () => boolean;
  /** State of the attempt, for the log. */
  readonly describe: () => {
    readonly events: number;
    readonly silentMs: number;
    readonly legMs: number;
  };
}

/**
 * Creates the repair of one attempt's path. The coordinator chooses the replacements,
 * because only it knows what other hosts put on them at the same time. Stages that
 * failed once are not used again.
 *
 * @example
 * const repair = createPathRepair({exchange, ctx, profile, ...});
 * const outcome = await repair(stages, [dead]);
 */
export function createPathRepair(options: PathRepairOptions): PathRepair {
  const {exchange, ctx, profile, load} = options;
  const {requestId, service} = exchange;
  const {coordination} = ctx;
  const replaced = new Set<EndpointId>();
  let repairs = 0;

  return repair;

  async function repair(
    stages: readonly Stage[],
    failedStages: readonly Stage[],
  ): Promise<RepairOutcome> {
    const suspect = ctx.table.get(failedStages[0].endpoint);
    const reason = `stream stalled, no response from ${failedStages[0].endpoint}`;
    for (const stage of failedStages) replaced.add(stage.endpoint);
    // The first stage owns the stream.
    if (failedStages.some(({endpoint}) => endpoint === stages[0].endpoint))
      return {kind: 'failed', reason, suspect};
    if (repairs >= MAX_REPAIRS) return {kind: 'failed', reason, suspect};
    const choice = await choose(stages, failedStages);
    if (options.isEnded()) return {kind: 'ended'};
    if (options.hasRecovered()) {
      if (choice.kind === 'granted') load.move(stages);
      for (const stage of failedStages) replaced.delete(stage.endpoint);
      return {kind: 'recovered'};
    }
    if (choice.kind === 'denied') return {kind: 'failed', reason, suspect};
    repairs += 1;
    if (choice.kind === 'no_path') return {kind: 'failed', reason, suspect};
    const {stages: path, readMs} = choice;
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
    if (outcome.kind === 'accepted' || outcome.kind === 'done') {
      if (choice.kind === 'local') load.move(path);
      return {kind: 'moved', stages: path, readMs};
    }
    if (choice.kind === 'granted') load.move(stages);
    const suspectStage = path.find(
      ({address}) =>
        outcome.kind === 'conflict' && address === outcome.suspectAddress,
    );
    if (suspectStage !== undefined)
      return repairWithout(suspectStage, stages, failedStages);
    return {kind: 'failed', reason: `repath: ${outcome.kind}`, suspect};
  }

  /** Asks the coordinator for the replacements; without one, this host chooses. */
  async function choose(
    stages: readonly Stage[],
    failedStages: readonly Stage[],
  ): Promise<RepairPathChoice> {
    const work = options.remainingWork();
    const exclude = new Set([...work.exclude, ...replaced]);
    const failed = failedStages.map(stage => stage.endpoint);
    const asked = await ask({...work, exclude}, stages, failed);
    const choice =
      asked.kind === 'local' ? chooseLocally({...work, exclude}) : asked;
    ctx.metrics.repairs.inc({outcome: asked.kind});
    ctx.log.event('repairChosen', {
      requestId,
      outcome: asked.kind,
      replaced: failed.join(','),
      readMs: 'readMs' in choice ? Math.round(choice.readMs) : undefined,
    });
    return choice;

    function chooseLocally(need: PathWork): RepairPathChoice {
      const path = repairPath(
        stages,
        new Set(failed),
        ctx.table.usable(service.name),
        profile,
        coordination.localRequest(need),
      );
      if (path === undefined) return {kind: 'no_path'};
      const readMs = path
        .filter(stage => !stages.some(old => old.endpoint === stage.endpoint))
        .map(stage =>
          stageReadingMs(
            stage,
            ctx.table.get(stage.endpoint),
            profile,
            need.promptTokens,
          ),
        )
        .reduce((sum, stageMs) => sum + stageMs, 0);
      return {kind: 'local', stages: path, readMs};
    }
  }

  async function ask(
    work: PathWork,
    stages: readonly Stage[],
    failed: readonly EndpointId[],
  ): Promise<RepairChoice> {
    const grantId = load.grantId();
    if (grantId === undefined) return {kind: 'local'};
    const choice = await coordination.askRepair({
      ...work,
      service: service.name,
      profile,
      isRetry: false,
      repair: {id: grantId, stages, replaced: failed},
      onGranted(path) {
        if (!options.isEnded()) load.move(path);
      },
    });
    // The coordinator may have recorded the grant after its release.
    if (options.isEnded()) coordination.held.release(grantId);
    return choice;
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
