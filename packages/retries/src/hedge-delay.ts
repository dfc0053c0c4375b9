import {build, type Histogram} from 'hdr-histogram-js';

/** Requests that take longer than this latency quantile are hedged. */
const QUANTILE = 0.95;
/** Samples per histogram; when it is full, the older histogram is dropped. */
const WINDOW_SIZE = 500;
/** Samples needed before the quantile is used; also its update interval. */
const MIN_SAMPLES = 50;
const US_PER_MS = 1000;

/** Delay before a request is hedged, derived from measured latencies. */
export interface HedgeDelay {
  /** Records the latency of a response, in milliseconds. */
  record(latencyMs: number): void;
  /** Delay in milliseconds; infinite until there are enough samples. */
  delayMs(): number;
}

/**
 * Creates the delay for one kind of lookup: by default the 95th percentile of the
 * last 500 to 1,000 latencies, so that about one request in twenty is sent twice.
 *
 * @example
 * const delay = createHedgeDelay();
 * delay.record(12.5);
 * setTimeout(sendBackup, delay.delayMs());
 */
export function createHedgeDelay(quantile = QUANTILE): HedgeDelay {
  let current: Histogram = build({useWebAssembly: false});
  let previous: Histogram | undefined;
  let quantileMs = Infinity;

  function refresh(): void {
    const merged = build({useWebAssembly: false});
    merged.add(current);
    if (previous !== undefined) merged.add(previous);
    if (merged.totalCount >= MIN_SAMPLES)
      quantileMs = merged.getValueAtPercentile(quantile * 100) / US_PER_MS;
  }

  return {
    record(latencyMs) {
      current.recordValue(Math.max(1, Math.round(latencyMs * US_PER_MS)));
      if (current.totalCount % MIN_SAMPLES === 0) refresh();
      if (current.totalCount < WINDOW_SIZE) return;
      previous = current;
      current = build({useWebAssembly: false});
    },
    delayMs: () => quantileMs,
  };
}
