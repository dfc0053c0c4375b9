import {failure, ok, type Result, type WorkspaceId} from '@chivewick/common';
import {covers, NO_CAPACITY, type Capacity} from './capacity.js';
import {createLocalAllocation} from './local-allocation.js';
import type {Permit, WorkspaceStatus} from './limits-api.js';
import type {ReclaimReply, ReclaimRequest, View} from './messages.js';
import {createDemand} from './demand.js';
import {createPermit} from './permit.js';
import {createTokenBucket} from './token-bucket.js';
import {createWaiters} from './waiters.js';

/**
 * Minimum wait of a request before the host asks for more allowance, since
 * another request may be about to free a slot.
 */
const GRANT_REQUEST_AFTER_MS = 200;
/** Assumed hold time of a slot before the first sample. */
const INITIAL_HOLD_MS = 500;
const MIN_RETRY_MS = 50;
/** Weight of the newest sample in the smoothed hold time of a slot. */
const HOLD_GAIN = 0.125;

export interface WorkspaceLimiterOptions {
  readonly workspace: WorkspaceId;
  /** The limit in effect on this host. */
  readonly limit: () => Capacity;
  /** Whether this host may start any requests. */
  readonly mayStart: () => boolean;
  /** Called when the allowance doesn't cover the requests. */
  readonly onShortage: () => void;
  readonly waitMs: number;
  readonly maxRequestMs: number;
}

/** The part of its allocation that a host keeps when it releases the rest. */
export interface Remainder extends Capacity {
  readonly draining: number;
}

/** Use, allowance and queue of one workspace on this host. */
export interface WorkspaceLimiter {
  acquire(tokens: number, signal: AbortSignal): Promise<Result<Permit>>;
  /** Adopts a newer version of the limits object; ignores any other. */
  adopt(view: View): void;
  /** Pledges idle allowance; lowers the allowance before it returns. */
  reclaim(request: Omit<ReclaimRequest, 'workspace' | 'holder'>): ReclaimReply;
  /** Pledges all capacity that requests in progress don't use. */
  release(view: View): Remainder | undefined;
  /** Requests in progress above the allocation. */
  draining(): number;
  view(): View | undefined;
  /** The total capacity that this host requests, in units of its own limit. */
  target(): Capacity;
  /**
   * Milliseconds until a request has waited long enough to ask for more
   * allowance; undefined when the allowance covers all requests.
   */
  grantRequestDueInMs(): number | undefined;
  /** Whether the host has no slots allowed and no requests in progress. */
  starved(): boolean;
  /** Whether other hosts should also give capacity that is idle only briefly. */
  urgent(): boolean;
  /** Whether a pledge holds the allowance below the allocation. */
  pledged(): boolean;
  /** Starts no requests until an entry with a higher `touch` is adopted. */
  invalidate(): void;
  /** The `touch` that the host's entry must reach. */
  touch(): number;
  /** Starts waiting requests that the allowance covers. */
  admitWaiting(): void;
  close(): void;
  status(): WorkspaceStatus;
}

/**
 * Creates the limiter of one workspace on this host.
 *
 * @example
 * const limiter = createWorkspaceLimiter({workspace, limit, mayStart, onShortage, waitMs: 1000, maxRequestMs: 600_000});
 */
