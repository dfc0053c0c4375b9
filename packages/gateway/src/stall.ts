/** Longest silence before the first event that needs no look at the path. */
const FIRST_EVENT_MS = 250;
/** Silence between events that always passes without a look. */
const LEAST_SILENCE_MS = 80;
/** Silence that is unusual, as a multiple of the stream's own mean gap. */
const UNUSUAL_GAPS = 4;
/** Part of the pause that is still on time after which a look is due. */
const GOAL_PART = 0.7;

/**
 * Silence after which the path of a stream is examined, in milliseconds. A stage
 * that has died must be replaced before the pause is over which still counts as
 * on time; a pause that is usual at the stream's own pace needs no look.
 *
 * @param events number of events so far.
 * @param meanGapMs mean gap between them.
 * @param gapGoalMs longest pause that is on time.
 * @example
 * silenceBeforeLook(12, 25, 200); // 100
 */
export function silenceBeforeLook(
  events: number,
  meanGapMs: number,
  gapGoalMs: number,
): number {
  if (events === 0) return FIRST_EVENT_MS;
  const mostMs = Math.max(LEAST_SILENCE_MS, GOAL_PART * gapGoalMs);
  const unusualMs = UNUSUAL_GAPS * meanGapMs;
  return Math.min(mostMs, Math.max(LEAST_SILENCE_MS, unusualMs));
}
