import type {ServiceName} from '@chivewick/common';

/** Buckets that a window is counted in. */
const BUCKETS = 10;
/** Part of the allowance that is used, as the hosts' counts are not exact. */
const USED_PART = 0.8;

/** Second sends of this host, by service, over a sliding window. */
export interface RetryAllowance {
  /** Counts a request of a caller. */
  requested(service: ServiceName): void;
  /** Whether one more send could be taken now. */
  hasOne(service: ServiceName): boolean;
  /** Takes one more send of the same request; false when there is none. */
  take(service: ServiceName): boolean;
}

interface Window {
  readonly requests: number[];
  readonly retries: number[];
  bucket: number;
}

/**
 * Creates this host's share of the retries that a service may get: a ratio of
 * this host's own requests, and an equal share of what is allowed beyond that.
 * Answers a service that fails as a whole, where every request would be sent
 * twice. The equal share grows over the first window: the process before this one
 * may have used its own up.
 *
 * @example
 * const allowance = createRetryAllowance({ratio: 0.2, extra: 200, windowMs: 10_000, hosts: () => 9});
 * if (allowance.take(service)) await sendAgain();
 */
export function createRetryAllowance(options: {
  ratio: number;
  extra: number;
  windowMs: number;
  /** Hosts that share the extra part. */
  hosts: () => number;
  now?: () => number;
}): RetryAllowance {
  const {ratio, extra, hosts} = options;
  const now = options.now ?? (() => performance.now());
  const bucketMs = options.windowMs / BUCKETS;
  const windows = new Map<ServiceName, Window>();
  const startMs = now();

  function windowOf(service: ServiceName): Window {
    const bucket = Math.floor(now() / bucketMs);
    let window = windows.get(service);
    if (window === undefined) {
      const zeros = () => new Array<number>(BUCKETS + 1).fill(0);
      window = {requests: zeros(), retries: zeros(), bucket};
      windows.set(service, window);
    }
    const steps = Math.min(bucket - window.bucket, BUCKETS + 1);
    for (let step = 1; step <= steps; step++) {
      const index = (window.bucket + step) % (BUCKETS + 1);
      window.requests[index] = 0;
      window.retries[index] = 0;
    }
    window.bucket = bucket;
    return window;
  }

  const sum = (counts: readonly number[]) =>
    counts.reduce((total, count) => total + count, 0);

  return {
    requested(service) {
      const window = windowOf(service);
      window.requests[window.bucket % (BUCKETS + 1)] += 1;
    },
    hasOne,
    take(service) {
      if (!hasOne(service)) return false;
      const window = windowOf(service);
      window.retries[window.bucket % (BUCKETS + 1)] += 1;
      return true;
    },
  };

  function hasOne(service: ServiceName): boolean {
    const window = windowOf(service);
    const grown = Math.min(1, (now() - startMs) / options.windowMs);
    const share = (grown * extra) / Math.max(1, hosts());
    const allowed = USED_PART * (ratio * sum(window.requests) + share);
    return sum(window.retries) + 1 <= allowed;
  }
}
