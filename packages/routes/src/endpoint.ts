import type {EndpointId, FailureDomain, Failure} from '@chivewick/common';
import type {EngineStatus} from '@chivewick/engines';
import type {BlockIndex} from './block-index.js';
import type {Breaker} from '@chivewick/retries';
import {createPrefixCache, type PrefixCache} from './prefix-cache.js';

/** Consecutive failed polls after which an endpoint counts as failed. */
const POLL_FAILURES_UNTIL_FAILED = 2;
/** Share of the learned slowness that remains after each status report. */
const SLOWNESS_RETENTION = 0.95;

/** State of one endpoint in this host's table. */
export interface Endpoint {
  readonly id: EndpointId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  /** Index of the failure domain in the link table. */
  readonly domain: number;
  listedLeaving: boolean;
  /** Instance that is leaving; `'?'` if no status was received yet. */
  leavingInstance?: string;
  status?: EngineStatus;
  /** Time at which the load of `status` was measured, from `performance.now()`. */
  loadMeasuredAtMs: number;
  pollFailures: number;
  failed: boolean;
  /** Whether the last failed poll failed for a reason other than a timeout. */
  refusesPolls: boolean;
  ownRunning: number;
  /** Requests that this host started (+1) and finished (-1), newest last. */
  ownChanges: {atMs: number; delta: number; tokens: number}[];
  /** Sum of the deltas since `loadMeasuredAtMs`. */
  ownSinceReport: number;
  /** KV positions reserved minus freed by this host since `loadMeasuredAtMs`. */
  ownTokensSinceReport: number;
  /** Factor by which observed streams are slower than the status implies. */
  slowness: number;
  readonly cache: PrefixCache;
  /** Excludes an endpoint whose status is good but whose requests fail. */
  readonly breaker: Breaker;
}

/**
 * Creates the state of an endpoint that has not been polled yet.
 *
 * @example
 * const endpoint = createEndpoint({id, address, failureDomain, domain: 0, listedLeaving: false, breaker}, blockIndex);
 */
export function createEndpoint(
  entry: Pick<
    Endpoint,
    'id' | 'address' | 'failureDomain' | 'domain' | 'listedLeaving' | 'breaker'
  >,
  blockIndex: BlockIndex,
): Endpoint {
  const endpoint: Endpoint = {
    ...entry,
    leavingInstance: undefined,
    status: undefined,
    loadMeasuredAtMs: 0,
    pollFailures: 0,
    failed: false,
    refusesPolls: false,
    ownRunning: 0,
    ownChanges: [],
    ownSinceReport: 0,
    ownTokensSinceReport: 0,
    slowness: 1,
    cache: createPrefixCache((block, held) =>
      blockIndex.setHeld(endpoint, block, held),
    ),
  };
  return endpoint;
}

/**
 * Whether the endpoint is leaving according to the host list, a request or its
 * own status.
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
 * Whether new requests may be sent to the endpoint.
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
 * Whether an endpoint that is not usable may still work: it was unresponsive or
 * failed a request, but most of its requests succeed and its address does not
 * refuse polls.
 *
 * @example
 * const fallbacks = all.filter(isUsableAsFallback);
 */
export function isUsableAsFallback(endpoint: Endpoint): boolean {
  return (
    endpoint.status !== undefined &&
    !endpoint.refusesPolls &&
    !isLeaving(endpoint) &&
    endpoint.breaker.allows()
  );
}

/**
 * Applies a status report. An endpoint that was observed as leaving stays leaving
 * until another instance reports itself live, because a report may be older than
 * the observation.
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
  // An endpoint that is avoided for its slowness gets no stream that would show
  // its recovery, so the slowness decays with each report.
  endpoint.slowness = 1 + SLOWNESS_RETENTION * (endpoint.slowness - 1);
  endpoint.pollFailures = 0;
  endpoint.failed = false;
  endpoint.refusesPolls = false;
  if (status.state === 'leaving' || endpoint.leavingInstance === '?')
    endpoint.leavingInstance = status.instance;
  else if (endpoint.leavingInstance !== status.instance)
    endpoint.leavingInstance = undefined;
  endpoint.loadMeasuredAtMs = nowMs - status.load.ageMs;
  recountOwnChanges(endpoint);
}

function recountOwnChanges(endpoint: Endpoint): void {
  const {loadMeasuredAtMs} = endpoint;
  const recent = endpoint.ownChanges.filter(
    ({atMs}) => atMs >= loadMeasuredAtMs,
  );
  endpoint.ownChanges = recent;
  endpoint.ownSinceReport = 0;
  endpoint.ownTokensSinceReport = 0;
  for (const {delta, tokens} of recent) {
    endpoint.ownSinceReport += delta;
    endpoint.ownTokensSinceReport += delta * tokens;
  }
}

/**
 * Counts a failed poll. After two consecutive ones the endpoint is failed until
 * a poll succeeds.
 *
 * @example
 * applyPollFailure(endpoint, res.err);
 */
export function applyPollFailure(endpoint: Endpoint, err: Failure): void {
  endpoint.pollFailures += 1;
  endpoint.refusesPolls = err.kind !== 'deadline_exceeded';
  if (endpoint.pollFailures >= POLL_FAILURES_UNTIL_FAILED)
    endpoint.failed = true;
}

/**
 * Records that this host started (+1) or finished (-1) a request.
 *
 * @example
 * countOwnRequest(endpoint, 1, promptTokens + maxTokens, performance.now());
 */
export function countOwnRequest(
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
