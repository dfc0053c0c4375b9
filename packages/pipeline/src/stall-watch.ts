/** Detects stalls of one attempt, relative to the pace of its own stream. */
import type {EndpointId} from '@chivewick/common';
import type {EngineFrame} from '@chivewick/engines';
import {
  isReachable,
  isUnresponsive,
  findBottleneck,
  probeStages,
  progressSnapshot,
  type ProbeAnswer,
} from './probe.js';
import type {Context, Run, StageFault} from './run-state.js';

/**
 * Probe rounds without any answer after which the stages are considered
 * failed. Engines seldom stop at the same moment; a host that is short of CPU
 * time or has lost its network gets no answer from any of them. Three rounds
 * take at most 0.75 s plus the stall limit of the stream.
 */
const MAX_UNANSWERED_ROUNDS = 3;

/** Result of one read: a frame, a broken stream, or the faults found. */
export type WatchedRead =
  | {readonly kind: 'frame'; readonly frame: EngineFrame}
  | {readonly kind: 'broken'}
  /** Stages found faulty by a probe; may be empty. */
  | {readonly kind: 'faults'; readonly faults: readonly StageFault[]};

export interface StallWatch {
  /** Waits for the next frame; probes the stages when the stream stalls. */
  next(): Promise<WatchedRead>;
  /**
   * Records the arrival of a token. Returns the current bottleneck once
   * `slowAfterProbes` consecutive tokens were late.
   */
  tokenArrived(): EndpointId | undefined;
}

/**
 * Creates the stall watch of the run's current attempt. Whenever no frame
 * arrives within the stall limit, all stages are probed; a frame that arrives
 * first ends the wait for the probe.
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
  let unansweredRounds = 0;
  let bottleneck: EndpointId | undefined;
  let lateTokens = 0;

  const findFaults = (answers: readonly ProbeAnswer[]): StageFault[] => {
    const unreachable = answers.filter(answer => !isReachable(answer));
    unansweredRounds =
      answers.length > 1 && answers.every(isUnresponsive)
        ? unansweredRounds + 1
        : 0;
    if (unansweredRounds > 0 && unansweredRounds < MAX_UNANSWERED_ROUNDS) {
      run.stalledSinceMs ??= performance.now();
      return [];
    }
    if (unreachable.length > 0)
      return unreachable.map(answer => ({
        endpoint: answer.endpoint,
        cause: isUnresponsive(answer) ? 'silent' : 'broken',
      }));
    const snapshot = progressSnapshot(answers);
    bottleneck = findBottleneck(answers, run.tokens.length);
    if (snapshot !== progress) {
      progress = snapshot;
      idleRounds = 0;
      return [];
    }
    run.stalledSinceMs ??= performance.now();
    idleRounds += 1;
    // Adds the first probe of the stall, which had no earlier one to compare with.
    const probes = idleRounds + 1;
    if (probes < limits.slowAfterProbes || bottleneck === undefined) return [];
    idleRounds = 0;
    return [{endpoint: bottleneck, cause: 'slow'}];
  };

  return {
    async next() {
      const read = await attempt.reader.nextWithin(stallLimitMs(ctx, run));
      if (read.kind !== 'other') return read;
      const probe = probeStages(ctx.engines, request.id, attempt.route, limits);
      const probed = await attempt.reader.next(probe);
      if (probed.kind !== 'other') return probed;
      return {kind: 'faults', faults: findFaults(probed.value)};
    },
    tokenArrived() {
      const slowStage = bottleneck;
      lateTokens = slowStage === undefined ? 0 : lateTokens + 1;
      bottleneck = undefined;
      progress = '';
      idleRounds = 0;
      return lateTokens >= limits.slowAfterProbes ? slowStage : undefined;
    },
  };
}

/**
 * Time without a frame after which the stages are probed, in milliseconds.
 * Between tokens it is the limit of the decode pace; before the first token, it
 * is the model's limit per prefilled token times the number of known tokens.
 *
 * @example
 * const limitMs = stallLimitMs(ctx, run);
 */
export function stallLimitMs(ctx: Context, run: Run): number {
  const {limits, prefillPaces} = ctx;
  const {attempt, stallLimitFactor} = run;
  if (attempt.receivedToken) {
    const paceMs = run.pace.limitMs() ?? limits.initialStallMs;
    return Math.max(limits.minStallMs, paceMs) * stallLimitFactor;
  }
  const perTokenMs = prefillPaces.get(run.request.model.model)?.limitMs();
  if (perTokenMs === undefined) return limits.initialStallMs * stallLimitFactor;
  return (
    Math.max(limits.minStallMs, perTokenMs * run.tokens.length) *
    stallLimitFactor
  );
}
