/** Number of buckets per window. */
const BUCKETS = 10;

/** Counts events by key over a sliding window. */
export interface WindowCounts<K extends string> {
  add(key: K): void;
  /** Events of the last window, and of up to a tenth of it before. */
  sum(key: K): number;
  /** Keys with events in the window. */
  keys(): K[];
}

interface Window {
  readonly counts: number[];
  bucket: number;
}

/**
 * Creates empty counts.
 *
 * @param options.windowMs length of the window, in milliseconds.
 * @param options.now monotonic clock, in milliseconds.
 * @example
 * const requests = createWindowCounts<ServiceName>({windowMs: 10_000, now});
 * requests.add(service);
 * requests.sum(service); // 1
 */
export function createWindowCounts<K extends string>(options: {
  readonly windowMs: number;
  readonly now: () => number;
}): WindowCounts<K> {
  const bucketMs = options.windowMs / BUCKETS;
  const windows = new Map<K, Window>();

  function advance(window: Window): void {
    const bucket = Math.floor(options.now() / bucketMs);
    const steps = Math.min(bucket - window.bucket, BUCKETS + 1);
    for (let step = 1; step <= steps; step++)
      window.counts[(window.bucket + step) % (BUCKETS + 1)] = 0;
    window.bucket = bucket;
  }

  function sum(key: K): number {
    const window = windows.get(key);
    if (window === undefined) return 0;
    advance(window);
    return window.counts.reduce((total, count) => total + count, 0);
  }

  return {
    add(key) {
      let window = windows.get(key);
      if (window === undefined) {
        window = {counts: new Array<number>(BUCKETS + 1).fill(0), bucket: 0};
        windows.set(key, window);
      }
      advance(window);
      window.counts[window.bucket % (BUCKETS + 1)] += 1;
    },
    sum,
    keys() {
      for (const key of windows.keys()) if (sum(key) === 0) windows.delete(key);
      return [...windows.keys()];
    },
  };
}
