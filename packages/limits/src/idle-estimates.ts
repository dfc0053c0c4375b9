import {NO_CAPACITY, type Capacity} from './capacity.js';
import {holderKey, type Allocation} from './limits-object.js';

/** Validity of an estimate, and base of the retry backoff, in milliseconds. */
const ESTIMATE_VALID_MS = 250;
/** Maximum delay before a holder without idle allowance is asked again. */
const MAX_BACKOFF_MS = 2_000;

interface Estimate {
  readonly idle: Capacity;
  readonly backoffMs: number;
  readonly untilMs: number;
}

/** Idle allowance of each holder, estimated from its last reply. */
export interface IdleEstimates {
  /** The estimate; the whole allocation if there is no recent reply. */
  estimate(allocation: Allocation): Capacity;
  record(allocation: Allocation, idle: Capacity): void;
}

/**
 * Creates the estimates of one workspace. A holder that had no idle allowance,
 * or didn't answer, is asked again with exponential backoff.
 *
 * @example
 * const idle = createIdleEstimates();
 */
export function createIdleEstimates(): IdleEstimates {
  const estimates = new Map<string, Estimate>();
  return {
    estimate(allocation) {
      const known = estimates.get(holderKey(allocation));
      const fresh = known !== undefined && performance.now() < known.untilMs;
      if (fresh) return known.idle;
      // Draining requests may have ended since then; only a new reply shows it.
      const {concurrency, draining, tokensPerSecond} = allocation;
      return {concurrency: concurrency + draining, tokensPerSecond};
    },
    record(allocation, idle) {
      const key = holderKey(allocation);
      const nothingIdle =
        idle.concurrency <= NO_CAPACITY.concurrency &&
        idle.tokensPerSecond <= NO_CAPACITY.tokensPerSecond;
      const lastBackoffMs = estimates.get(key)?.backoffMs ?? ESTIMATE_VALID_MS;
      const backoffMs = nothingIdle
        ? Math.min(lastBackoffMs * 2, MAX_BACKOFF_MS)
        : ESTIMATE_VALID_MS;
      const untilMs = performance.now() + backoffMs;
      estimates.set(key, {idle, backoffMs, untilMs});
    },
  };
}
