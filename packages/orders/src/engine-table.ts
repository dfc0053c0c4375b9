/** The lease holder's record of each engine, read from the engine itself. */
import type {EndpointId, FailureDomain} from '@chivewick/common';
import type {DesiredEngine, EngineApi, EngineStatus} from '@chivewick/engines';
import type {OrdersEndpoint, OrdersTiming} from './orders-api.js';
import type {EngineView} from './plan-types.js';

/** Limits the status reads over all engines, so that their cost is bounded. */
const POLLS_PER_SECOND = 50;
const MS_PER_SECOND = 1_000;

/** One engine; changed only by the tasks of the lease holder. */
export interface EngineRecord {
  readonly id: EndpointId;
  address: string;
  failureDomain: FailureDomain;
  listedLeaving: boolean;
  status?: EngineStatus;
  reachable: boolean;
  /** Whether it has been unresponsive for `lostAfterMs`. */
  lost: boolean;
  lastOkMs: number;
  nextPollMs: number;
  polling: boolean;
  /** Since when it has had no sessions; undefined while it has any. */
  idleSinceMs?: number;
  /** When its reload was first delayed because it had sessions. */
  reloadDelayedSinceMs?: number;
  /** Instance that confirmed an order with this fencing number. */
  secured?: {readonly fence: number; readonly instance: string};
  /** Whether a step is being executed for this engine. */
  busy: boolean;
  /** No further reload before this time, while an order is in progress. */
  noReloadBeforeMs: number;
  /** Instance that the order in progress was sent to. */
  orderedInstance?: string;
  /** Largest number of layers seen on it; undefined before any were. */
  maxLayers?: number;
}

/** Records of all listed engines. */
export interface EngineTable {
  /** Applies the current host list. */
  update(endpoints: readonly OrdersEndpoint[]): void;
  /** Increases when something that a plan depends on has changed. */
  revision(): number;
  /** Records a change of a plan input that was made outside the table. */
  markChanged(): void;
  /** Removes all engines, as a new holder must not use what it read before. */
  clear(): void;
  /**
   * Whether every engine has been read once, or `lostAfterMs` have passed since
   * the table was cleared. Before that, a plan would treat served layers as
   * uncovered.
   */
  isComplete(): boolean;
  /**
   * Starts the status reads that are due; resolves when they have completed.
   */
  poll(): Promise<void>;
  /** Reads the status of one engine now. */
  readStatus(engine: EngineRecord): Promise<void>;
  get(endpoint: EndpointId): EngineRecord | undefined;
  all(): readonly EngineRecord[];
}

/**
 * Creates an empty table.
 *
 * @example
 * const table = createEngineTable({engines, timing});
 * table.update(endpoints());
 * await table.poll();
 */
export function createEngineTable(options: {
  engines: Pick<EngineApi, 'status'>;
  timing: OrdersTiming;
}): EngineTable {
  const {engines, timing} = options;
  const table = new Map<EndpointId, EngineRecord>();
  let clearedAtMs = performance.now();
  let complete = false;
  let revision = 0;
  let lastEndpoints: readonly OrdersEndpoint[] | undefined;

  function markLost(): void {
    const lostBeforeMs = performance.now() - timing.lostAfterMs;
    for (const engine of table.values()) {
      const lost = engine.lastOkMs <= lostBeforeMs && !engine.reachable;
      if (lost !== engine.lost) revision++;
      engine.lost = lost;
    }
  }

  async function readStatus(engine: EngineRecord): Promise<void> {
    if (engine.polling) return;
    engine.polling = true;
    const {address} = engine;
    const result = await engines.status(address, timing.statusTimeoutMs);
    engine.polling = false;
    const nowMs = performance.now();
    engine.nextPollMs = nowMs + intervalMs();
    const before = fingerprint(engine);
    engine.reachable = result.ok && address === engine.address;
    if (result.ok && engine.reachable)
      recordStatus(engine, result.value, nowMs);
    if (fingerprint(engine) !== before) revision++;
  }

  function intervalMs(): number {
    const spreadMs = (table.size / POLLS_PER_SECOND) * MS_PER_SECOND;
    return Math.max(timing.pollMs, spreadMs);
  }

  return {
    revision: () => revision,
    markChanged() {
      revision++;
    },
    update(endpoints) {
      markLost();
      if (endpoints === lastEndpoints) return;
      lastEndpoints = endpoints;
      revision++;
      const listed = new Set(endpoints.map(({id}) => id));
      for (const key of table.keys()) if (!listed.has(key)) table.delete(key);
      for (const {id, address, failureDomain, state} of endpoints) {
        const known = table.get(id) ?? createRecord(id, address);
        table.set(id, known);
        known.listedLeaving = state === 'leaving';
        known.failureDomain = failureDomain;
        if (known.address === address) continue;
        Object.assign(known, {address, reachable: false, nextPollMs: 0});
      }
    },
    clear() {
      table.clear();
      lastEndpoints = undefined;
      revision++;
      clearedAtMs = performance.now();
      complete = false;
    },
    isComplete() {
      complete ||=
        performance.now() - clearedAtMs >= timing.lostAfterMs ||
        (table.size > 0 &&
          [...table.values()].every(e => e.status !== undefined));
      return complete;
    },
    async poll() {
      const nowMs = performance.now();
      const due = [...table.values()].filter(e => e.nextPollMs <= nowMs);
      await Promise.all(due.map(readStatus));
    },
    readStatus,
    get: endpoint => table.get(endpoint),
    all: () => [...table.values()],
  };
}

