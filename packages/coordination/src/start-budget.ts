import {rendezvousOrder, type EndpointId} from '@chivewick/common';
import {createTokenBucket, type TokenBucket} from '@chivewick/limits';

/**
 * Rate of an endpoint that states a limit of 0, in requests per second: without any
 * request, nothing would tell that the limit has ended.
 */
const MIN_PER_SECOND = 0.25;
/**
 * Holders of shares in a small limit: each may start one request at once, which
 * together must not exceed what the endpoint expects in a few seconds.
 */
const MIN_HOLDERS = 5;

/** Which requests may start on endpoints that have stated a limit. */
export interface StartBudget {
  /** Whether a request may start; does not count one. */
  isAvailable(endpoint: EndpointId): boolean;
  /** Counts a request that starts; returns false if none may. */
  take(endpoint: EndpointId): boolean;
}

/**
 * Creates one holder's budget. The limit of an endpoint is for all hosts together, and
 * is divided equally among the holders, so that no message is needed for a request.
 *
 * @param options.holders all that may send to the endpoint, this one included.
 * @param options.perSecond the stated limit; undefined if there is none.
 * @example
 * const budget = createStartBudget({self, holders: () => domains, perSecond});
 * if (budget.take(endpoint)) send();
 */
export function createStartBudget<T extends string>(options: {
  readonly self: T;
  readonly holders: () => readonly T[];
  readonly perSecond: (endpoint: EndpointId) => number | undefined;
}): StartBudget {
  const {self} = options;
  const buckets = new Map<EndpointId, TokenBucket>();

  /** This holder's part of a limit; with a small one, some holders have none. */
  function share(endpoint: EndpointId, perSecond: number): number {
    const rate = Math.max(MIN_PER_SECOND, perSecond);
    const holders = options.holders();
    const count = MIN_HOLDERS + Math.floor(rate);
    if (holders.length <= count) return rate / Math.max(1, holders.length);
    const entitled = rendezvousOrder(endpoint, holders).slice(0, count);
    return entitled.includes(self) ? rate / count : 0;
  }

  /** The bucket of a limited endpoint; undefined if it has no limit. */
  function bucketOf(endpoint: EndpointId): TokenBucket | undefined {
    const perSecond = options.perSecond(endpoint);
    if (perSecond === undefined) {
      buckets.delete(endpoint);
      return undefined;
    }
    let bucket = buckets.get(endpoint);
    if (bucket === undefined) {
      bucket = createTokenBucket();
      buckets.set(endpoint, bucket);
    }
    bucket.setRate(share(endpoint, perSecond));
    return bucket;
  }

  return {
    isAvailable: endpoint => (bucketOf(endpoint)?.waitMs() ?? 0) === 0,
    take: endpoint => bucketOf(endpoint)?.take(1) ?? true,
  };
}
