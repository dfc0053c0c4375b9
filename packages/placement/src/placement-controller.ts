import {
  pause,
  type EndpointId,
  type HostId,
  type Logger,
  type ServiceName,
} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import type {
  EndpointState,
  EndpointTable,
  EngineControl,
  RoutingConfig,
  ServiceRule,
} from '@chivewick/gateway';
import {createLease} from '@chivewick/orders';
import type {ObjectStore} from '@chivewick/platform';
import {hasScarceLayers, planLayers, planMove} from './plan-layers.js';

/**
 * Duration of the lease. Engines keep serving their layers without a lease
 * holder; the loss of the holder only delays the use of empty engines.
 */
const LEASE_MS = 5_000;
/** Subtracted from the holder's lease to allow for the transit to an engine. */
const LEASE_MARGIN_MS = 500;
/** Allows two renewals to fail within a lease. */
const RENEW_INTERVAL_MS = 1_500;
/** Interval at which other hosts check whether the lease has expired. */
const OBSERVE_INTERVAL_MS = 2_500;
/**
 * Time without a message from the lease holder after which other hosts read the
 * lease. The holder sends one about once a second, even with a hundred hosts.
 */
const HOLDER_TIMEOUT_MS = 4_000;
/**
 * Spread of the first lease step: hosts start together, and the first write
 * makes the writes of the others unnecessary.
 */
const FIRST_STEP_SPREAD_MS = 300;
/**
 * Interval between plans; short compared to a load of layers, which takes
 * seconds.
 */
const PLAN_INTERVAL_MS = 300;
/**
 * Time the table must be unchanged before layers are placed in an empty fleet,
 * as engines that start together register within seconds of each other.
 */
const SETTLE_MS = 700;
/**
 * In a rolling replacement the new engine starts first, and the old one leaves
 * within this time. While no layer is scarce the new engine is kept empty for
 * as long, so that it can be assigned the layers of the old one without a move.
 */
const REPLACEMENT_WINDOW_MS = 2_000;
/**
 * Time for which layers must have been scarce before an engine moves to them. A move
 * takes seconds in which the engine serves nothing, and most engines that crash are
 * back sooner.
 */
const MOVE_DELAY_MS = 4_000;
/**
 * An order counts as lost when the engine does not report it within this time.
 */
const ORDER_TIMEOUT_MS = 12_000;
/** An engine whose report takes longer gets no order in this round. */
const REPORT_TIMEOUT_MS = 300;

/** Dependencies of the placement controller. */
export interface PlacementOptions {
  readonly host: HostId;
  readonly store: ObjectStore;
  readonly control: EngineControl;
  readonly table: EndpointTable;
  readonly config: () => RoutingConfig | undefined;
  readonly log: Logger;
  readonly signal: AbortSignal;
  /**
   * Time since another host last reported that it holds the lease, in
   * milliseconds.
   */
  readonly sinceHolderSeenMs: () => number;
  /** Whether this host may acquire the lease. */
  readonly mayContend: () => boolean;
  /** Returns a random number in [0, 1). */
  readonly randomFraction: () => number;
}

/** Controller that orders engines to hold layers. */
export interface PlacementController {
  /** Fencing number while this host holds the lease. */
  fence(): number | undefined;
  /** Releases the lease, so that another host can acquire it immediately. */
  release(): Promise<void>;
}

interface SentOrder {
  readonly startedAtMs: number;
  readonly range: LayerRange;
  readonly sentAtMs: number;
}

/**
 * Starts the controller on this host. It contends for the order lease and,
 * while this host holds it, orders engines to hold the layers planned for them.
 *
 * @example
 * const controller = startPlacementController({host, store, control, table, config, log, signal, randomFraction});
 */
