/** Chooses the route that replaces a failed attempt, within the recovery limits. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  failure,
  ok,
  type EndpointId,
  type Failure,
  type Result,
} from '@chivewick/common';
import type {Route} from '@chivewick/engines';
import {reportCrashes} from './crash-reports.js';
import {EXCLUDE_MS} from './limits.js';
import {isReachable, probeStages} from './probe.js';
import type {Context, Run, StageFault} from './run-state.js';
import type {PipelineRequest} from './types.js';

/** First delay before a retry, equal to the minimum stall limit; it doubles. */
const MIN_ROUTE_RETRY_DELAY_MS = 20;
/** Half the interval of status polls, which make endpoints usable again. */
const MAX_ROUTE_RETRY_DELAY_MS = 500;

/**
 * Chooses a route without the endpoints that the request excludes, preferring
 * the stages that hold its KV.
 *
 * @example
 * const route = chooseNextRoute(ctx, run, [leavingEndpoint]);
 */
export function chooseNextRoute(
  ctx: Context,
  run: Run,
  excluded: readonly EndpointId[] = [],
): Result<Route> {
  const nowMs = performance.now();
  const exclude = new Set(excluded);
  for (const [endpoint, untilMs] of run.excludedUntilMs)
    if (untilMs > nowMs) exclude.add(endpoint);
  return chooseRoute(ctx, run.request, exclude, run.attempt.route);
}

/**
 * Chooses a route for a request.
 *
 * @example
 * const route = chooseRoute(ctx, request);
 */
export function chooseRoute(
  ctx: Context,
  request: PipelineRequest,
  exclude: ReadonlySet<EndpointId> = new Set(),
  prefer?: Route,
): Result<Route> {
  const {adapter, prompt, maxTokens} = request;
  const {model, version, layers} = request.model;
  const {workspace} = request.grant;
  return ctx.routes.choose({
    model,
    version,
    layers,
    adapter,
    prompt,
    maxTokens,
    workspace,
    exclude,
    prefer,
  });
}

/**
 * Reports the faults of an attempt and finds the next route. If there is none,
 * retries until the request has been without a token for `silenceMs`. Fails with
 * `endpoint_failed` when the request's recoveries or the shared retry budget
 * are used up, `quarantined` when the request may not run again, and
 * `no_route` when that time is over.
 *
 * @example
 * const route = await planRecovery(ctx, run, outcome.faults, signal);
 */
export async function planRecovery(
  ctx: Context,
  run: Run,
  faults: readonly StageFault[],
  signal: AbortSignal,
): Promise<Result<Route>> {
  run.stalledSinceMs ??= performance.now();
  for (const fault of faults) reportFault(ctx, run, fault);
  const budgetFailure = consumeRecovery(ctx, run, faults);
  if (budgetFailure !== undefined) return {ok: false, err: budgetFailure};
  const crashed = await reportCrashes(ctx, run, faults);
  for (;;) {
    const chosenAtMs = performance.now();
    const route = await waitForRoute(ctx, run, signal);
    if (!crashed || !route.ok) return route;
    const allowed = await requestRetry(ctx, run, route.value);
    if (!allowed.ok || signal.aborted) return allowed;
    const stale = excludeCrashed(ctx, run, route.value, chosenAtMs);
    if (!stale && (await excludeUnreachable(ctx, run, route.value)))
      return route;
    ctx.quarantine?.releaseEndpoints?.(run.request.id);
  }
}

/**
 * Excludes the stages that crashed since `sinceMs`; returns whether there were
 * any.
 */
function excludeCrashed(
  ctx: Context,
  run: Run,
  route: Route,
  sinceMs: number,
): boolean {
  const crashed = route.filter(
    ({endpoint}) => (ctx.quarantine?.lastCrashMs?.(endpoint) ?? 0) >= sinceMs,
  );
  const untilMs = performance.now() + EXCLUDE_MS;
  for (const {endpoint} of crashed) run.excludedUntilMs.set(endpoint, untilMs);
  return crashed.length > 0;
}

