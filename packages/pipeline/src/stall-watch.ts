/** Watches one attempt for a stall, judged by the stream's own pace. */
import type {EndpointId} from '@chivewick/common';
import type {EngineFrame} from '@chivewick/engines';
import {
  isPresent,
  isSilent,
  laggardOf,
  probeStages,
  progressOf,
  type ProbeAnswer,
} from './probe.js';
import type {Context, Run, StageFault} from './run-state.js';

/**
 * Rounds of probes without any answer before the stages are held to be at
 * fault. Engines seldom stop at the same moment; a host that is starved of
 * processor time or cut off hears from none of them. Three rounds take at most
 * 0.75 s plus the pace of the stream.
 */
const SILENT_ROUNDS = 3;

export type WatchedRead =
  | {readonly kind: 'frame'; readonly frame: EngineFrame}
  | {readonly kind: 'broken'}
  /** Endpoints found at fault; empty while every stage answers. */
  | {readonly kind: 'faults'; readonly faults: readonly StageFault[]};

export interface StallWatch {
  next(): Promise<WatchedRead>;
  /**
   * Notes a token. Returns the stage that made several consecutive tokens
   * late, if there is one.
   */
  tokenArrived(): EndpointId | undefined;
}

/**
 * Creates the watch of the run's present attempt. Each time that the stream is
 * silent for longer than its pace allows, all stages are probed; a token that
 * arrives meanwhile ends the probe.
 *
 * @example
 * const watch = createStallWatch(ctx, run);
 * const read = await watch.next();
 */
export function createStallWatch(ctx: Context, run: Run): StallWatch {
  const {attempt, request} = run;
  const {limits} = ctx;
  let progress = '';
  let idleRounds = 0;
  let silentRounds = 0;
  let laggard: EndpointId | undefined;
  let lateTokens = 0;

  const judge = (answers: readonly ProbeAnswer[]): StageFault[] => {
    const lost = answers.filter(answer => !isPresent(answer));
    silentRounds =
      answers.length > 1 && answers.every(isSilent) ? silentRounds + 1 : 0;
    if (silentRounds > 0 && silentRounds < SILENT_ROUNDS) {
      run.troubleMs ??= performance.now();
      return [];
    }
    if (lost.length > 0)
      return lost.map(answer => ({
        endpoint: answer.endpoint,
        cause: isSilent(answer) ? 'silent' : 'broken',
      }));
    const seen = progressOf(answers);
    laggard = laggardOf(answers, run.tokens.length);
    if (seen !== progress) {
      progress = seen;
      idleRounds = 0;
      return [];
    }
    run.troubleMs ??= performance.now();
    idleRounds += 1;
    // The first probe of a stall counts as well; it has nothing to compare with.
    const probes = idleRounds + 1;
    if (probes < limits.slowStalls || laggard === undefined) return [];
    idleRounds = 0;
    return [{endpoint: laggard, cause: 'slow'}];
  };

  return {
    async next() {
      const read = await attempt.reader.nextWithin(stallLimitMs(ctx, run));
      if (read.kind !== 'other') return read;
      const probe = probeStages(ctx.engines, request.id, attempt.route, limits);
      const probed = await attempt.reader.next(probe);
      if (probed.kind !== 'other') return probed;
      return {kind: 'faults', faults: judge(probed.value)};
    },
    tokenArrived() {
      const late = laggard;
      lateTokens = late === undefined ? 0 : lateTokens + 1;
      laggard = undefined;
      progress = '';
      idleRounds = 0;
      return lateTokens >= limits.slowStalls ? late : undefined;
    },
  };
}

/**
 * Silence after which the stages are probed, in milliseconds: the limit of the
 * decode pace between tokens; before the first token, the model's time for
 * each token to be computed times their number.
 *
 * @example
 * const limitMs = stallLimitMs(ctx, run);
 */
export function stallLimitMs(ctx: Context, run: Run): number {
  const {limits, prefillPaces} = ctx;
  const {attempt, patience} = run;
  if (attempt.flowing) {
    const paceMs = run.pace.limitMs() ?? limits.firstTokenMs;
    return Math.max(limits.stallFloorMs, paceMs) * patience;
  }
  const perTokenMs = prefillPaces.get(run.request.model.model)?.limitMs();
  if (perTokenMs === undefined) return limits.firstTokenMs * patience;
  return (
    Math.max(limits.stallFloorMs, perTokenMs * run.tokens.length) * patience
  );
}
