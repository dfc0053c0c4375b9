/** Reads one attempt: yields its tokens and decides when it has failed. */
import {failure} from '@chivewick/common';
import type {FaultFrame, TokenFrame} from '@chivewick/engines';
import {cancelReplaced} from './cancel.js';
import {formatEventId} from './event-id.js';
import {prepareMove} from './move.js';
import {createPace} from './pace.js';
import {chooseNextRoute} from './recover.js';
import {
  generatedTokens,
  nextPosition,
  type Attempt,
  type Context,
  type Run,
  type StageFault,
  type AttemptOutcome,
} from './run-state.js';
import {createStallWatch} from './stall-watch.js';
import type {TokenEvent} from './types.js';

/** Number of tokens between reports of a stream's pace to the route table. */
const PACE_REPORT_TOKENS = 16;

/**
 * Yields the tokens of the run's current attempt and returns how it ended.
 * Frames of another epoch or of a known position are dropped.
 *
 * @example
 * const outcome = yield* readAttempt(ctx, run);
 */
export async function* readAttempt(
  ctx: Context,
  run: Run,
): AsyncGenerator<TokenEvent, AttemptOutcome> {
  const {attempt} = run;
  const watch = createStallWatch(ctx, run);
  for (;;) {
    const read = await watch.next();
    if (read.kind === 'broken')
      return recover({endpoint: attempt.route[0].endpoint, cause: 'broken'});
    if (read.kind === 'faults') {
      const outcome = stageFaultsOutcome(ctx, run, read.faults);
      if (outcome !== undefined) return outcome;
      continue;
    }
    const {frame} = read;
    if (frame.epoch !== attempt.epoch) continue;
    if (frame.type === 'done') {
      const {reason, usage} = frame;
      const missing = usage.generatedTokens - generatedTokens(run).length;
      if (missing > 0)
        return recover({endpoint: attempt.route[0].endpoint, cause: 'refused'});
      return {kind: 'done', event: {type: 'done', reason, usage}};
    }
    if (frame.type === 'fault') return faultFrameOutcome(attempt, frame);
    if (frame.position < nextPosition(run)) continue;
    if (frame.position > nextPosition(run))
      return recover({endpoint: attempt.route[0].endpoint, cause: 'refused'});
    const bottleneck = watch.tokenArrived();
    const event = recordToken(ctx, run, frame);
    if (event !== undefined) yield event;
    if (bottleneck !== undefined)
      void prepareMove(ctx, run, bottleneck, 'slow');
    if (attempt.successor !== undefined)
      return {kind: 'switch', route: attempt.successor};
  }
}

function recover(...faults: StageFault[]): AttemptOutcome {
  return {kind: 'recover', faults};
}

/**
 * Outcome of the faults found by a probe; undefined to keep reading. Slow
 * stages are replaced only if another route exists.
 */
function stageFaultsOutcome(
  ctx: Context,
  run: Run,
  faults: readonly StageFault[],
): AttemptOutcome | undefined {
  const silenceMs =
    performance.now() - (run.stalledSinceMs ?? performance.now());
  if (silenceMs > ctx.limits.silenceMs) {
    const err = failure(
      'deadline_exceeded',
      `no token for ${Math.round(silenceMs)} ms`,
    );
    return {kind: 'failed', err};
  }
  if (faults.length === 0) return undefined;
  const allSlow = faults.every(({cause}) => cause === 'slow');
  const alternative = allSlow
    ? chooseNextRoute(
        ctx,
        run,
        faults.map(({endpoint}) => endpoint),
      )
    : undefined;
  if (alternative?.ok === false) return undefined;
  return recover(...faults);
}

function faultFrameOutcome(
  attempt: Attempt,
  frame: FaultFrame,
): AttemptOutcome {
  const endpoint = frame.endpoint ?? attempt.route[0].endpoint;
  switch (frame.kind) {
    case 'stale_epoch':
      return {
        kind: 'failed',
        err: failure('gone', 'another host continues this request'),
      };
    case 'forbidden':
      return {
        kind: 'failed',
        err: failure('forbidden', 'the session belongs to another workspace'),
      };
    case 'leaving':
      return recover({endpoint, cause: 'leaving'});
    case 'not_loaded':
    case 'overloaded':
      return recover({endpoint, cause: 'refused'});
    case 'next_stage_failed':
    case 'not_found':
      return recover({endpoint, cause: 'broken'});
  }
}

/** Records a token; returns undefined if the caller already has it. */
function recordToken(
  ctx: Context,
  run: Run,
  frame: TokenFrame,
): TokenEvent | undefined {
  const {attempt, request} = run;
  const {position, token, text, epoch} = frame;
  const nowMs = performance.now();
  run.tokens.push(token);
  if (position <= run.deliveredPosition || position < run.promptCount)
    return undefined;
  const recovered = run.stalledSinceMs !== undefined && !attempt.receivedToken;
  if (recovered) {
    ctx.observer?.recovered(request.id, nowMs - run.lastTokenMs);
    ctx.quarantine?.releaseEndpoints?.(request.id);
  }
  samplePace(ctx, run, nowMs);
  run.lastTokenMs = nowMs;
  run.deliveredPosition = position;
  const head = attempt.route[0].endpoint;
  const id = formatEventId({request: request.id, head, epoch, position});
  return {type: 'token', id, position, token, text};
}

function samplePace(ctx: Context, run: Run, nowMs: number): void {
  const {attempt, request} = run;
  const suspected = run.stalledSinceMs !== undefined;
  run.stalledSinceMs = undefined;
  const {model} = request.model;
  if (!attempt.receivedToken) {
    attempt.receivedToken = true;
    cancelReplaced(ctx, run);
    if (attempt.epoch > 1) return;
    const perTokenMs = (nowMs - attempt.startMs) / run.tokens.length;
    paceOf(ctx.prefillPaces, model).sample(perTokenMs);
    return;
  }
  if (suspected) return;
  run.pace.sample(nowMs - run.lastTokenMs);
  run.paceSamples += 1;
  const intervalMs = run.pace.intervalMs();
  if (run.paceSamples % PACE_REPORT_TOKENS === 0 && intervalMs !== undefined)
    ctx.routes.observe({kind: 'pace', route: attempt.route, intervalMs});
  paceOf(ctx.decodePaces, model).sample(nowMs - run.lastTokenMs);
}

function paceOf(paces: Context['decodePaces'], model: string) {
  const pace = paces.get(model) ?? createPace();
  paces.set(model, pace);
  return pace;
}
