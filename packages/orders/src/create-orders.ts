import {
  pause,
  rendezvousOrder,
  type EndpointId,
  type HostId,
} from '@chivewick/common';
import {createDesiredStore} from './desired-store.js';
import {createEngineTable, viewOf} from './engine-table.js';
import {createLease} from './lease.js';
import type {GrantedModels, Orders, OrdersOptions} from './orders-api.js';
import {planEngines} from './plan.js';
import type {Plan, Target} from './plan-types.js';
import {executeStep, nextStep, type ReconcileContext} from './reconcile.js';
import {createLoadSlot, createRateLimiter, DEFAULT_TIMING} from './timing.js';

/**
 * Limits the hosts that contend for the lease, so its reads do not grow with
 * the fleet.
 */
const MAX_CONTENDERS = 3;
/**
 * Reconcile rounds per poll interval, so that loads follow each other without a
 * gap.
 */
const ROUNDS_PER_POLL = 10;
const EMPTY_PLAN: Plan = {targets: new Map(), uncovered: []};

/**
 * Starts the controller that orders engines to hold layers. Every host runs it,
 * but only the holder of `orders/lease` sends orders. A platform outage stops
 * new orders and undoes nothing.
 *
 * @example
 * const orders = createOrders({self, platform, engines, endpoints, lists, live, log, random});
 * orders.status().holding;
 * await orders.close();
 */
export function createOrders(options: OrdersOptions): Orders {
  const {self, platform, engines, weights, log, random} = options;
  const timing = {...DEFAULT_TIMING, ...options.timing};
  const stopped = new AbortController();
  const desired = createDesiredStore({platform, log});
  const lease = createLease({
    self,
    platform,
    log,
    timing,
    highestFence: async () =>
      (await desired.load()) ? desired.highestFence() : undefined,
  });
  const table = createEngineTable({engines, timing});
  const loads = createLoadSlot(timing.loadsPerSecond);
  const writes = createRateLimiter(timing.writesPerSecond);
  const context: ReconcileContext = {
    lease,
    desired,
    engines,
    weights,
    table,
    loads,
    timing,
    log,
  };
  const tasks = new Set<Promise<void>>();
  let plan = EMPTY_PLAN;
  let ranked: [EndpointId, Target][] = [];
  /** Inputs of the current plan; it is recomputed only when they change. */
  let plannedInputs = '';
  let pending = 0;
  /** Fencing number under which the desired states were read. */
  let loadedFence: number | undefined;
  /** Fencing number under which the engine table was filled. */
  let engineTableFence: number | undefined;
  let watchController: AbortController | undefined;

  function track(task: Promise<void>): void {
    const ended = task.finally(() => tasks.delete(ended));
    tasks.add(ended);
  }

  async function maintainLease(): Promise<void> {
    while (!stopped.signal.aborted) {
      const lists = options.lists();
      const contends =
        lease.fence() !== undefined || isContender(self, options.live());
      if (lists !== undefined && contends) await lease.step(lists.version);
      const jitter = 0.9 + 0.2 * random.next();
      await pause(timing.renewMs * jitter, stopped.signal);
    }
  }

  async function loadDesired(fence: number): Promise<boolean> {
    if (loadedFence === fence) return true;
    watchController?.abort();
    if (!(await desired.load())) return false;
    if (engineTableFence !== fence) table.clear();
    engineTableFence = fence;
    loadedFence = fence;
    const controller = new AbortController();
    watchController = controller;
    track(
      desired
        .follow(controller.signal)
        .catch(() => {})
        .then(() => {
          if (watchController === controller) loadedFence = undefined;
        }),
    );
    return true;
  }

  async function reconcileLoop(): Promise<void> {
    while (!stopped.signal.aborted) {
      const fence = lease.fence();
      const lists = options.lists();
      if (fence === undefined || lists === undefined) clearPlan();
      else await reconcileOnce(fence, lists);
      const nextLoadMs = Math.ceil(loads.waitMs()) || Infinity;
      const roundMs = timing.pollMs / ROUNDS_PER_POLL;
      await pause(Math.max(1, Math.min(roundMs, nextLoadMs)), stopped.signal);
    }
  }

  function clearPlan(): void {
    plan = EMPTY_PLAN;
    plannedInputs = '';
    pending = 0;
  }

  async function reconcileOnce(
    fence: number,
    lists: GrantedModels,
  ): Promise<void> {
    if (!(await loadDesired(fence))) return;
    table.update(options.endpoints());
    track(table.poll());
    if (!table.isComplete()) return;
    const inputs = [
      fence,
      lists.version,
      table.revision(),
      desired.revision(),
    ].join();
    if (inputs !== plannedInputs) replan(fence, lists);
    plannedInputs = inputs;
    startSteps(fence);
  }

  function replan(fence: number, lists: GrantedModels): void {
    const views = table
      .all()
      .map(engine =>
        viewOf(engine, {desired: desired.get(engine.id)?.desired, fence}),
      );
    const newPlan = (options.plan ?? planEngines)(lists.models, views);
    logCoverageChange(newPlan);
    plan = newPlan;
    ranked = [...plan.targets].sort(([, a], [, b]) => a.rank - b.rank);
  }

  function startSteps(fence: number): void {
    pending = 0;
    for (const [endpoint, target] of ranked) {
      const engine = table.get(endpoint);
      if (engine === undefined) continue;
      const step = nextStep(context, engine, target, fence);
      if (target.need !== 'keep') pending++;
      if (step === 'none') continue;
      if (step === 'reload' && !loads.free()) continue;
      if (!writes.take()) return;
      track(executeStep(context, engine, target, fence, step));
    }
  }

  function logCoverageChange({uncovered}: Plan): void {
    if (uncovered.join() === plan.uncovered.join()) return;
    if (uncovered.length === 0) log.event('layersCovered');
    else log.event('layersUncovered', {uncovered});
  }

  track(maintainLease());
  track(reconcileLoop());
  return {
    status: () => ({
      holding: lease.fence() !== undefined,
      fence: lease.fence(),
      uncovered: plan.uncovered,
      pending,
      loadsDelayedMs: loads.waitMs(),
    }),
    async close() {
      stopped.abort();
      watchController?.abort();
      await Promise.all(tasks);
    },
    release: () => lease.release(),
  };
}

function isContender(self: HostId, live: readonly HostId[]): boolean {
  return rendezvousOrder('orders/lease', [...new Set([...live, self])])
    .slice(0, MAX_CONTENDERS)
    .includes(self);
}
