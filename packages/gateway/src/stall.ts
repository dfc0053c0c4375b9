/**
 * Silence (time without an event) before the first event, after which the path is
 * probed.
 */
const FIRST_EVENT_MS = 250;
/** Silence between events that never triggers a probe. */
const MIN_SILENCE_MS = 80;
/** Multiple of the stream's mean gap above which a silence is unusual. */
const UNUSUAL_GAP_FACTOR = 4;
/** Fraction of the gap goal after which a probe is always due. */
const GAP_GOAL_FRACTION = 0.7;
/**
 * Limit on the time for which a replacement is expected to read the prompt. The estimate may
 * be wrong, and a stream must not wait for longer on a replacement that is lost.
 */
const MAX_READ_MS = 3_000;

/**
 * Returns the silence after which the path of a stream is probed, in milliseconds. A
 * dead stage must be replaced before the gap exceeds the goal; a gap that is usual
 * for the stream needs no probe.
 *
 * @param events number of events so far.
 * @param meanGapMs mean gap between them.
 * @param gapGoalMs maximum gap that meets the goal.
 * @example
 * silenceBeforeProbeMs(12, 25, 200); // 100
 */
export function silenceBeforeProbeMs(
  events: number,
  meanGapMs: number,
  gapGoalMs: number,
): number {
  if (events === 0) return FIRST_EVENT_MS;
  const maxMs = Math.max(MIN_SILENCE_MS, GAP_GOAL_FRACTION * gapGoalMs);
  const unusualMs = UNUSUAL_GAP_FACTOR * meanGapMs;
  return Math.min(maxMs, Math.max(MIN_SILENCE_MS, unusualMs));
}

/**
 * Returns the silence after an accepted repair in which the replacement reads the
 * prompt, in milliseconds. To resume the stream elsewhere would read it once more.
 *
 * @example
 * silenceAfterRepairMs(4_000); // 3_000
 */
export function silenceAfterRepairMs(readMs: number): number {
  return Math.min(MAX_READ_MS, readMs);
}
