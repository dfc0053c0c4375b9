import {pause} from '@chivewick/common';
import type {HostId} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {AttemptResult} from './attempt.js';
import {backoffMs, TIMED_OUT, withTimeout} from './timing.js';

/** Result of routing to the owner of a partition. */
export interface RoutingResult<T> {
  /** Absent if no host answered in time. */
  readonly outcome?: T;
  /** True if an attempt without an answer may still run. */
  readonly unresolved: boolean;
}

/** Makes one attempt at a host; `excluded` are hosts that could not be reached. */
export type SendAttempt<T> = (
  owner: HostId,
  excluded: readonly HostId[],
  abandoned: string | undefined,
) => Promise<AttemptResult<T>>;

export interface RouterContext {
  readonly live: () => HostId[];
  readonly ownerOf: (
    partitionNumber: number,
    excluded: readonly HostId[],
  ) => HostId | undefined;
  readonly signal: AbortSignal;
}

/** Interval of the checks that the host of a pending attempt is still live. */
const LIVENESS_CHECK_MS = 250;
/**
 * Retries without a pause. Later ones back off, to give the hosts time to agree
 * on the owner.
 */
const MAX_IMMEDIATE_RETRIES = 2;

/**
 * Makes attempts at the owner of a partition until one has an outcome or the
 * deadline passes. Follows `moved` results and skips hosts that cannot be
 * reached.
 *
 * @example
 * const {outcome, unresolved} = await routeToOwner(context, 3, deadline, sendAttempt);
 */
export async function routeToOwner<T>(
  context: RouterContext,
  partitionNumber: number,
  deadline: number,
  sendAttempt: SendAttempt<T>,
): Promise<RoutingResult<T>> {
  const {live, ownerOf, signal} = context;
  const excluded = new Set<HostId>();
  let reportedOwner: HostId | undefined;
  let abandoned: string | undefined;
  let unresolved = false;
  for (let attemptCount = 0; performance.now() < deadline; attemptCount++) {
    if (signal.aborted) break;
    if (attemptCount > MAX_IMMEDIATE_RETRIES)
      await pause(backoffMs(attemptCount), signal);
    const owner = reportedOwner ?? ownerOf(partitionNumber, [...excluded]);
    reportedOwner = undefined;
    if (owner === undefined) {
      excluded.clear();
      await pause(backoffMs(attemptCount), signal);
      continue;
    }
    const result = await waitWhileLive(
      sendAttempt(owner, [...excluded], abandoned),
      () => live().includes(owner),
      deadline,
    );
    if (result.kind === 'outcome') return {outcome: result.outcome, unresolved};
    if (result.kind === 'unresolved') unresolved = true;
    if (result.kind === 'unreachable') excluded.add(owner);
    if (result.kind !== 'moved') continue;
    abandoned ??= result.abandoned;
    if (result.stopping) excluded.add(owner);
    else if (result.owner !== undefined && !excluded.has(result.owner))
      reportedOwner = result.owner;
  }
  return {unresolved};
}

/**
 * Waits for an attempt until the deadline passes or its host stops being live;
 * in both cases the result is `unresolved`.
 *
 * @example
 * const result = await waitWhileLive(attempt, () => live().includes(owner), deadline);
 */
export async function waitWhileLive<T>(
  attempt: Promise<AttemptResult<T>>,
  isLive: () => boolean,
  deadline: number,
): Promise<AttemptResult<T>> {
  for (;;) {
    const wasLive = isLive();
    const remaining = deadline - performance.now();
    const result = await withTimeout(
      attempt,
      Math.min(LIVENESS_CHECK_MS, Math.max(0, remaining)),
    );
    if (result !== TIMED_OUT) return result;
    if (performance.now() >= deadline) return {kind: 'unresolved'};
    if (wasLive && !isLive()) return {kind: 'unresolved'};
  }
}

/**
 * Calls a ledger method of a peer host. A failure is `unreachable` if the
 * message was not delivered, `moved` if the host refused it without running
 * anything, and `unresolved` otherwise.
 *
 * @example
 * const result = await callPeer<CallOutcome>(peers, owner, 'ledger.call', params, 2_000);
 */
export async function callPeer<T>(
  peers: Peers,
  owner: HostId,
  method: string,
  params: unknown,
  timeoutMs: number,
): Promise<AttemptResult<T>> {
  const result = await peers.call<AttemptResult<T>>(owner, method, params, {
    timeoutMs,
  });
  if (result.ok) return result.value;
  const {kind, ran} = result.err;
  if (ran !== 'not_run') return {kind: 'unresolved'};
  // A host that refuses for another reason, such as overload, remains the owner
  // and is not excluded.
  return {kind: kind === 'endpoint_failed' ? 'unreachable' : 'moved'};
}
