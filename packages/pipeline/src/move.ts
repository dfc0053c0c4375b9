/** Moves a running request off an endpoint without a gap in its stream. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {EndpointId, Result} from '@chivewick/common';
import type {LayerRange, Route, Stage} from '@chivewick/engines';
import {EXCLUDE_MS} from './limits.js';
import {chooseNextRoute} from './recover.js';
import type {Context, Run, StageFault} from './run-state.js';

/**
 * Prepares a route that excludes an endpoint while the old route continues: the
 * KV of every layer that moves to another endpoint is exported and imported.
 * The attempt switches to the new route at the next token. If there is no other
 * route or a transfer fails, the request stays on its route.
 *
 * @example
 * void prepareMove(ctx, run, leavingEndpoint, 'leaving');
 */
export async function prepareMove(
  ctx: Context,
  run: Run,
  endpoint: EndpointId,
  cause: 'leaving' | 'slow',
): Promise<void> {
  const {attempt, request} = run;
  if (attempt.moving || attempt.successor !== undefined) return;
  if (!attempt.route.some(stage => stage.endpoint === endpoint)) return;
  attempt.moving = true;
  run.excludedUntilMs.set(endpoint, performance.now() + EXCLUDE_MS);
  ctx.routes.observe({endpoint, kind: cause});
  const route = chooseNextRoute(ctx, run, [endpoint]);
  if (route.ok && (await transferKv(ctx, run, attempt.route, route.value)))
    attempt.successor = route.value;
  else if (cause === 'slow') run.stallLimitFactor *= 2;
  attempt.moving = false;
  const prepared = attempt.successor !== undefined;
  const fields = {request: request.id, endpoint, cause};
  ctx.log.event(prepared ? 'movePrepared' : 'moveNotPossible', fields);
}

/**
 * Transfers the KV from stages that are slow but still answer, before a recovery
 * opens the next route. Takes at most `maxProbeMs`; KV that was not transferred
 * is recomputed.
 *
 * @example
 * await transferSlowStageKv(ctx, run, faults, route);
 */
export async function transferSlowStageKv(
  ctx: Context,
  run: Run,
  faults: readonly StageFault[],
  route: Route,
): Promise<void> {
  if (!faults.every(({cause}) => cause === 'slow')) return;
  const timeout = new AbortController();
  await Promise.race([
    transferKv(ctx, run, run.attempt.route, route),
    sleep(ctx.limits.maxProbeMs, undefined, {signal: timeout.signal}).catch(
      () => {},
    ),
  ]);
  timeout.abort();
}

async function transferKv(
  ctx: Context,
  run: Run,
  before: Route,
  after: Route,
): Promise<boolean> {
  const transfers = after
    .flatMap(to => before.map(from => ({from, to, layers: overlap(from, to)})))
    .filter(
      ({from, to, layers}) =>
        from.endpoint !== to.endpoint && layers.from < layers.to,
    );
  const results = await Promise.all(
    transfers.map(({from, to, layers}) =>
      transferLayers(ctx, run, from, to, layers),
    ),
  );
  return results.every(({ok}) => ok);
}

function overlap(a: LayerRange, b: LayerRange): LayerRange {
  return {from: Math.max(a.from, b.from), to: Math.min(a.to, b.to)};
}

async function transferLayers(
  {engines}: Context,
  run: Run,
  from: Stage,
  to: Stage,
  layers: LayerRange,
): Promise<Result<unknown>> {
  const session = run.request.id;
  // Uses the epoch from the start of the move: a recovery may begin a newer epoch
  // during the export, which the head of that recovery must be the first to use.
  const {epoch} = run.attempt;
  const kv = await engines.exportKv(from.address, session, layers);
  if (!kv.ok) return kv;
  return engines.importKv(to.address, session, {epoch, layers, kv: kv.value});
}
