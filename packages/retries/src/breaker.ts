import type {Random} from '@chivewick/common';

/** Number of latest results over which the failure ratio is computed. */
const WINDOW_SIZE = 20;
/** Number of results needed before the breaker may open. */
const MIN_RESULTS = 5;
/** Failure ratio at which the breaker opens. */
const FAILURE_RATIO = 0.5;
const OPEN_MS = 500;
const MAX_OPEN_MS = 4000;
/** Jitter: the open time is drawn between this fraction and the full time. */
const MIN_OPEN_FRACTION = 0.5;
/** A trial request without a result must not keep the breaker half-open. */
const TRIAL_TIMEOUT_MS = 10_000;

export type BreakerState = 'closed' | 'open' | 'half-open';

/** Options of a breaker; times are in milliseconds. */
export interface BreakerOptions {
  readonly random: Random;
  /** Initial open time; doubles with each failed trial. */
  readonly openMs?: number;
  /** Upper bound of the open time. */
  readonly maxOpenMs?: number;
  /** Clock in milliseconds; defaults to `performance.now()`. */
  readonly now?: () => number;
  /** Called when the breaker opens. */
  readonly onOpen?: () => void;
}

/** A circuit breaker: stops requests to an endpoint that fails most of them. */
export interface Breaker {
  /** Whether a request may be sent now; does not start a trial. */
  allows(): boolean;
  /** Records that a request is sent; in the half-open state it is the trial. */
  started(): void;
  succeeded(): void;
  failed(): void;
  state(): BreakerState;
}

/**
 * Creates a closed breaker. It opens when at least half of the latest results are
 * failures (of at least five results). It stays open for a random part of the open
 * time, so that hosts do not retry simultaneously, and then allows one trial request.
 * A success closes the breaker; a failure opens it for twice as long, up to 4 s, so
 * that an endpoint that recovers is in use again within 5 s.
 *
 * @example
 * const breaker = createBreaker({random});
 * if (breaker.allows()) { breaker.started(); await send(); breaker.succeeded(); }
 */
export function createBreaker(options: BreakerOptions): Breaker {
  const {random, openMs = OPEN_MS, maxOpenMs = MAX_OPEN_MS} = options;
  const now = options.now ?? (() => performance.now());
  let results: boolean[] = [];
  let openCount = 0;
  let openUntilMs: number | undefined;
  let trialAtMs: number | undefined;

  function state(): BreakerState {
    if (openUntilMs === undefined) return 'closed';
    return now() < openUntilMs ? 'open' : 'half-open';
  }

  function open(): void {
    const fullMs = Math.min(maxOpenMs, openMs * 2 ** openCount);
    const fraction =
      MIN_OPEN_FRACTION + (1 - MIN_OPEN_FRACTION) * random.next();
    openUntilMs = now() + fraction * fullMs;
    openCount += 1;
    trialAtMs = undefined;
    results = [];
    options.onOpen?.();
  }

  function record(success: boolean): void {
    results.push(success);
    if (results.length > WINDOW_SIZE) results.shift();
    const failures = results.filter(result => !result).length;
    if (results.length < MIN_RESULTS) return;
    if (failures >= FAILURE_RATIO * results.length) open();
  }

  return {
    state,
    allows() {
      const current = state();
      if (current !== 'half-open') return current === 'closed';
      return trialAtMs === undefined || now() - trialAtMs > TRIAL_TIMEOUT_MS;
    },
    started() {
      if (state() === 'half-open') trialAtMs = now();
    },
    succeeded() {
      // The request was sent before the breaker opened, so its result is ignored.
      if (state() === 'open') return;
      if (state() === 'half-open') {
        openUntilMs = undefined;
        openCount = 0;
      }
      record(true);
    },
    failed() {
      const current = state();
      if (current === 'half-open') open();
      else if (current === 'closed') record(false);
    },
  };
}
