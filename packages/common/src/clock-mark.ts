/**
 * A change of the offset between the wall clock and the monotonic clock beyond
 * this means that the process was suspended or the wall clock was set. Rounding
 * of both clocks and a clock slewed for a few seconds stay below it.
 */
const CLOCK_DRIFT_MS = 150;

/** Clocks of a process, in milliseconds. */
export interface Clocks {
  /** Monotonic clock; may not advance while the process is suspended. */
  monotonicMs(): number;
  /** Wall clock, as epoch time. */
  epochMs(): number;
}

/** The clocks of this process. */
export const RUNTIME_CLOCKS: Clocks = {
  monotonicMs: () => performance.now(),
  epochMs: () => Date.now(),
};

/** A reading of both clocks at the same moment. */
export interface ClockMark {
  /** Monotonic time of the reading, in milliseconds. */
  readonly atMs: number;
  /**
   * Whether the offset between the two clocks has changed since the reading.
   * Durations that the monotonic clock measured since then are not reliable.
   */
  hasDrifted(): boolean;
}

/**
 * Reads both clocks. While a process is suspended, its monotonic clock may stop;
 * the wall clock does not.
 *
 * @example
 * const mark = markClocks();
 * await renew();
 * if (mark.hasDrifted()) return; // the process may have been suspended
 */
export function markClocks(clocks: Clocks = RUNTIME_CLOCKS): ClockMark {
  const offset = () => clocks.epochMs() - clocks.monotonicMs();
  const initialOffsetMs = offset();
  return {
    atMs: clocks.monotonicMs(),
    hasDrifted: () => Math.abs(offset() - initialOffsetMs) > CLOCK_DRIFT_MS,
  };
}
