import {
  pause,
  type EndpointId,
  type HostId,
  type Logger,
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
 * Length of the lease. Placed layers serve without a holder; a lost one costs
 * only the time until empty engines are put to use.
 */
const LEASE_MS = 5_000;
/** Taken off the lease of its holder, for the way to an engine. */
const LEASE_MARGIN_MS = 500;
/** Two renewals may fail within a lease. */
const RENEW_MS = 1_500;
/** Interval at which other hosts look whether the lease has lapsed. */
const OBSERVE_MS = 2_500;
/**
 * The holder speaks about once a second, also in a fleet of a hundred hosts.
 */
const HOLDER_SILENT_MS = 4_000;
/** Hosts start together; the first write makes the others' needless. */
const FIRST_STEP_SPREAD_MS = 300;
/** Between two plans: short beside a load of layers, which takes seconds. */
const TICK_MS = 300;
/** At the start of a fleet, engines register within seconds of each other. */
const SETTLE_MS = 700;
/**
 * In a rolling replacement the new engine starts first, and the old one leaves
 * up to so long after it. While no layer is scarce the new one is kept empty,
 * so that it takes the layers of the old one without a move.
 */
const REPLACEMENT_MS = 2_000;
/**
 * An order is taken for lost when the engine does not show it for this long.
 */
const ORDER_LOST_MS = 12_000;
/** An engine that does not answer in this time gets no order in this round. */
const REPORT_TIMEOUT_MS = 300;

export interface PlacementOptions {
  readonly host: HostId;
  readonly store: ObjectStore;
  readonly control: EngineControl;
  readonly table: EndpointTable;
  readonly config: () => RoutingConfig | undefined;
  readonly log: Logger;
  readonly signal: AbortSignal;
  /** Time since another host said that it holds the lease, in milliseconds. */
  readonly holderHeardMs: () => number;
  /** A number in [0, 1). */
  readonly draw: () => number;
}

/** The duty of ordering engines to hold layers. */
export interface PlacementDuty {
  /** Fencing number while this host holds the lease. */
  fence(): number | undefined;
  /** Gives the lease up, so that another host may take it at once. */
  release(): Promise<void>;
}

interface Ordered {
  readonly startedAtMs: number;
  readonly range: LayerRange;
  readonly atMs: number;
}

/**
 * Competes for the lease of orders and, while this host holds it, orders empty
 * engines to hold the layers that the plan gives them.
 *
 * @example
 * const duty = startPlacementDuty({host, store, control, table, config, log, signal, draw});
 */
export function startPlacementDuty(options: PlacementOptions): PlacementDuty {
  const {host, store, control, table, log, signal} = options;
  const lease = createLease({
    self: host,
    platform: store,
    log,
    timing: {leaseMs: LEASE_MS, leaseMarginMs: LEASE_MARGIN_MS},
    highestFence: () => Promise.resolve(0),
  });
  const ordered = new Map<EndpointId, Ordered>();

  async function keepLease(): Promise<void> {
    await pause(options.draw() * FIRST_STEP_SPREAD_MS, signal);
    while (!signal.aborted) {
      const isHolder = lease.fence() !== undefined;
      // Reads of the store by each host would grow with the fleet.
      if (isHolder || options.holderHeardMs() > HOLDER_SILENT_MS) {
        await lease.step(0);
      }
      await pause(lease.fence() === undefined ? OBSERVE_MS : RENEW_MS, signal);
    }
  }

  async function placeLayers(): Promise<void> {
    while (!signal.aborted) {
      await pause(TICK_MS, signal);
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
    const isBare = states.every(state => heldBy(state) === undefined);
    if (isBare && table.settledMs() < SETTLE_MS) return;
    const engines = states.map(state => ({
      id: state.record.id,
      failureDomain: state.record.failureDomain,
      accelerator: state.record.accelerator,
      layers: heldBy(state),
    }));
    // A dead engine stays listed for seconds; its layers are scarce at once.
    const alive = engines.filter(({id}) => !isSuspected(id));
    const {loadsAtOnce} = service.engine!;
    const isWaiting = !isBare && !hasScarceLayers(alive, service.engine!);
    const planned = isWaiting ? alive.filter(({id}) => !isNew(id)) : alive;
    const plan = planLayers(planned, service.engine!);
    await Promise.all(plan.map(({id, range}) => order(id, range)));
    if (plan.length > 0 || states.filter(isLoading).length >= loadsAtOnce) {
      return;
    }
    const move = planMove(alive, service.engine!);
    if (move === undefined) return;
    const moving = states.find(state => state.record.id === move.id);
    if (moving !== undefined && !isLoading(moving)) {
      await order(move.id, move.range);
    }
  }

  /** Whether an engine is empty and joined so lately that another may leave. */
  function isNew(id: EndpointId): boolean {
    const state = table.get(id);
    if (state === undefined || heldBy(state) !== undefined) return false;
    return performance.now() - state.sinceMs < REPLACEMENT_MS;
  }

  function isSuspected(id: EndpointId): boolean {
    return (table.get(id)?.suspectedUntilMs ?? 0) > performance.now();
  }

  /** Whether an order is under way whose range the engine does not show yet. */
  function isLoading(state: EndpointState): boolean {
    const {id, layers, startedAtMs} = state.record;
    const known = ordered.get(id);
    if (known === undefined || known.startedAtMs !== startedAtMs) return false;
    if (performance.now() - known.atMs > ORDER_LOST_MS) return false;
    return layers?.from !== known.range.from || layers.to !== known.range.to;
  }

  /** What an engine holds, or will hold once an order is carried out. */
  function heldBy(state: EndpointState): LayerRange | undefined {
    if (isLoading(state)) return ordered.get(state.record.id)!.range;
    return state.record.layers;
  }

  async function order(endpoint: EndpointId, range: LayerRange): Promise<void> {
    const state = table.get(endpoint);
    if (state === undefined) return;
    const {address, startedAtMs} = state.record;
    ordered.set(endpoint, {startedAtMs, range, atMs: performance.now()});
    const report = await control.report(address, REPORT_TIMEOUT_MS);
    const fence = lease.fence();
    if (report === undefined || fence === undefined) {
      return void ordered.delete(endpoint);
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
    // Where the answer was lost, the engine may carry the order out yet.
    if (outcome.kind !== 'unknown') ordered.delete(endpoint);
  }

  void keepLease();
  void placeLayers();
  return {fence: () => lease.fence(), release: () => lease.release()};
}
