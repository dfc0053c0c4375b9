import {maxCapacity, minCapacity, type Capacity} from './capacity.js';
import {createLoadAverage} from './load-average.js';
import {createPeakWindow} from './peak-window.js';

/** Capacity that a host requests and keeps, relative to its load. */
const HEADROOM = 1.25;
/** Ratio of requests to allowance from which a shortage is not transient. */
const BURST_FACTOR = 2;

/** The requests of a workspace on this host. */
export interface RequestCounts {
  readonly inUse: number;
  readonly waiting: number;
  /** Total tokens that the waiting requests may generate. */
  readonly waitingTokens: number;
}

/** How much capacity a workspace needs on this host. */
export interface Demand {
  /** Call after the number of requests in progress or waiting has changed. */
  recordLoad(): void;
  /** Records the tokens that a started request was charged for. */
  charge(tokens: number): void;
  /** The total capacity that the host requests. */
  target(): Capacity;
  /**
   * The capacity that it can't give to another host; `urgent` excludes capacity
   * that is idle only briefly.
   */
  need(urgent: boolean): Capacity;
  /** Whether the average load has reached `concurrency`. */
  loadReaches(concurrency: number): boolean;
  /**
   * Whether the current need is at least `BURST_FACTOR` times `concurrency`, for
   * example after a caller has switched to this host.
   */
  burstReaches(concurrency: number): boolean;
}

/**
 * Creates the demand estimate of one workspace on this host.
 *
 * @param counts returns the current requests.
 * @param limit returns the limit in effect on this host.
 * @example
 * const demand = createDemand(() => ({inUse, waiting: 0, waitingTokens: 0}), () => limit);
 */
export function createDemand(
  counts: () => RequestCounts,
  limit: () => Capacity,
): Demand {
  const load = createLoadAverage();
  const rate = createPeakWindow();
  let currentSecond = 0;
  let chargedInSecond = 0;

  const currentNeed = (): Capacity => {
    const {inUse, waiting, waitingTokens} = counts();
    return {
      concurrency: inUse + waiting,
      tokensPerSecond: rate.peak() + waitingTokens,
    };
  };

  return {
    recordLoad: () => load.record(currentNeed().concurrency),
    charge(tokens) {
      const now = Math.floor(performance.now() / 1000);
      if (now !== currentSecond) chargedInSecond = 0;
      currentSecond = now;
      chargedInSecond += tokens;
      rate.record(chargedInSecond);
    },
    target() {
      const {concurrency, tokensPerSecond} = currentNeed();
      const wanted = Math.max(concurrency, load.value());
      const withHeadroom = {
        concurrency: Math.floor(wanted * HEADROOM),
        tokensPerSecond: Math.ceil(tokensPerSecond * HEADROOM),
      };
      return minCapacity(withHeadroom, limit());
    },
    need(urgent) {
      const sustained = urgent ? 0 : Math.floor(load.value() * HEADROOM);
      return maxCapacity(currentNeed(), {
        concurrency: sustained,
        tokensPerSecond: 0,
      });
    },
    loadReaches: concurrency => load.value() >= concurrency,
    burstReaches: concurrency =>
      currentNeed().concurrency >= BURST_FACTOR * concurrency,
  };
}
