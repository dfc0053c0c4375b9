/** Runs one request to completion over one or more attempts. */
import {fail, sha256, type Failure} from '@chivewick/common';
import type {EngineFrame, Route, SessionRequest} from '@chivewick/engines';
import {readAttempt} from './attempt.js';
import {createFrameReader} from './frame-reader.js';
import {transferSlowStageKv} from './move.js';
import {createPace} from './pace.js';
import {planRecovery} from './recover.js';
import {
  generatedTokens,
  type Attempt,
  type Context,
  type Run,
} from './run-state.js';
import type {PipelineEvent, PipelineRequest} from './types.js';

/**
 * Creates the state of a run whose first attempt already exists.
 *
 * @example
 * const run = createRun(ctx, request, attempt);
 */
export function createRun(
  ctx: Context,
  request: PipelineRequest,
  attempt: Attempt,
): Run {
  const {model} = request.model;
  const tokens = [...Buffer.from(request.prompt, 'utf8')];
  return {
    request,
    fingerprint: request.fingerprint ?? requestHash(request),
    pace: ctx.decodePaces.get(model)?.copy() ?? createPace(),
    paceSamples: 0,
    tokens,
    promptCount: tokens.length,
    deliveredPosition: tokens.length - 1,
    attempt,
    recoveries: 0,
    lastTokenMs: performance.now(),
    excludedUntilMs: new Map(),
    replaced: [],
    stallLimitFactor: 1,
  };
}

/**
 * Creates an attempt and opens its frame stream.
 *
 * @example
 * const attempt = createAttempt(1, route, signal => engines.open(req, signal));
 */
export function createAttempt(
  epoch: number,
  route: Route,
  open: (signal: AbortSignal) => AsyncIterable<EngineFrame>,
): Attempt {
  const abort = new AbortController();
  return {
    epoch,
    route,
    reader: createFrameReader(open(abort.signal)),
    abort,
    startMs: performance.now(),
    receivedToken: false,
    crashReports: new Map(),
    moving: false,
  };
}

/**
 * Opens the request at the head of a route, with the tokens generated so far.
 *
 * @example
 * const attempt = openAttempt(ctx, request, 2, route, generated);
 */
export function openAttempt(
  ctx: Context,
  request: PipelineRequest,
  epoch: number,
  route: Route,
  generated: readonly number[],
): Attempt {
  const {id, grant, model, adapter, priority, prompt, maxTokens} = request;
  const session: SessionRequest = {
    session: id,
    epoch,
    workspace: grant.workspace,
    model: model.model,
    version: model.version,
    adapter,
    priority,
    prompt,
    generated,
    maxTokens,
    route,
    requestHash: requestHash(request),
  };
  return createAttempt(epoch, route, signal =>
    ctx.engines.open(session, signal),
  );
}

function requestHash({grant, model, adapter, prompt}: PipelineRequest): string {
  return sha256(`${grant.workspace}\n${model.model}\n${adapter}\n${prompt}`);
}

/**
 * Yields the events of a run: tokens, then `done` or `failed`. Ends without
 * either once the signal aborts.
 *
 * @example
 * yield* streamRun(ctx, run, signal);
 */
export async function* streamRun(
  ctx: Context,
  run: Run,
  signal: AbortSignal,
): AsyncGenerator<PipelineEvent> {
  for (;;) {
    const outcome = yield* readAttempt(ctx, run);
    if (signal.aborted) return;
    if (outcome.kind === 'done') {
      yield outcome.event;
      return;
    }
    if (outcome.kind === 'failed') {
      yield failedEvent(ctx, run, outcome.err);
      return;
    }
    if (outcome.kind === 'switch') {
      startNextAttempt(ctx, run, outcome.route);
      continue;
    }
    if (!hasAllDelivered(run)) {
      const {err} = fail(
        'gone',
        'the stream broke before the delivered tokens were read back',
      );
      yield failedEvent(ctx, run, err);
      return;
    }
    const route = await planRecovery(ctx, run, outcome.faults, signal);
    if (signal.aborted) return;
    if (!route.ok) {
      yield failedEvent(ctx, run, route.err);
      return;
    }
    await transferSlowStageKv(ctx, run, outcome.faults, route.value);
    if (signal.aborted) return;
    startNextAttempt(ctx, run, route.value);
  }
}

/**
 * Whether this host has every token that the caller has; false while a resumed
 * stream has not yet read them back.
 */
function hasAllDelivered(run: Run): boolean {
  return run.tokens.length > run.deliveredPosition;
}

function failedEvent(ctx: Context, run: Run, err: Failure): PipelineEvent {
  const {kind, message} = err;
  const request = run.request.id;
  ctx.log.event('requestFailed', {request, kind, message});
  const ran = run.deliveredPosition >= run.promptCount ? 'unknown' : err.ran;
  return {type: 'failed', err: {...err, ran}};
}

function startNextAttempt(ctx: Context, run: Run, route: Route): void {
  const {attempt, request} = run;
  const epoch = attempt.epoch + 1;
  run.replaced.push(attempt);
  run.attempt = openAttempt(ctx, request, epoch, route, generatedTokens(run));
  attempt.abort.abort();
  reportRouteChange(ctx, run, attempt.route, run.attempt.route);
  ctx.observer?.attempt(request.id, epoch, route);
  const endpoints = route.map(({endpoint}) => endpoint);
  const fields = {request: request.id, epoch, route: endpoints};
  ctx.log.event('pipelineRecovered', fields);
}

/**
 * Reports to the route table which endpoints a run has started and stopped using
 * when its route changes from `before` to `after`.
 *
 * @example
 * reportRouteChange(ctx, run, [], run.attempt.route);
 */
export function reportRouteChange(
  ctx: Context,
  run: Run,
  before: Route,
  after: Route,
): void {
  const {prompt, grant, adapter, maxTokens} = run.request;
  const {workspace} = grant;
  const tokens = run.promptCount + maxTokens;
  const contains = (stages: Route, endpoint: string) =>
    stages.some(stage => stage.endpoint === endpoint);
  const use = {prompt, workspace, adapter, tokens};
  for (const {endpoint} of after)
    if (!contains(before, endpoint))
      ctx.routes.observe({kind: 'started', endpoint, ...use});
  for (const {endpoint} of before)
    if (!contains(after, endpoint))
      ctx.routes.observe({kind: 'finished', endpoint, ...use});
}
