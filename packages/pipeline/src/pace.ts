/** Pace of a token stream, from which its stall limit is derived. */

/** Smoothed interval and deviation as in RFC 6298, section 2. */
export interface Pace {
  /** Adds an interval in milliseconds. */
  sample(intervalMs: number): void;
  /** Smoothed interval plus 4 times its deviation; undefined before a sample. */
  limitMs(): number | undefined;
  /** Smoothed interval in milliseconds; undefined before a sample. */
  intervalMs(): number | undefined;
  /** Creates an independent pace with the current values of this one. */
  copy(): Pace;
}

const INTERVAL_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATION_FACTOR = 4;

/**
 * Creates a pace, without samples unless `start` is given. Intervals that were
 * suspected as stalls must not be sampled (Karn and Partridge 1987), because a
 * slow stage would raise its own limit.
 *
 * @example
 * const pace = createPace();
 * pace.sample(12);
 * pace.limitMs(); // 36: the first deviation is half the interval
 */
export function createPace(
  start: {intervalMs: number; deviationMs: number} | undefined = undefined,
): Pace {
  let state = start && {...start};
  return {
    sample(intervalMs) {
      if (state === undefined) {
        state = {intervalMs, deviationMs: intervalMs / 2};
        return;
      }
      const error = intervalMs - state.intervalMs;
      state.deviationMs +=
        DEVIATION_GAIN * (Math.abs(error) - state.deviationMs);
      state.intervalMs += INTERVAL_GAIN * error;
    },
    intervalMs: () => state?.intervalMs,
    limitMs: () =>
      state && state.intervalMs + DEVIATION_FACTOR * state.deviationMs,
    copy: () => createPace(state),
  };
}
