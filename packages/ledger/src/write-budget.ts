import {pause} from '@chivewick/common';

/** Limits the rate of a host's writes to the platform. */
export interface WriteBudget {
  /** Waits until a write is allowed; requests are served in order of arrival. */
  take(): Promise<void>;
  /** Counts a write that must not be delayed. */
  countUndelayed(): void;
  /** Number of writes so far. */
  taken(): number;
  close(): void;
}

/** Burst allowed after an idle period, in seconds' worth of writes. */
const MAX_BURST_S = 0.5;

/**
 * Creates a token bucket of writes, implemented as the generic cell rate
 * algorithm (ITU-T I.371). The rate may change between writes.
 *
 * @example
 * const budget = createWriteBudget(() => 2.8 * ownedPartitionCount());
 * await budget.take();
 */
export function createWriteBudget(writesPerSecond: () => number): WriteBudget {
  const closing = new AbortController();
  let nextWriteMs = -Infinity;
  let writeCount = 0;
  return {
    take() {
      const now = performance.now();
      const rate = writesPerSecond();
      const intervalMs = 1_000 / rate;
      const burstWrites = Math.max(1, rate * MAX_BURST_S);
      nextWriteMs =
        Math.max(nextWriteMs, now - burstWrites * intervalMs) + intervalMs;
      writeCount++;
      return pause(nextWriteMs - now, closing.signal);
    },
    countUndelayed: () => void writeCount++,
    taken: () => writeCount,
    close: () => closing.abort(),
  };
}
