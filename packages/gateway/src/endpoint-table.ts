import type {
  EndpointId,
  FailureDomain,
  HostId,
  Logger,
  ServiceName,
} from '@chivewick/common';
import {createEntryHistory} from './entry-history.js';
import type {EndpointRecord} from './types.js';

/** Time after which a suspected endpoint may be used again. */
const SUSPICION_MS = 2_500;
/**
 * Delay with which this host learns of a removed entry: batching of changes and
 * latency from the store. It is subtracted from the drain bound; for the rest of the
 * bound an endpoint whose entry may merely have expired stays in use, because most
 * such entries are re-created within that time.
 */
const REMOVAL_NOTICE_MS = 1_000;
/** An entry removed within this time after a store outage may have expired. */
const OUTAGE_EXPIRY_MS = 3_000;
/**
 * Time for which an endpoint is used whose entry is missing from an older copy of the
 * store: it writes its entry again within 2 s, which this host learns later.
 */
const RESTORE_GRACE_MS = 2_000 + REMOVAL_NOTICE_MS;
/** Weight of the newest response time in the moving average. */
const LATENCY_GAIN = 0.2;
/** Assumed response time of an endpoint that has not responded yet. */
const INITIAL_LATENCY_MS = 40;

/** State that this host keeps for an endpoint. */
export interface EndpointState {
  record: EndpointRecord;
  /** Index of its failure domain. */
  readonly domain: number;
  /** When this host first saw it, by `performance.now()`. */
  readonly firstSeenAtMs: number;
  /** Whether it started where one that held layers ended without leaving. */
  readonly isRestart: boolean;
  /** This host's requests in progress on the endpoint. */
  running: number;
  /** Those of them that begin there and take one of its slots. */
  starting: number;
  /** KV cache that those requests hold, in tokens times layers. */
  heldTokenLayers: number;
  /** Sum of `running` over the other hosts, from their latest reports. */
  othersRunning: number;
  /** Sum of `starting` over the other hosts, from their latest reports. */
  othersStarting: number;
  /** Sum of `heldTokenLayers` over the other hosts, from their latest reports. */
  othersTokenLayers: number;
  /** Moving average of the response time of plain requests, in milliseconds. */
  latencyMs: number;
  consecutiveFailures: number;
  suspectedUntilMs: number;
  /** The coordinator whose summaries list it as suspected; unset if this host does by itself. */
  suspectedBy?: HostId;
  /** Avoided until this time, after it refused a request for lack of capacity. */
  fullUntilMs: number;
  /** Factor by which it is slower than its kind, as last reported. */
  slowness: number;
  slownessAtMs: number;
  /**
   * Set if its entry is missing but may merely have expired, or have been lost by a
   * restore of the store.
   */
  retained?: {readonly untilMs: number; readonly version: number};
  /** Whether its entry was removed permanently. */
  removed: boolean;
  /** Whether it has stated in a response that it is about to stop. */
  leaving: boolean;
  /** It has asked this host for no requests until this time. */
  pausedUntilMs: number;
}

/** The registered endpoints with their load and health. */
export interface EndpointTable {
  /**
   * Takes over a listing that was read at a version of the store.
   *
   * @param usableUntilMs time after which an endpoint that is missing gets no request,
   *     though its entry may merely have expired.
   */
  replaceAll(
    records: readonly EndpointRecord[],
    version: number,
    usableUntilMs?: number,
  ): void;
  upsert(record: EndpointRecord): void;
  /** Takes over the removal of an entry at a version of the store; as `replaceAll`. */
  remove(id: EndpointId, version: number, usableUntilMs?: number): void;
  /** Records a failed call to the store; entries may expire during an outage. */
  storeUnavailable(): void;
  /** Name of the failure domain with an index. */
  domainAt(index: number): FailureDomain | undefined;
  get(id: EndpointId): EndpointState | undefined;
  byAddress(address: string): EndpointState | undefined;
  all(): EndpointState[];
  /** Registered endpoints of a service, in any state. */
  ofService(service: ServiceName): EndpointState[];
  /** Endpoints of a service that may get a new request. */
  usable(service: ServiceName): EndpointState[];
  /** Suspects an endpoint, on a finding of this host or in the summary of a coordinator. */
  suspect(state: EndpointState, reason: string, by?: HostId): void;
  /** Ends the use of an endpoint for good; a restart is another endpoint. */
  leave(state: EndpointState): void;
  /** Sends an endpoint nothing for a while, as it has asked. */
  pause(state: EndpointState, durationMs: number): void;
  observeSlowness(state: EndpointState, slowness: number): void;
  /** Forgets the load that other hosts put on the endpoints. */
  clearOthersLoad(): void;
  /** Clears the suspicion of an endpoint that has responded. */
  clearSuspicion(state: EndpointState): void;
  /** Takes back what failures at this host say of an endpoint that another one reaches. */
  clearFailures(address: string): void;
  /** Registers a listener for new suspicions; returns its unsubscribe function. */
  onSuspected(fn: (state: EndpointState) => void): () => void;
  /** Time since the set of endpoints last changed, in milliseconds. */
  unchangedMs(): number;
}

