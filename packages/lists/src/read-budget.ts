/** Half of the 16 KB/s of control traffic allowed per host (section 1.2). */
const RATE_BYTES_PER_S = 8_000;

/** Enough for several consecutive changes of a list of 390 workspaces. */
const BURST_BYTES = 512_000;

/** Limits the rate at which a watcher reads bytes from the platform. */
export interface ReadBudget {
  spend(bytes: number): void;
  /** Milliseconds until the budget is positive again; 0 while it is. */
  waitMs(): number;
}

/**
 * Creates a token bucket for bytes read; it may be overdrawn. The platform
 * sends complete lists: at 0.43 changes/s of 69 KB each, a watch costs 30 KB/s.
 *
 * @example
 * budget.spend(69_000);
 * await sleep(budget.waitMs(), signal);
 */
export function createReadBudget(): ReadBudget {
  let availableBytes = BURST_BYTES;
  let refilledAtMs = performance.now();
  function refill(): void {
    const now = performance.now();
    const refillBytes = ((now - refilledAtMs) / 1_000) * RATE_BYTES_PER_S;
    availableBytes = Math.min(BURST_BYTES, availableBytes + refillBytes);
    refilledAtMs = now;
  }
  return {
    spend(bytes) {
      refill();
      availableBytes -= bytes;
    },
    waitMs() {
      refill();
      return availableBytes > 0
        ? 0
        : (-availableBytes / RATE_BYTES_PER_S) * 1_000;
    },
  };
}