export function createWorkspaceLimiter(
  options: WorkspaceLimiterOptions,
): WorkspaceLimiter {
  const {workspace, limit, maxRequestMs} = options;
  const allocation = createLocalAllocation();
  const bucket = createTokenBucket();
  let inUse = 0;
  let requiredTouch = 0;
  let holdMs = INITIAL_HOLD_MS;
  let refillTimer: NodeJS.Timeout | undefined;

  const isConfirmed = () =>
    options.mayStart() && (allocation.view()?.own?.touch ?? 0) >= requiredTouch;

  const allowance = (): Capacity => {
    const held = isConfirmed() ? allocation.allowance(limit()) : NO_CAPACITY;
    bucket.setRate(held.tokensPerSecond);
    return held;
  };

  const limitExceeded = () => {
    const {concurrency} = allowance();
    const slotMs = (holdMs * waiters.size()) / Math.max(1, concurrency);
    const tokenMs = bucket.waitMs();
    const waitMs = Math.max(slotMs, Number.isFinite(tokenMs) ? tokenMs : 0);
    return failure(
      'limit_exceeded',
      `workspace ${workspace} has no free plan capacity (${inUse} requests in progress on this host)`,
      {retryAfterMs: Math.max(MIN_RETRY_MS, Math.ceil(waitMs))},
    );
  };

  const waiters = createWaiters({
    waitMs: options.waitMs,
    limitExceeded,
    onChange: () => demand.recordLoad(),
  });

  const demand = createDemand(
    () => ({
      inUse,
      waiting: waiters.size(),
      waitingTokens: waiters.tokens(),
    }),
    limit,
  );

  const start = (tokens: number): Permit => {
    inUse += 1;
    demand.charge(tokens);
    return createPermit({
      tokens,
      maxRequestMs,
      onRelease(unused, heldMs) {
        inUse -= 1;
        demand.recordLoad();
        holdMs += HOLD_GAIN * (heldMs - holdMs);
        bucket.refund(unused);
        admitWaiting();
      },
    });
  };

  /** Starts waiting requests when the bucket has tokens again. */
  const admitAfterRefill = () => {
    const waitMs = bucket.waitMs();
    if (refillTimer !== undefined || !Number.isFinite(waitMs)) return;
    refillTimer = setTimeout(() => {
      refillTimer = undefined;
      admitWaiting();
    }, waitMs);
    refillTimer.unref();
  };

  const admitWaiting = () => {
    while (inUse < allowance().concurrency) {
      const waiter = waiters.next(tokens => bucket.take(tokens));
      if (waiter === undefined) break;
      waiter.settle(ok(start(waiter.tokens)));
    }
    if (waiters.size() === 0) return;
    if (waiters.tokens() > 0) admitAfterRefill();
    if (hasShortage()) options.onShortage();
  };

  const hasShortage = () =>
    waiters.size() > 0 &&
    (inUse >= allowance().concurrency ||
      (waiters.tokens() > 0 && !covers(allowance(), demand.target())));

  const starved = () => inUse === 0 && allowance().concurrency === 0;

  const urgent = () => demand.burstReaches(allowance().concurrency);

  /** Whether tokens are short, or the shortage of slots is not transient. */
  const warrantsGrantRequest = () => {
    const {concurrency} = allowance();
    return inUse < concurrency || demand.loadReaches(concurrency) || urgent();
  };

  /** While the bucket is in debt, the host keeps its token rate to repay it. */
  const need = (isUrgent: boolean): Capacity => {
    const needed = demand.need(isUrgent);
    if (!bucket.inDebt()) return needed;
    return {...needed, tokensPerSecond: limit().tokensPerSecond};
  };

  const drainingAbove = ({concurrency}: Capacity) =>
    Math.max(0, inUse - concurrency);

  return {
    async acquire(tokens, signal) {
      const result = waiters.wait(tokens, signal);
      admitWaiting();
      return result;
    },
    adopt(view) {
      if (!allocation.adopt(view)) return;
      requiredTouch = Math.max(requiredTouch, view.own?.touch ?? 0);
      admitWaiting();
    },
    reclaim(request) {
      const pledge = allocation.pledge(request, need(request.urgent), limit());
      allowance();
      if (pledge === undefined) return {kind: 'stale'};
      return {kind: 'pledged', ...pledge, draining: drainingAbove(pledge.keep)};
    },
    release(view) {
      const busy = {concurrency: inUse, tokensPerSecond: 0};
      const take = view.own ?? NO_CAPACITY;
      const pledge = allocation.pledge({view, take}, busy, limit());
      allowance();
      if (pledge === undefined) return undefined;
      return {...pledge.keep, draining: drainingAbove(pledge.keep)};
    },
    draining: () => drainingAbove(allocation.view()?.own ?? NO_CAPACITY),
    view: () => allocation.view(),
    target: () => demand.target(),
    grantRequestDueInMs() {
      if (!hasShortage()) return undefined;
      if (starved()) return 0;
      if (!warrantsGrantRequest()) return GRANT_REQUEST_AFTER_MS;
      return Math.max(0, GRANT_REQUEST_AFTER_MS - waiters.longestWaitMs());
    },
    starved,
    urgent,
    pledged: () => allocation.pledged(),
    invalidate() {
      requiredTouch = Math.max(
        requiredTouch,
        (allocation.view()?.own?.touch ?? 0) + 1,
      );
    },
    touch: () =>
      Math.max(
        requiredTouch,
        (allocation.view()?.own?.touch ?? 0) + (allocation.pledged() ? 1 : 0),
      ),
    admitWaiting,
    close() {
      clearTimeout(refillTimer);
      refillTimer = undefined;
      waiters.failAll(failure('shutting_down', 'the host is shutting down'));
    },
    status() {
      const held = allowance();
      return {
        workspace,
        inUse,
        waiting: waiters.size(),
        allowance: held.concurrency,
        tokensPerSecond: held.tokensPerSecond,
        version: allocation.view()?.version ?? 0,
      };
    },
  };
}
