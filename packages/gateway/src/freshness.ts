/**
 * Difference between two readings of (time of day - steady clock) that shows
 * that the process stood still or the time of day was set; larger than the
 * rounding of both clocks and than a slewed correction within seconds.
 */
const CLOCK_DRIFT_MS = 150;

/** How old the confirmed knowledge of the configuration is. */
export interface Freshness {
  /** Takes the clocks before a poll; the result confirms its answer. */
  poll(): (waitedMs: number) => void;
  /** Age of the last confirmed state, in milliseconds; infinite if unknown. */
  ageMs(): number;
}

/**
 * Tracks when the store last confirmed what this host knows. The steady clock
 * does not count time in which a process is suspended, so a confirmation is
 * void when the time of day has moved against the steady clock since its poll
 * was sent.
 *
 * @example
 * const heard = freshness.poll();
 * await changes(...);
 * heard(2_000); // nothing changed until 2 s after the poll was sent
 */
export function createFreshness(
  now: () => number = () => performance.now(),
  timeOfDay: () => number = () => Date.now(),
): Freshness {
  let confirmed: {atMs: number; offsetMs: number} | undefined;
  const offset = () => timeOfDay() - now();
  const moved = (offsetMs: number) =>
    Math.abs(offset() - offsetMs) > CLOCK_DRIFT_MS;
  return {
    poll() {
      const sentMs = now();
      const offsetMs = offset();
      return waitedMs => {
        if (moved(offsetMs)) return;
        const atMs = Math.min(sentMs + waitedMs, now());
        confirmed = {atMs, offsetMs};
      };
    },
    ageMs() {
      if (confirmed === undefined || moved(confirmed.offsetMs)) return Infinity;
      return now() - confirmed.atMs;
    },
  };
}