/**
 * Creates an empty table.
 *
 * @param drainMs time after which a draining or removed endpoint must get no request.
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
  /** Services whose engines hold or held layers, by address. */
  const holders = new Map<string, ServiceName>();
  const listeners = new Set<(state: EndpointState) => void>();
  const history = createEntryHistory(now);
  let outageAtMs = -Infinity;
  let changedAtMs = now();

  function domainIndex(domain: FailureDomain): number {
    const known = domains.indexOf(domain);
    return known >= 0 ? known : domains.push(domain) - 1;
  }

  function upsert(record: EndpointRecord): void {
    const known = states.get(record.id);
    if (known !== undefined && history.isOutdated(record, known.record)) {
      known.retained = undefined;
      return ignore(record, known.record);
    }
    if (known === undefined && history.withhold(record)) return ignore(record);
    const isNew =
      known === undefined || known.record.startedAtMs !== record.startedAtMs;
    const isReassigned =
      known?.record.layers?.from !== record.layers?.from ||
      known?.record.layers?.to !== record.layers?.to;
    if (isNew || isReassigned || known.record.state !== record.state) {
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
    const isRestart = isNew && holders.get(record.address) === record.service;
    if (isRestart || record.state === 'draining')
      holders.delete(record.address);
    if (record.state === 'ready' && record.layers !== undefined)
      holders.set(record.address, record.service);
    if (!isNew) {
      known.record = record;
      known.retained = undefined;
      return;
    }
    changedAtMs = now();
    if (known !== undefined) known.removed = true;
    states.set(record.id, {
      record,
      domain: domainIndex(record.failureDomain),
      firstSeenAtMs: now(),
      isRestart,
      running: 0,
      starting: 0,
      heldTokenLayers: 0,
      othersRunning: 0,
      othersStarting: 0,
      othersTokenLayers: 0,
      latencyMs: INITIAL_LATENCY_MS,
      consecutiveFailures: 0,
      suspectedUntilMs: 0,
      fullUntilMs: 0,
      slowness: 1,
      slownessAtMs: 0,
      removed: false,
      leaving: false,
      pausedUntilMs: 0,
    });
  }

  function ignore(record: EndpointRecord, known?: EndpointRecord): void {
    log.event('entryOutdated', {
      endpoint: record.id,
      state: record.state,
      writes: record.writes,
      known: known?.state ?? 'removed',
      knownWrites: known?.writes,
    });
  }

  function remove(
    id: EndpointId,
    version: number,
    usableUntilMs = Infinity,
  ): void {
    history.drop(id);
    const state = states.get(id);
    if (state === undefined) return;
    const mayHaveExpired =
      state.record.state === 'ready' && now() - outageAtMs < OUTAGE_EXPIRY_MS;
    const untilMs = Math.min(
      now() + drainMs() - REMOVAL_NOTICE_MS,
      usableUntilMs,
    );
    if (!mayHaveExpired || untilMs <= now())
      return drop(state, 'entry removed', version);
    retain(state, untilMs - now(), version);
  }

  function retain(state: EndpointState, forMs: number, version: number): void {
    state.retained ??= {untilMs: now() + forMs, version};
  }

  function drop(state: EndpointState, reason: string, version: number): void {
    state.removed = true;
    states.delete(state.record.id);
    history.removed(state.record, version);
    changedAtMs = now();
    log.event('endpointGone', {
      endpoint: state.record.id,
      reason,
      outageAgeMs: Math.round(now() - outageAtMs),
    });
  }

  /** Acts on entries that are missing, or unexpectedly there, for long enough. */
  function settleEntries(): void {
    for (const state of states.values()) {
      const {retained} = state;
      if (retained !== undefined && now() > retained.untilMs)
        drop(state, 'entry was not written again', retained.version);
    }
    for (const record of history.takeDue()) upsert(record);
  }

  function ofService(service: ServiceName): EndpointState[] {
    settleEntries();
    return [...states.values()].filter(
      state => state.record.service === service,
    );
  }

  return {
    replaceAll(records, version, usableUntilMs) {
      const listed = new Set(records.map(record => record.id));
      const isRestored = history.listed(listed, version);
      for (const state of [...states.values()]) {
        const {id, state: reported} = state.record;
        // One that is retained waits for its time, also if the next listing lacks it.
        if (listed.has(id) || state.retained !== undefined) continue;
        // The copy may be from before the endpoint started.
        if (isRestored && reported === 'ready')
          retain(state, RESTORE_GRACE_MS, version);
        else remove(id, version, usableUntilMs);
      }
      for (const record of records) upsert(record);
    },
    upsert,
    remove,
    storeUnavailable() {
      outageAtMs = now();
      history.postpone();
    },
    domainAt: index => domains[index],
    get: endpoint => states.get(endpoint),
    byAddress: address =>
      [...states.values()].find(state => state.record.address === address),
    all: () => [...states.values()],
    ofService,
    usable: service =>
      ofService(service).filter(
        state =>
          acceptsRequests(state, now()) && state.suspectedUntilMs <= now(),
      ),
    suspect(state, reason, by) {
      const isSuspected = state.suspectedUntilMs > now();
      state.suspectedUntilMs = now() + SUSPICION_MS;
      state.suspectedBy = by;
      if (isSuspected) return;
      log.event('endpointSuspected', {
        endpoint: state.record.id,
        address: state.record.address,
        reason,
        running: state.running,
      });
      for (const listener of listeners) listener(state);
    },
    leave(state) {
      if (state.leaving) return;
      state.leaving = true;
      const {id: endpoint, address} = state.record;
      log.event('endpointLeaving', {endpoint, address});
    },
    pause(state, durationMs) {
      const untilMs = now() + durationMs;
      if (untilMs <= state.pausedUntilMs) return;
      state.pausedUntilMs = untilMs;
      const {id: endpoint, address} = state.record;
      log.event('endpointPaused', {endpoint, address, durationMs});
    },
    observeSlowness(state, slowness) {
      state.slowness = slowness;
      state.slownessAtMs = now();
    },
    clearOthersLoad() {
      for (const state of states.values()) {
        state.othersRunning = 0;
        state.othersStarting = 0;
        state.othersTokenLayers = 0;
      }
    },
    clearSuspicion(state) {
      state.suspectedUntilMs = 0;
      state.suspectedBy = undefined;
    },
    clearFailures(address) {
      for (const state of states.values()) {
        if (state.record.address !== address) continue;
        state.consecutiveFailures = 0;
        state.suspectedUntilMs = 0;
      }
    },
    onSuspected(fn) {
      listeners.add(fn);
      return () => void listeners.delete(fn);
    },
    unchangedMs: () => now() - changedAtMs,
  };
}

/**
 * Whether an endpoint may get a new request, apart from suspicions: there it is better
 * than none.
 *
 * @example
 * const mayBeUsed = acceptsRequests(state, performance.now());
 */
export function acceptsRequests(state: EndpointState, nowMs: number): boolean {
  const {record, leaving, pausedUntilMs} = state;
  return record.state === 'ready' && !leaving && pausedUntilMs <= nowMs;
}

/**
 * Whether an endpoint stops or has stopped as planned.
 *
 * @example
 * if (isLeaving(state)) sendElsewhere();
 */
export function isLeaving(state: EndpointState): boolean {
  return state.removed || hasAnnouncedItsEnd(state);
}

/**
 * Whether an endpoint has stated that it stops, in its entry or in a response.
 *
 * @example
 * if (hasAnnouncedItsEnd(state)) return; // no crash
 */
export function hasAnnouncedItsEnd({record, leaving}: EndpointState): boolean {
  return leaving || record.state === 'draining';
}

/**
 * Adds the response time of a plain request to the moving average.
 *
 * @example
 * observeLatency(state, 43.5);
 */
export function observeLatency(state: EndpointState, latencyMs: number): void {
  state.latencyMs += LATENCY_GAIN * (latencyMs - state.latencyMs);
}
