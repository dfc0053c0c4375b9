/** Chooses what replaces a failed attempt, within the bounds of recovery. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  failure,
  ok,
  type EndpointId,
  type Failure,
  type Result,
} from '@chivewick/common';
import type {Route} from '@chivewick/engines';
import {announceDeath} from './deaths.js';
import {EXCLUDE_MS} from './limits.js';
import {isPresent, probeStages} from './probe.js';
import type {Context, Run, StageFault} from './run-state.js';
import type {PipelineRequest} from './types.js';

/** First delay before another choice, the shortest stall that is looked at; it doubles. */
const NO_ROUTE_DELAY_MS = 20;
/** Half the interval of status polls, which bring endpoints back. */
const MAX_NO_ROUTE_DELAY_MS = 500;

/**
 * Chooses a route without the endpoints that the request avoids, preferring
 * the stages that hold its KV.
 *
 * @example
 * const route = chooseNextRoute(ctx, run, [leavingEndpoint]);
 */
export function chooseNextRoute(
  ctx: Context,
  run: Run,
  without: readonly EndpointId[] = [],
): Result<Route> {
  const nowMs = performance.now();
  const exclude = new Set(without);
  for (const [endpoint, untilMs] of run.avoided)
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
 * Reports the faults of an attempt and finds the next route. Waits while there
 * is none, until the request has been silent for `silenceMs`. Fails with
 * `endpoint_failed` when the request's recoveries or the shared retry budget
 * are used up, `quarantined` when the request may not run again, and
 * `no_route` when the wait is over.
 *
 * @example
 * const route = await planRecovery(ctx, run, verdict.faults, signal);
 */
export async function planRecovery(
  ctx: Context,
  run: Run,
  faults: readonly StageFault[],
  signal: AbortSignal,
): Promise<Result<Route>> {
  run.troubleMs ??= performance.now();
  for (const fault of faults) reportFault(ctx, run, fault);
  const refused = spendRecovery(ctx, run, faults);
  if (refused !== undefined) return {ok: false, err: refused};
  const died = await announceDeath(ctx, run, faults);
  for (;;) {
    const chosenAtMs = performance.now();
    const route = await waitForRoute(ctx, run, signal);
    if (!died || !route.ok) return route;
    const allowed = await askForRetry(ctx, run, route.value);
    if (!allowed.ok || signal.aborted) return allowed;
    const stale = avoidDead(ctx, run, route.value, chosenAtMs);
    if (!stale && (await avoidAbsent(ctx, run, route.value))) return route;
    ctx.quarantine?.passed?.(run.request.id);
  }
}

/** Avoids the stages that have died since; false where there is none. */
function avoidDead(
  ctx: Context,
  run: Run,
  route: Route,
  sinceMs: number,
): boolean {
  const dead = route.filter(
    ({endpoint}) => (ctx.quarantine?.diedAt?.(endpoint) ?? 0) >= sinceMs,
  );
  const untilMs = performance.now() + EXCLUDE_MS;
  for (const {endpoint} of dead) run.avoided.set(endpoint, untilMs);
  return dead.length > 0;
}

/**
 * Avoids the stages that do not answer a probe; true where all do. Without it,
 * a suspect that is tried on a stage that had just died, unknown to all hosts,
 * would be taken for the one that killed it.
 */
async function avoidAbsent(
  ctx: Context,
  run: Run,
  route: Route,
): Promise<boolean> {
  const {engines, limits} = ctx;
  const answers = await probeStages(engines, run.request.id, route, limits);
  const absent = answers.filter(answer => !isPresent(answer));
  const untilMs = performance.now() + EXCLUDE_MS;
  for (const {endpoint} of absent) run.avoided.set(endpoint, untilMs);
  return absent.length === 0;
}

async function askForRetry(
  ctx: Context,
  run: Run,
  route: Route,
): Promise<Result<Route>> {
  const endpoints = route.map(({endpoint}) => endpoint);
  const {fingerprint, request} = run;
  const allowed = await ctx.quarantine?.mayRetry(
    fingerprint,
    request.id,
    endpoints,
  );
  return allowed?.ok === false ? allowed : ok(route);
}

function reportFault(ctx: Context, run: Run, fault: StageFault): void {
  const {endpoint, cause} = fault;
  const {id} = run.request;
  run.avoided.set(endpoint, performance.now() + EXCLUDE_MS);
  if (cause === 'slow') run.patience *= 2;
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

function spendRecovery(
  ctx: Context,
  run: Run,
  faults: readonly StageFault[],
): Failure | undefined {
  run.recoveries += 1;
  const {maxRecoveries} = ctx.limits;
  const named = faults.map(({endpoint, cause}) => `${endpoint} (${cause})`);
  if (run.recoveries > maxRecoveries)
    return failure(
      'endpoint_failed',
      `${maxRecoveries} recoveries used; last fault: ${named.join(', ')}`,
    );
  // A refused session or a planned leaving has cost no work.
  const free = faults.every(
    ({cause}) => cause === 'leaving' || cause === 'refused',
  );
  if (free || ctx.retryBudget === undefined || ctx.retryBudget.take())
    return undefined;
  return failure(
    'endpoint_failed',
    `retry budget used; last fault: ${named.join(', ')}`,
  );
}

async function waitForRoute(
  ctx: Context,
  run: Run,
  signal: AbortSignal,
): Promise<Result<Route>> {
  for (let choices = 0; ; choices++) {
    const route = chooseNextRoute(ctx, run);
    if (route.ok) return ok(route.value);
    const silentMs = performance.now() - (run.troubleMs ?? 0);
    const delayMs = delayBeforeChoice(choices, silentMs, ctx.limits.silenceMs);
    if (delayMs === 0 || signal.aborted) return route;
    await sleep(delayMs, undefined, {signal}).catch(() => {});
  }
}

/**
 * Time before the next choice of a route, in milliseconds; 0 when the request
 * has been silent for too long. Endpoints that were only busy are back soon, so
 * the delay begins small and doubles.
 *
 * @example
 * delayBeforeChoice(2, 60, 10_000); // 80
 */
export function delayBeforeChoice(
  choices: number,
  silentMs: number,
  silenceMs: number,
): number {
  const delayMs = NO_ROUTE_DELAY_MS * 2 ** choices;
  const leftMs = silenceMs - silentMs;
  return Math.max(0, Math.min(delayMs, MAX_NO_ROUTE_DELAY_MS, leftMs));
}
