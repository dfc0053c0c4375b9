/** Retries added to the budget per success. */
const RATIO = 0.1;
/** Retries added per second without any success, for hosts with little traffic. */
const RESERVE_PER_SECOND = 1;
/** Maximum number of saved retries; bounds the burst at the start of a fault. */
const CAPACITY = 20;

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries added to the budget per success; defaults to 0.1. */
  readonly ratio?: number;
  /** Retries added per second without any success; defaults to 1. */
  readonly reservePerSecond?: number;
  /** Maximum number of saved retries; defaults to 20. */
  readonly capacity?: number;
  /** Retries that are saved at the start; defaults to the reserve of a second. */
  readonly saved?: number;
  /** Clock in milliseconds; defaults to `performance.now()`. */
  readonly now?: () => number;
}

/** A token bucket of retries, refilled by successes. */
export interface RetryBudget {
  /** Records a success, which adds `ratio` retries. */
  succeeded(): void;
  /** Consumes one retry; returns false if none is available. */
  take(): boolean;
  /** Number of retries that are available now. */
  available(): number;
}

/**
 * Creates a budget shared by all retries of a host, which limits retries to a fixed
 * fraction of the successes: the load on failing endpoints is at most 1 + `ratio`
 * times the requests, plus a small reserve.
 *
 * @example
 * const budget = createRetryBudget({ratio: 0.1});
 * if (!res.ok && budget.take()) res = await send();
 */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const {ratio = RATIO, capacity = CAPACITY} = options;
  const {reservePerSecond = RESERVE_PER_SECOND} = options;
  const now = options.now ?? (() => performance.now());
  // A process that ran before on this host may have used what was saved; a restart takes
  // about a second.
  let tokens = Math.min(capacity, options.saved ?? reservePerSecond);
  let refilledAtMs = now();

  function refill(): void {
    const nowMs = now();
    const reserve = (reservePerSecond * (nowMs - refilledAtMs)) / 1000;
    tokens = Math.min(capacity, tokens + reserve);
    refilledAtMs = nowMs;
  }

  return {
    succeeded() {
      refill();
      tokens += ratio;
    },
    take() {
      refill();
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    available() {
      refill();
      return Math.floor(tokens);
    },
  };
}
