import type {EndpointId, FailureDomain, Failure} from '@chivewick/common';
import type {EngineStatus} from '@chivewick/engines';
import type {Holders} from './holders.js';
import type {Breaker} from '@chivewick/retries';
import {createPrefixCache, type PrefixCache} from './prefix-cache.js';

/** Polls in a row that fail before an endpoint counts as failed. */
const POLL_FAILURES_UNTIL_FAILED = 2;
/** Part of a learned slowness that stays after one report. */
const SLOWNESS_KEPT = 0.95;

/** State of one endpoint in this host's table. */
export interface Endpoint {
  readonly id: EndpointId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  /** Index of the failure domain in the link table. */
  readonly domain: number;
  listedLeaving: boolean;
  /** Instance that announced that it is leaving; `'?'` before any status. */
  leavingInstance?: string;
  status?: EngineStatus;
  /** Time that the load of `status` was true at, by `performance.now()`. */
  loadAtMs: number;
  pollFailures: number;
  failed: boolean;
  /** Whether the last failed poll was refused, in place of timing out. */
  refuses: boolean;
  ownRunning: number;
  /** Starts (+1) and finishes (-1) of this host, newest last. */
  ownChanges: {atMs: number; delta: number; tokens: number}[];
  /** Sum of the deltas since `loadAtMs`. */
  ownSinceReport: number;
  /** KV positions that this host took, less those it freed, since `loadAtMs`. */
  ownTokensSinceReport: number;
  /** Factor by which streams found it slower than its status says. */
  slowness: number;
  readonly cache: PrefixCache;
  /** Refuses an endpoint whose status is good but whose requests fail. */
  readonly breaker: Breaker;
}

/**
 * Creates the state of an endpoint that has not been polled yet.
 *
 * @example
 * const endpoint = createEndpoint({id, address, failureDomain, domain: 0, listedLeaving: false, breaker}, holders);
 */
export function createEndpoint(
  entry: Pick<
    Endpoint,
    'id' | 'address' | 'failureDomain' | 'domain' | 'listedLeaving' | 'breaker'
  >,
  holders: Holders,
): Endpoint {
  const endpoint: Endpoint = {
    ...entry,
    leavingInstance: undefined,
    status: undefined,
    loadAtMs: 0,
    pollFailures: 0,
    failed: false,
    refuses: false,
    ownRunning: 0,
    ownChanges: [],
    ownSinceReport: 0,
    ownTokensSinceReport: 0,
    slowness: 1,
    cache: createPrefixCache((block, held) =>
      holders.change(endpoint, block, held),
    ),
  };
  return endpoint;
}

/**
 * Whether the endpoint is known to be leaving, from any source.
 *
 * @example
 * if (isLeaving(endpoint)) return;
 */
export function isLeaving(endpoint: Endpoint): boolean {
  return (
    endpoint.listedLeaving ||
    endpoint.leavingInstance !== undefined ||
    endpoint.status?.state === 'leaving'
  );
}

/**
 * Whether new work may be sent to the endpoint.
 *
 * @example
 * const candidates = all.filter(isUsable);
 */
export function isUsable(endpoint: Endpoint): boolean {
  return (
    endpoint.status !== undefined &&
    !endpoint.failed &&
    !isLeaving(endpoint) &&
    endpoint.breaker.allows()
  );
}

/**
 * Whether an endpoint that is not usable may work all the same: it was silent
 * or broke a request, but most of its requests succeed and its address does not
 * refuse polls.
 *
 * @example
 * const lastResort = all.filter(isDoubtful);
 */
export function isDoubtful(endpoint: Endpoint): boolean {
  return (
    endpoint.status !== undefined &&
    !endpoint.refuses &&
    !isLeaving(endpoint) &&
    endpoint.breaker.allows()
  );
}

/**
 * Takes over a status report. A leaving sign holds until another instance
 * reports itself live, because a report may be older than the sign.
 *
 * @example
 * applyStatus(endpoint, status, performance.now());
 */
export function applyStatus(
  endpoint: Endpoint,
  status: EngineStatus,
  nowMs: number,
): void {
  if (endpoint.status?.instance !== status.instance) endpoint.cache.clear();
  endpoint.status = status;
  // An endpoint avoided for its slowness gets no stream that would show its
  // recovery, so the slowness fades by itself.
  endpoint.slowness = 1 + SLOWNESS_KEPT * (endpoint.slowness - 1);
  endpoint.pollFailures = 0;
  endpoint.failed = false;
  endpoint.refuses = false;
  if (status.state === 'leaving' || endpoint.leavingInstance === '?')
    endpoint.leavingInstance = status.instance;
  else if (endpoint.leavingInstance !== status.instance)
    endpoint.leavingInstance = undefined;
  endpoint.loadAtMs = nowMs - status.load.ageMs;
  recountOwnChanges(endpoint);
}

function recountOwnChanges(endpoint: Endpoint): void {
  const {loadAtMs} = endpoint;
  const kept = endpoint.ownChanges.filter(({atMs}) => atMs >= loadAtMs);
  endpoint.ownChanges = kept;
  endpoint.ownSinceReport = 0;
  endpoint.ownTokensSinceReport = 0;
  for (const {delta, tokens} of kept) {
    endpoint.ownSinceReport += delta;
    endpoint.ownTokensSinceReport += delta * tokens;
  }
}

/**
 * Counts a failed poll; after two in a row the endpoint counts as failed until
 * a poll succeeds.
 *
 * @example
 * applyPollFailure(endpoint, res.err);
 */
export function applyPollFailure(endpoint: Endpoint, err: Failure): void {
  endpoint.pollFailures += 1;
  endpoint.refuses = err.kind !== 'deadline_exceeded';
  if (endpoint.pollFailures >= POLL_FAILURES_UNTIL_FAILED)
    endpoint.failed = true;
}

/**
 * Counts a start (+1) or finish (-1) of a request of this host.
 *
 * @example
 * countOwn(endpoint, 1, promptTokens + maxTokens, performance.now());
 */
export function countOwn(
  endpoint: Endpoint,
  delta: 1 | -1,
  tokens: number,
  nowMs: number,
): void {
  endpoint.ownRunning = Math.max(0, endpoint.ownRunning + delta);
  endpoint.ownChanges.push({atMs: nowMs, delta, tokens});
  endpoint.ownSinceReport += delta;
  endpoint.ownTokensSinceReport += delta * tokens;
}