export function startPlacementController(
  options: PlacementOptions,
): PlacementController {
  const {host, store, control, table, log, signal} = options;
  const lease = createLease({
    self: host,
    platform: store,
    log,
    timing: {leaseMs: LEASE_MS, leaseMarginMs: LEASE_MARGIN_MS},
    highestFence: () => Promise.resolve(0),
  });
  const sentOrders = new Map<EndpointId, SentOrder>();
  /** When a move first seemed to help, by service. */
  const scarceSinceMs = new Map<ServiceName, number>();

  async function maintainLease(): Promise<void> {
    await pause(options.randomFraction() * FIRST_STEP_SPREAD_MS, signal);
    while (!signal.aborted) {
      const isHolder = lease.fence() !== undefined;
      // If every host read the store, reads would grow with the fleet.
      const isMissing =
        options.mayContend() && options.sinceHolderSeenMs() > HOLDER_TIMEOUT_MS;
      if (isHolder || isMissing) {
        await lease.step(0);
        // The renewal found another version, which may be of a restored store.
        if (isHolder && lease.fence() === undefined) await lease.step(0);
      }
      await pause(
        lease.fence() === undefined ? OBSERVE_INTERVAL_MS : RENEW_INTERVAL_MS,
        signal,
      );
    }
  }

  async function placeLayers(): Promise<void> {
    while (!signal.aborted) {
      await pause(PLAN_INTERVAL_MS, signal);
      const services = options.config()?.services.values() ?? [];
      if (lease.fence() === undefined) continue;
      for (const service of services)
        if (service.engine !== undefined) await placeService(service);
    }
  }

  async function placeService(service: ServiceRule): Promise<void> {
    const states = table
      .ofService(service.name)
      .filter(state => state.record.state === 'ready');
    const allEmpty = states.every(state => expectedLayers(state) === undefined);
    if (allEmpty && table.unchangedMs() < SETTLE_MS) return;
    const engines = states.map(state => ({
      id: state.record.id,
      failureDomain: state.record.failureDomain,
      accelerator: state.record.accelerator,
      layers: expectedLayers(state),
    }));
    // A dead engine stays listed for seconds; its layers count as scarce
    // immediately.
    const alive = engines.filter(({id}) => !isSuspected(id));
    const {loadsAtOnce} = service.engine!;
    const keepsNewEmpty = !allEmpty && !hasScarceLayers(alive, service.engine!);
    const planned = keepsNewEmpty ? alive.filter(({id}) => !isNew(id)) : alive;
    const plan = planLayers(planned, service.engine!);
    await Promise.all(plan.map(({id, range}) => order(id, range)));
    if (plan.length > 0 || states.filter(isLoading).length >= loadsAtOnce) {
      return;
    }
    const move = planMove(alive, service.engine!);
    if (move === undefined) return void scarceSinceMs.delete(service.name);
    if (scarceForMs(service.name) < MOVE_DELAY_MS) return;
    const moving = states.find(state => state.record.id === move.id);
    if (moving !== undefined && !isLoading(moving)) {
      await order(move.id, move.range);
    }
  }

  /** Time since a move first seemed to help. */
  function scarceForMs(service: ServiceName): number {
    const nowMs = performance.now();
    const sinceMs = scarceSinceMs.get(service) ?? nowMs;
    scarceSinceMs.set(service, sinceMs);
    return nowMs - sinceMs;
  }

  /**
   * Whether an engine is empty and joined within the replacement window. One that
   * crashed and is back replaces no other, so its layers are missed until it has some.
   */
  function isNew(id: EndpointId): boolean {
    const state = table.get(id);
    if (state === undefined || expectedLayers(state) !== undefined)
      return false;
    if (state.isRestart) return false;
    return performance.now() - state.firstSeenAtMs < REPLACEMENT_WINDOW_MS;
  }

  function isSuspected(id: EndpointId): boolean {
    return (table.get(id)?.suspectedUntilMs ?? 0) > performance.now();
  }

  /**
   * Whether an order is in progress whose range the engine does not report yet.
   */
  function isLoading(state: EndpointState): boolean {
    const {id, layers, startedAtMs} = state.record;
    const sent = sentOrders.get(id);
    if (sent === undefined || sent.startedAtMs !== startedAtMs) return false;
    if (performance.now() - sent.sentAtMs > ORDER_TIMEOUT_MS) return false;
    return layers?.from !== sent.range.from || layers.to !== sent.range.to;
  }

  /** Layers that an engine holds, or will hold once its order completes. */
  function expectedLayers(state: EndpointState): LayerRange | undefined {
    if (isLoading(state)) return sentOrders.get(state.record.id)!.range;
    return state.record.layers;
  }

  async function order(endpoint: EndpointId, range: LayerRange): Promise<void> {
    const state = table.get(endpoint);
    if (state === undefined) return;
    const {address, startedAtMs} = state.record;
    sentOrders.set(endpoint, {startedAtMs, range, sentAtMs: performance.now()});
    const report = await control.report(address, REPORT_TIMEOUT_MS);
    const fence = lease.fence();
    if (report === undefined || fence === undefined) {
      return void sentOrders.delete(endpoint);
    }
    const {orderCount} = report;
    const outcome = await control.place({id: endpoint, address}, range, {
      fence,
      orderCount,
    });
    const fields = {endpoint, ...range, fence, orderCount};
    if (outcome.kind === 'accepted' || outcome.kind === 'done') {
      return log.event('layersOrdered', {...fields, outcome: outcome.kind});
    }
    log.event('layersOrderFailed', {...fields, ...outcome});
    if (outcome.kind === 'fenced') {
      log.event('placementFenced', {endpoint, fence});
      lease.invalidate(true);
    }
    // If the response was lost, the engine may still execute the order.
    if (outcome.kind !== 'unknown') sentOrders.delete(endpoint);
  }

  void maintainLease();
  void placeLayers();
  return {fence: () => lease.fence(), release: () => lease.release()};
}
