import {
  markClocks,
  RUNTIME_CLOCKS,
  type ClockMark,
  type Clocks,
} from '@chivewick/common';

/** Age of the last confirmation that the configuration is current. */
export interface Freshness {
  /**
   * Reads the clocks before a poll. Call the returned function after the response,
   * with the time in milliseconds for which it confirms that nothing has changed.
   */
  poll(): (waitedMs: number) => void;
  /** Time since the last confirmation, in milliseconds; infinite if unknown. */
  ageMs(): number;
}

/**
 * Tracks when the store last confirmed this host's configuration. The monotonic
 * clock does not advance while a process is suspended, so a confirmation becomes
 * invalid if the wall clock has drifted from the monotonic clock since its poll
 * was sent.
 *
 * @example
 * const confirm = freshness.poll();
 * await changes(...);
 * confirm(2_000); // nothing changed until 2 s after the poll was sent
 */
export function createFreshness(clocks: Clocks = RUNTIME_CLOCKS): Freshness {
  let confirmed: {atMs: number; mark: ClockMark} | undefined;
  return {
    poll() {
      const mark = markClocks(clocks);
      return waitedMs => {
        if (mark.hasDrifted()) return;
        confirmed = {
          atMs: Math.min(mark.atMs + waitedMs, clocks.monotonicMs()),
          mark,
        };
      };
    },
    ageMs() {
      if (confirmed === undefined || confirmed.mark.hasDrifted()) {
        return Infinity;
      }
      return clocks.monotonicMs() - confirmed.atMs;
    },
  };
}
