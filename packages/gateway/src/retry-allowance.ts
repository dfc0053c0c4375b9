import type {ServiceName} from '@chivewick/common';
import {
  createWindowCounts,
  shareFraction,
  USABLE_RETRY_FRACTION,
  type Grantor,
  type RetryCount,
} from '@chivewick/coordination';

/** Limits this host's retries, per service, over a sliding window. */
export interface RetryAllowance {
  /** Counts a caller's request. */
  countRequest(service: ServiceName): void;
  /** Consumes one retry of this host's share; returns false if none is available. */
  take(service: ServiceName): boolean;
  /** Counts a retry that a coordinator has granted. */
  countGranted(service: ServiceName, grantor: Grantor): void;
  /** What the coordinators need to know of a service. */
  count(service: ServiceName): RetryCount;
}

/**
 * Creates this host's share of the retries that a service may receive: a ratio of
 * this host's own requests, plus an equal share of the extra retries. Without the
 * limit, every request would be sent twice when a whole service fails. The equal
 * share is small in the first window, because the previous processes on this host may
 * have used it already.
 *
 * @example
 * const allowance = createRetryAllowance({ratio: 0.2, extra: 200, windowMs: 10_000, shares: () => 9});
 * if (allowance.take(service)) await sendAgain();
 */
export function createRetryAllowance(options: {
  ratio: number;
  extra: number;
  windowMs: number;
  /** Number of equal shares of the extra retries, of which this is one. */
  shares: () => number;
  now?: () => number;
}): RetryAllowance {
  const {ratio, extra, windowMs, shares} = options;
  const now = options.now ?? (() => performance.now());
  const startMs = now();
  const requests = createWindowCounts<ServiceName>({windowMs, now});
  const retries = createWindowCounts<ServiceName>({windowMs, now});
  const granted = new Map<
    ServiceName,
    ReturnType<typeof createWindowCounts<Grantor>>
  >();

  const share = () => extra / Math.max(1, shares());

  return {
    countRequest: service => requests.add(service),
    take(service) {
      const usableShare = share() * shareFraction(now() - startMs, windowMs);
      const allowed =
        USABLE_RETRY_FRACTION * (ratio * requests.sum(service) + usableShare);
      if (retries.sum(service) + 1 > allowed) return false;
      retries.add(service);
      return true;
    },
    countGranted(service, grantor) {
      const counts =
        granted.get(service) ?? createWindowCounts<Grantor>({windowMs, now});
      granted.set(service, counts);
      counts.add(grantor);
    },
    count(service) {
      const counts = granted.get(service);
      return {
        service,
        requests: requests.sum(service),
        share: share(),
        granted: (counts?.keys() ?? []).map(grantor => ({
          grantor,
          retries: counts!.sum(grantor),
        })),
      };
    },
  };
}