function createRecord(id: EndpointId, address: string): EngineRecord {
  return {
    id,
    address,
    failureDomain: '' as FailureDomain,
    listedLeaving: false,
    reachable: false,
    lost: false,
    lastOkMs: performance.now(),
    nextPollMs: 0,
    polling: false,
    busy: false,
    noReloadBeforeMs: 0,
  };
}

function recordStatus(
  engine: EngineRecord,
  status: EngineStatus,
  nowMs: number,
): void {
  engine.status = status;
  engine.lastOkMs = nowMs;
  const {running, queued, kvFree, kvTotal} = status.load;
  const idle = running === 0 && queued === 0 && kvFree >= kvTotal;
  engine.idleSinceMs = idle ? (engine.idleSinceMs ?? nowMs) : undefined;
  const {from, to} = status.layers;
  if (to > from) engine.maxLayers = Math.max(engine.maxLayers ?? 0, to - from);
  // A restarted engine has lost both the order and its fencing number.
  if (status.instance !== engine.orderedInstance) engine.noReloadBeforeMs = 0;
  if (status.instance !== engine.secured?.instance) engine.secured = undefined;
}

/** Everything that a plan depends on, as a comparable string. */
function fingerprint({status, reachable, idleSinceMs}: EngineRecord): string {
  if (status === undefined) return String(reachable);
  const {model, version, layers, adapters, role, state, instance} = status;
  const {from, to} = layers;
  const idle = idleSinceMs !== undefined;
  const parts = [reachable, idle, model, version, from, to, role, state];
  return [...parts, instance, ...adapters].join(' ');
}

/** The part of a status that an order can change. */
function stateOf(status: EngineStatus): DesiredEngine {
  const {model, version, layers, adapters, role} = status;
  return {model, version, layers, adapters, role};
}

/**
 * Whether the engine is leaving, by the host list or by its own status.
 *
 * @example
 * if (isLeaving(engine)) return;
 */
export function isLeaving(engine: EngineRecord): boolean {
  return engine.listedLeaving || engine.status?.state === 'leaving';
}

/**
 * The engine as the planner sees it. Its last state stays valid for
 * `lostAfterMs` after it became unresponsive, so that a short pause causes no
 * moves.
 *
 * @example
 * const views = table.all().map(engine => viewOf(engine, context));
 */
export function viewOf(
  engine: EngineRecord,
  context: {
    desired: EngineView['desired'];
    fence: number;
  },
): EngineView {
  const {id, failureDomain, status, reachable, lost, maxLayers} = engine;
  const {desired, fence} = context;
  const width = desired && desired.layers.to - desired.layers.from;
  return {
    id,
    failureDomain,
    leaving: isLeaving(engine),
    state: lost ? undefined : status && stateOf(status),
    reachable,
    idle: engine.idleSinceMs !== undefined,
    desired,
    secured: engine.secured?.fence === fence,
    maxLayers: maxLayers ?? width,
  };
}
