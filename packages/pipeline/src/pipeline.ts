/** Runs model requests on routes of engines and recovers from their faults. */
import {
  failure,
  type EndpointId,
  type RequestId,
  type Result,
} from '@chivewick/common';
import type {Route} from '@chivewick/engines';
import {setTimeout as sleep} from 'node:timers/promises';
import {createCanceller} from './cancel.js';
import {DEFAULT_LIMITS} from './limits.js';
import {prepareMove} from './move.js';
import {chooseRoute} from './recover.js';
import {attachRun} from './resume.js';
import type {Context, Run} from './run-state.js';
import {
  createRun,
  reportRouteChange,
  openAttempt,
  streamRun,
} from './stream.js';
import type {
  PipelineEvent,
  PipelineOptions,
  PipelineRequest,
  ResumeRequest,
} from './types.js';

const ROUTE_RETRY_MS = 50;

export interface Pipeline {
  /**
   * Runs a request: tokens, then `done` or `failed`. When the signal aborts or
   * the iteration is stopped early, the engines cancel the work after
   * `resumeWindowMs`, unless another host has resumed the stream.
   */
  run(
    request: PipelineRequest,
    signal: AbortSignal,
  ): AsyncIterable<PipelineEvent>;
  /**
   * Continues a stream after the event with this id, on any host. Fails with
   * `invalid_request` if `eventId` is not an event id of this request,
   * `forbidden` if the stream belongs to another workspace or the plan no longer
   * grants the model, and `gone` if no engine holds the session any more.
   */
  resume(
    eventId: string,
    request: ResumeRequest,
    signal: AbortSignal,
  ): AsyncIterable<PipelineEvent>;
  /** Moves the requests on an endpoint to other endpoints, between two tokens. */
  moveRequestsFrom(endpoint: EndpointId): void;
  /** Number of requests in progress on this host. */
  activeRequests(): number;
  /** Cancels the sessions of disconnected callers without further delay. */
  close(): Promise<void>;
}

/**
 * Creates the pipeline of a host.
 *
 * @example
 * const pipeline = createPipeline({engines, routes, log});
 * for await (const event of pipeline.run(request, signal)) send(event);
 */
export function createPipeline(options: PipelineOptions): Pipeline {
  const ctx: Context = {
    ...options,
    limits: {...DEFAULT_LIMITS, ...options.limits},
    runs: new Map<RequestId, Run>(),
    decodePaces: new Map(),
    prefillPaces: new Map(),
  };
  const canceller = createCanceller(ctx);

  async function* trackRun(run: Run, signal: AbortSignal) {
    const {id} = run.request;
    const stop = () => run.attempt.abort.abort();
    signal.addEventListener('abort', stop, {once: true});
    ctx.runs.set(id, run);
    let lastEvent: PipelineEvent | undefined;
    try {
      const {epoch, route} = run.attempt;
      reportRouteChange(ctx, run, [], route);
      ctx.observer?.attempt(id, epoch, route);
      if (signal.aborted) stop();
      for await (const event of streamRun(ctx, run, signal)) {
        lastEvent = event;
        yield event;
      }
    } finally {
      signal.removeEventListener('abort', stop);
      if (ctx.runs.get(id) === run) ctx.runs.delete(id);
      stop();
      reportRouteChange(ctx, run, run.attempt.route, []);
      if (lastEvent?.type !== 'done') canceller.scheduleCancel(run, lastEvent);
    }
  }

  return {
    async *run(request, signal) {
      if (ctx.runs.has(request.id)) {
        const message = `request ${request.id} is already running`;
        yield {type: 'failed', err: failure('invalid_request', message)};
        return;
      }
      const route = await chooseFirstRoute(ctx, request, signal);
      if (!route.ok) {
        yield {type: 'failed', err: route.err};
        return;
      }
      const attempt = openAttempt(ctx, request, 1, route.value, []);
      yield* trackRun(createRun(ctx, request, attempt), signal);
    },
    async *resume(eventId, request, signal) {
      const run = await attachRun(ctx, eventId, request, signal);
      if (run.ok) yield* trackRun(run.value, signal);
      else yield {type: 'failed', err: run.err};
    },
    moveRequestsFrom(endpoint) {
      for (const run of ctx.runs.values())
        void prepareMove(ctx, run, endpoint, 'leaving');
    },
    activeRequests: () => ctx.runs.size,
    close: () => canceller.close(),
  };
}

/**
 * Chooses the route of the first attempt. If there is none, retries for up to
 * `maxFirstRouteWaitMs`: an endpoint that missed a poll or failed a request is
 * usable again soon.
 */
async function chooseFirstRoute(
  ctx: Context,
  request: PipelineRequest,
  signal: AbortSignal,
): Promise<Result<Route>> {
  const deadlineMs = performance.now() + ctx.limits.maxFirstRouteWaitMs;
  for (;;) {
    const route = chooseRoute(ctx, request);
    const expired = performance.now() + ROUTE_RETRY_MS > deadlineMs;
    if (route.ok || expired || signal.aborted) return route;
    await sleep(ROUTE_RETRY_MS, undefined, {signal}).catch(() => {});
  }
}
