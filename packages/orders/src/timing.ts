import type {OrdersTiming} from './orders-api.js';

/** Defaults for the timing options that are not set. */
export const DEFAULT_TIMING: OrdersTiming = {
  leaseMs: 10_000,
  renewMs: 2_500,
  leaseMarginMs: 1_000,
  pollMs: 1_000,
  statusTimeoutMs: 500,
  lostAfterMs: 3_000,
  orderRetryMs: 60_000,
  drainMs: 900_000,
  loadsPerSecond: 4,
  writesPerSecond: 50,
};

const MS_PER_SECOND = 1_000;

/** Limits the rate of actions; allows a short burst after an idle time. */
export interface RateLimiter {
  /** Consumes a token; false when none is available. */
  take(): boolean;
}

/**
 * Creates a token bucket of `perSecond` tokens per second that holds at most
 * the tokens of 200 ms, and at least one.
 *
 * @example
 * const writes = createRateLimiter(50);
 * if (writes.take()) await write();
 */
export function createRateLimiter(perSecond: number): RateLimiter {
  const burst = Math.max(1, (perSecond * BURST_MS) / MS_PER_SECOND);
  let tokens = burst;
  let lastMs = performance.now();
  return {
    take() {
      const nowMs = performance.now();
      const gained = ((nowMs - lastMs) / MS_PER_SECOND) * perSecond;
      tokens = Math.min(burst, tokens + gained);
      lastMs = nowMs;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}

const BURST_MS = 200;

/** Allows one load request to the weight store at a time, at a limited rate. */
export interface LoadSlot {
  /** Whether a load may be requested now. */
  free(): boolean;
  begin(): void;
  /** Ends a load; `countsTowardsRate`: whether it uses up an interval. */
  end(countsTowardsRate: boolean): void;
  /** Delays the next load by at least `ms` milliseconds. */
  delay(ms: number): void;
  /**
   * Time until the next load is allowed by the rate, in milliseconds; a running
   * load is ignored.
   */
  waitMs(): number;
}

/**
 * Creates a slot for one load at a time. The interval starts when the response
 * to the last load arrives: the store granted that load earlier and receives
 * the next request later, so a store with the same rate limit refuses neither.
 *
 * @example
 * if (slot.free()) slot.begin();
 */
export function createLoadSlot(perSecond: number): LoadSlot {
  let nextMs = 0;
  let loading = false;
  const delay = (ms: number) => {
    nextMs = Math.max(nextMs, performance.now() + ms);
  };
  const waitMs = () => Math.max(0, nextMs - performance.now());
  return {
    free: () => !loading && waitMs() === 0,
    begin() {
      loading = true;
    },
    end(countsTowardsRate) {
      loading = false;
      if (countsTowardsRate) delay(MS_PER_SECOND / perSecond);
    },
    delay,
    waitMs,
  };
}
