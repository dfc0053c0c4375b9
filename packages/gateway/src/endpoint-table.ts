import type {
  EndpointId,
  FailureDomain,
  Logger,
  ServiceName,
} from '@chivewick/common';
import type {EndpointRecord} from './types.js';

/** A suspected endpoint is tried again after this long. */
const SUSPICION_MS = 2_500;
/**
 * Time in which this host learns of a removed entry: gathered changes and the way
 * from the store. An endpoint whose entry may only have lapsed is used for the
 * rest of the drain bound, within which such entries mostly come back.
 */
const LEARNING_MS = 1_000;
/** An entry that vanishes so soon after an outage may only have lapsed. */
const AFTER_OUTAGE_MS = 3_000;
/** Weight of the newest answer time in the average. */
const LATENCY_GAIN = 0.2;
/** Expected answer time of an endpoint that has not answered yet. */
const FIRST_LATENCY_MS = 40;

/** What this host knows of an endpoint. */
export interface EndpointState {
  record: EndpointRecord;
  /** Index of its failure domain. */
  readonly domain: number;
  /** When this host learned of it. */
  readonly sinceMs: number;
  /** Requests of this host in progress there. */
  running: number;
  /** Memory that those requests hold: tokens times layers. */
  heldTokenLayers: number;
  /** The same two of the other hosts, as they said last. */
  othersRunning: number;
  othersTokenLayers: number;
  /** Smoothed answer time of plain requests, in milliseconds. */
  latencyMs: number;
  failuresInRow: number;
  suspectedUntilMs: number;
  /** Refused a request for want of room, until this time. */
  fullUntilMs: number;
  /** Factor by which it is slower than its kind, and when it said so. */
  slowness: number;
  slownessAtMs: number;
  /** Set while its entry may only have lapsed. */
  lapsedUntilMs?: number;
  /** Set when its entry was removed for good. */
  gone: boolean;
}

/** The endpoints that are registered, and how they have done. */
export interface EndpointTable {
  replaceAll(records: readonly EndpointRecord[]): void;
  upsert(record: EndpointRecord): void;
  remove(id: EndpointId): void;
  storeUnavailable(): void;
  get(id: EndpointId): EndpointState | undefined;
  byAddress(address: string): EndpointState | undefined;
  all(): EndpointState[];
  /** Registered endpoints of a service, in any state. */
  ofService(service: ServiceName): EndpointState[];
  /** Endpoints that may get a new request. */
  usable(service: ServiceName): EndpointState[];
  suspect(state: EndpointState, reason: string): void;
  observeSlowness(state: EndpointState, slowness: number): void;
  /** Ends the suspicion of an endpoint that has answered. */
  trust(state: EndpointState): void;
  /** Told when an endpoint is suspected; returns what ends that. */
  onSuspected(fn: (state: EndpointState) => void): () => void;
  /** Time since the set of endpoints last changed, in milliseconds. */
  settledMs(): number;
}

/**
 * Creates the table.
 *
 * @param drainMs time after which a leaving endpoint must get nothing more.
 * @example
 * const table = createEndpointTable(log, () => 2_000);
 * table.upsert(record);
 * const candidates = table.usable(record.service);
 */
export function createEndpointTable(
  log: Logger,
  drainMs: () => number,
  now: () => number = () => performance.now(),
): EndpointTable {
  const states = new Map<EndpointId, EndpointState>();
  const domains: FailureDomain[] = [];
  const listeners = new Set<(state: EndpointState) => void>();
  let outageAtMs = -Infinity;
  let changedAtMs = now();

  function domainIndex(domain: FailureDomain): number {
    const known = domains.indexOf(domain);
    return known >= 0 ? known : domains.push(domain) - 1;
  }

  function upsert(record: EndpointRecord): void {
    const known = states.get(record.id);
    const isNew =
      known === undefined || known.record.startedAtMs !== record.startedAtMs;
    const isMoved =
      known?.record.layers?.from !== record.layers?.from ||
      known?.record.layers?.to !== record.layers?.to;
    if (isNew || isMoved || known.record.state !== record.state) {
      const {id, service, address, state, layers, startedAtMs} = record;
      log.event('endpointChanged', {
        endpoint: id,
        service,
        address,
        state,
        layers,
        startedAtMs,
      });
    }
    if (!isNew) {
      known.record = record;
      known.lapsedUntilMs = undefined;
      return;
    }
    changedAtMs = now();
    if (known !== undefined) known.gone = true;
    states.set(record.id, {
      record,
      domain: domainIndex(record.failureDomain),
      sinceMs: now(),
      running: 0,
      heldTokenLayers: 0,
      othersRunning: 0,
      othersTokenLayers: 0,
      latencyMs: FIRST_LATENCY_MS,
      failuresInRow: 0,
      suspectedUntilMs: 0,
      fullUntilMs: 0,
      slowness: 1,
      slownessAtMs: 0,
      gone: false,
    });
  }

  function remove(id: EndpointId): void {
    const state = states.get(id);
    if (state === undefined) return;
    const mayHaveLapsed =
      state.record.state === 'ready' && now() - outageAtMs < AFTER_OUTAGE_MS;
    if (mayHaveLapsed) {
      state.lapsedUntilMs ??= now() + Math.max(0, drainMs() - LEARNING_MS);
      return;
    }
    drop(state, 'entry removed');
  }

  function drop(state: EndpointState, reason: string): void {
    state.gone = true;
    states.delete(state.record.id);
    changedAtMs = now();
    log.event('endpointGone', {
      endpoint: state.record.id,
      reason,
      outageAgeMs: Math.round(now() - outageAtMs),
    });
  }

  function dropLapsed(): void {
    for (const state of states.values())
      if (state.lapsedUntilMs !== undefined && now() > state.lapsedUntilMs)
        drop(state, 'entry did not come back after an outage of the store');
  }

  function ofService(service: ServiceName): EndpointState[] {
    dropLapsed();
    return [...states.values()].filter(
      state => state.record.service === service,
    );
  }

  return {
    replaceAll(records) {
      const listed = new Set(records.map(record => record.id));
      for (const endpoint of [...states.keys()])
        if (!listed.has(endpoint)) remove(endpoint);
      for (const record of records) upsert(record);
    },
    upsert,
    remove,
    storeUnavailable() {
      outageAtMs = now();
    },
    get: endpoint => states.get(endpoint),
    byAddress: address =>
      [...states.values()].find(state => state.record.address === address),
    all: () => [...states.values()],
    ofService,
    usable: service =>
      ofService(service).filter(
        state =>
          state.record.state === 'ready' && state.suspectedUntilMs <= now(),
      ),
    suspect(state, reason) {
      const known = state.suspectedUntilMs > now();
      state.suspectedUntilMs = now() + SUSPICION_MS;
      if (known) return;
      log.event('endpointSuspected', {
        endpoint: state.record.id,
        address: state.record.address,
        reason,
        running: state.running,
      });
      for (const listener of listeners) listener(state);
    },
    observeSlowness(state, slowness) {
      state.slowness = slowness;
      state.slownessAtMs = now();
    },
    trust(state) {
      state.suspectedUntilMs = 0;
    },
    onSuspected(fn) {
      listeners.add(fn);
      return () => void listeners.delete(fn);
    },
    settledMs: () => now() - changedAtMs,
  };
}

/**
 * Counts the answer time of a plain request.
 *
 * @example
 * observeLatency(state, 43.5);
 */
export function observeLatency(state: EndpointState, latencyMs: number): void {
  state.latencyMs += LATENCY_GAIN * (latencyMs - state.latencyMs);
}