/**
 * Excludes the stages that do not answer a probe; resolves to true if all do.
 * Without this check, a suspected request that is retried on a stage whose crash
 * no host has detected yet would be suspected of causing that crash too.
 */
async function excludeUnreachable(
  ctx: Context,
  run: Run,
  route: Route,
): Promise<boolean> {
  const {engines, limits} = ctx;
  const answers = await probeStages(engines, run.request.id, route, limits);
  const unreachable = answers.filter(answer => !isReachable(answer));
  const untilMs = performance.now() + EXCLUDE_MS;
  for (const {endpoint} of unreachable)
    run.excludedUntilMs.set(endpoint, untilMs);
  return unreachable.length === 0;
}

async function requestRetry(
  ctx: Context,
  run: Run,
  route: Route,
): Promise<Result<Route>> {
  const endpoints = route.map(({endpoint}) => endpoint);
  const {fingerprint, request} = run;
  const allowed = await ctx.quarantine?.admitRetry(
    fingerprint,
    request.id,
    endpoints,
  );
  return allowed?.ok === false ? allowed : ok(route);
}

function reportFault(ctx: Context, run: Run, fault: StageFault): void {
  const {endpoint, cause} = fault;
  const {id} = run.request;
  run.excludedUntilMs.set(endpoint, performance.now() + EXCLUDE_MS);
  if (cause === 'slow') run.stallLimitFactor *= 2;
  const kind =
    cause === 'slow' || cause === 'leaving'
      ? cause
      : cause === 'refused'
        ? undefined
        : 'failed';
  if (kind !== undefined) ctx.routes.observe({endpoint, kind});
  ctx.observer?.fault(id, endpoint, cause);
  const {epoch} = run.attempt;
  ctx.log.event('stageFault', {request: id, endpoint, cause, epoch});
}

function consumeRecovery(
  ctx: Context,
  run: Run,
  faults: readonly StageFault[],
): Failure | undefined {
  run.recoveries += 1;
  const {maxRecoveries} = ctx.limits;
  const faultList = faults.map(({endpoint, cause}) => `${endpoint} (${cause})`);
  if (run.recoveries > maxRecoveries)
    return failure(
      'endpoint_failed',
      `${maxRecoveries} recoveries used; last fault: ${faultList.join(', ')}`,
    );
  // A refused session or a planned leave has wasted no work.
  const lostNoWork = faults.every(
    ({cause}) => cause === 'leaving' || cause === 'refused',
  );
  if (lostNoWork || ctx.retryBudget === undefined || ctx.retryBudget.take())
    return undefined;
  return failure(
    'endpoint_failed',
    `retry budget used; last fault: ${faultList.join(', ')}`,
  );
}

async function waitForRoute(
  ctx: Context,
  run: Run,
  signal: AbortSignal,
): Promise<Result<Route>> {
  for (let retries = 0; ; retries++) {
    const route = chooseNextRoute(ctx, run);
    if (route.ok) return ok(route.value);
    const silentMs = performance.now() - (run.stalledSinceMs ?? 0);
    const delayMs = routeRetryDelayMs(retries, silentMs, ctx.limits.silenceMs);
    if (delayMs === 0 || signal.aborted) return route;
    await sleep(delayMs, undefined, {signal}).catch(() => {});
  }
}

/**
 * Delay before a route is chosen again, in milliseconds; 0 if the request has
 * been without a token for `silenceMs`. Endpoints that were only busy become
 * usable again soon, so the delay starts small and doubles.
 *
 * @example
 * routeRetryDelayMs(2, 60, 10_000); // 80
 */
export function routeRetryDelayMs(
  retries: number,
  silentMs: number,
  silenceMs: number,
): number {
  const delayMs = MIN_ROUTE_RETRY_DELAY_MS * 2 ** retries;
  const remainingMs = silenceMs - silentMs;
  return Math.max(0, Math.min(delayMs, MAX_ROUTE_RETRY_DELAY_MS, remainingMs));
}
