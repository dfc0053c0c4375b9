/** Longest silence before the first event that needs no look at the engine. */
const FIRST_EVENT_MS = 800;
/** Silence between events that needs a look: between these two bounds. */
const LEAST_SILENCE_MS = 250;
const MOST_SILENCE_MS = 700;
/** Silence that is unusual, as a multiple of the stream's own mean gap. */
const UNUSUAL_GAPS = 6;

/**
 * Silence after which the path of a stream is examined, in milliseconds. Callers
 * give up after two seconds, and a repair has to read the tokens so far again,
 * so the look comes well before that, yet not for a pause that is usual at the
 * stream's own pace.
 *
 * @param events number of events so far.
 * @param meanGapMs mean gap between them.
 * @example
 * silenceBeforeLook(12, 40); // 250
 */
export function silenceBeforeLook(events: number, meanGapMs: number): number {
  if (events === 0) return FIRST_EVENT_MS;
  const unusualMs = UNUSUAL_GAPS * meanGapMs;
  return Math.min(MOST_SILENCE_MS, Math.max(LEAST_SILENCE_MS, unusualMs));
}
