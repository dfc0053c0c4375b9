/** Steps that bring one engine to its target: write, load, order, read back. */
import type {Logger} from '@chivewick/common';
import type {EngineApi} from '@chivewick/engines';
import type {WeightStore} from '@chivewick/weight-store';
import type {DesiredStore} from './desired-store.js';
import {
  isLeaving,
  type EngineRecord,
  type EngineTable,
} from './engine-table.js';
import type {Lease} from './lease.js';
import type {OrdersTiming} from './orders-api.js';
import type {Target} from './plan-types.js';
import {sameState, sameWeights} from './same-state.js';
import type {LoadSlot} from './timing.js';

/** Dependencies shared by all reconcile steps. */
export interface ReconcileContext {
  readonly lease: Lease;
  readonly desired: DesiredStore;
  readonly engines: Pick<EngineApi, 'order'>;
  readonly weights: Pick<WeightStore, 'load'> | undefined;
  readonly table: EngineTable;
  readonly loads: LoadSlot;
  readonly timing: OrdersTiming;
  readonly log: Logger;
}

/** Next action for an engine. */
export type Step = 'none' | 'claim' | 'order' | 'reload';

/**
 * Determines the next step of an engine. `claim`: only write its desired state,
 * as the order must wait; `order`: send an order that loads no weights;
 * `reload`: send an order that makes the engine load weights.
 *
 * @example
 * if (nextStep(context, engine, target, fence) === 'reload') queue.push(engine);
 */
export function nextStep(
  context: ReconcileContext,
  engine: EngineRecord,
  target: Target,
  fence: number,
): Step {
  const {status, busy, reachable} = engine;
  if (busy || !reachable || status === undefined) return 'none';
  if (isLeaving(engine)) return 'none';
  const stored = context.desired.get(engine.id);
  const claimed =
    stored?.fence === fence && sameState(stored.desired, target.desired);
  if (claimed && target.waits) return 'none';
  const reached = sameState(status, target.desired);
  if (claimed && reached && engine.secured?.fence === fence) return 'none';
  if (target.waits) return 'claim';
  if (sameWeights(status, target.desired)) return 'order';
  if (performance.now() < engine.noReloadBeforeMs) return 'none';
  return mayReload(engine, target, context.timing) ? 'reload' : 'none';
}

/**
 * Maximum wait for the sessions of a serving engine before a reload that covers
 * missing layers. A missing range stops all requests of its model, whereas
 * requests that the reload interrupts recover on other engines with the same
 * layers.
 */
const UNCOVERED_WAIT_MS = 2_000;

/** Whether a reload would end no sessions, or has been delayed long enough. */
function mayReload(
  engine: EngineRecord,
  target: Target,
  timing: OrdersTiming,
): boolean {
  const nowMs = performance.now();
  if (engine.idleSinceMs !== undefined) return true;
  engine.reloadDelayedSinceMs ??= nowMs;
  const urgent = target.need === 'uncovered' && target.servesNow;
  const limitMs = urgent ? UNCOVERED_WAIT_MS : timing.drainMs;
  return nowMs - engine.reloadDelayedSinceMs >= limitMs;
}

/**
 * Executes one step. The desired state is stored before the order is sent, and
 * the lease is checked immediately before sending, so that a holder that was
 * paused in between sends nothing. Never throws.
 *
 * @example
 * await executeStep(context, engine, target, fence, 'reload');
 */
export async function executeStep(
  context: ReconcileContext,
  engine: EngineRecord,
  target: Target,
  fence: number,
  step: Step,
): Promise<void> {
  engine.busy = true;
  try {
    const ready =
      step === 'reload'
        ? await prepareReload(context, engine, target, fence)
        : await claim(context, engine, target, fence);
    if (!ready || step === 'claim') return;
    await sendOrder(context, engine, target, fence);
  } finally {
    engine.busy = false;
  }
}

async function claim(
  {desired, lease}: ReconcileContext,
  engine: EngineRecord,
  target: Target,
  fence: number,
): Promise<boolean> {
  const stored = desired.get(engine.id);
  if (stored?.fence === fence && sameState(stored.desired, target.desired))
    return true;
  if (lease.fence() !== fence) return false;
  const outcome = await desired.write(engine.id, target.desired, fence);
  if (outcome === 'conflict') lease.invalidate();
  return outcome === 'written';
}

async function prepareReload(
  context: ReconcileContext,
  engine: EngineRecord,
  target: Target,
  fence: number,
): Promise<boolean> {
  let claimed = false;
  context.loads.begin();
  try {
    claimed = await claim(context, engine, target, fence);
    return claimed && (await requestLoad(context, target));
  } finally {
    context.loads.end(claimed);
  }
}

/** Delay of the next load when a refusal names no retry time. */
const LOAD_RETRY_MS = 1_000;

async function requestLoad(
  {weights, loads, log}: ReconcileContext,
  {desired}: Target,
): Promise<boolean> {
  if (weights === undefined) return true;
  const {model, version, layers} = desired;
  const loaded = await weights.load({model, version, ...layers});
  if (loaded.ok) return true;
  const {retryAfterMs = LOAD_RETRY_MS, kind, message} = loaded.err;
  loads.delay(retryAfterMs);
  const limited = kind === 'overloaded';
  log.event(limited ? 'weightStoreDelayed' : 'weightsUnavailable', {
    model,
    version,
    layers,
    message,
    retryAfterMs,
  });
  return false;
}

async function sendOrder(
  {lease, engines, table, timing, log}: ReconcileContext,
  engine: EngineRecord,
  {desired, need}: Target,
  fence: number,
): Promise<void> {
  const {id: endpoint, address} = engine;
  const {instance} = engine.status!;
  if (isLeaving(engine) || lease.fence() !== fence) return;
  engine.orderedInstance = instance;
  engine.noReloadBeforeMs = performance.now() + timing.orderRetryMs;
  log.event('orderSent', {endpoint, fence, need, desired});
  const result = await engines.order(address, {fence, desired});
  if (!result.ok && result.err.kind !== 'deadline_exceeded') {
    engine.noReloadBeforeMs = performance.now() + timing.pollMs;
    log.event('orderRefused', {endpoint, fence, message: result.err.message});
    // The engine has seen a higher fencing number, so this host may no longer
    // hold the lease.
    if (result.err.kind === 'version_mismatch') lease.invalidate(true);
    return;
  }
  await table.readStatus(engine);
  const {status} = engine;
  if (!engine.reachable || status?.instance !== instance) return;
  if (!sameState(status, desired)) return;
  engine.noReloadBeforeMs = 0;
  engine.reloadDelayedSinceMs = undefined;
  engine.secured = {fence, instance};
  table.markChanged();
  log.event('orderConfirmed', {endpoint, fence, desired});
}
