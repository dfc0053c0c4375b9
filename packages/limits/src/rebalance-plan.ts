import {
  add,
  maxCapacity,
  NO_CAPACITY,
  scaleUp,
  minCapacity,
  subtract,
  type Capacity,
} from './capacity.js';
import {
  allocated,
  holderKey,
  type Allocation,
  type Holder,
  type LimitsObject,
} from './limits-object.js';

/** The capacity that one host requests in a round. */
export interface CapacityRequest {
  readonly holder: Holder;
  readonly target: Capacity;
  /** Whether capacity that is idle only briefly counts as idle. */
  readonly urgent: boolean;
  /** The `touch` that the holder's entry must reach. */
  readonly touch: number;
  readonly limit: Capacity;
  /** Newest version of the object that the host has seen. */
  readonly version: number;
  /** Requests in progress above the host's allocation in that version. */
  readonly draining: number;
}

/** A holder to reclaim from and the amount to take. */
export interface PlannedReclaim {
  readonly allocation: Allocation;
  readonly take: Capacity;
}

/**
 * Returns the capacity that a request still needs, in units of the object's
 * limit.
 *
 * @example
 * const missing = missingCapacity(object, request);
 */
export function missingCapacity(
  object: LimitsObject,
  request: CapacityRequest,
): Capacity {
  const wanted = scaleUp(request.target, object.limit, request.limit);
  const held = object.allocations[holderKey(request.holder)] ?? NO_CAPACITY;
  return maxCapacity(
    subtract(minCapacity(wanted, object.limit), held),
    NO_CAPACITY,
  );
}

/**
 * Returns the capacity that must be reclaimed to satisfy all requests.
 *
 * @example
 * const missing = capacityToReclaim(object, requests);
 */
export function capacityToReclaim(
  object: LimitsObject,
  requests: readonly CapacityRequest[],
): Capacity {
  const totalMissing = requests
    .map(request => missingCapacity(object, request))
    .reduce(add, NO_CAPACITY);
  const free = subtract(object.limit, allocated(object));
  return maxCapacity(subtract(totalMissing, free), NO_CAPACITY);
}

/**
 * Divides the missing capacity among holders in proportion to their estimated
 * idle allowance. Starts with the most useful holders and uses as few as cover
 * it.
 *
 * @param idle returns the estimated idle allowance of a holder.
 * @param maxHolders maximum number of holders to ask at once.
 * @example
 * const takes = planReclaims(missing, candidates, idleOf, 16);
 */
export function planReclaims(
  missing: Capacity,
  candidates: readonly Allocation[],
  idle: (allocation: Allocation) => Capacity,
  maxHolders: number,
): PlannedReclaim[] {
  const usefulOf = (amount: Capacity) => minCapacity(amount, missing);
  const usefulShare = (allocation: Allocation) => {
    const useful = usefulOf(idle(allocation));
    return (
      useful.concurrency / Math.max(1, missing.concurrency) +
      useful.tokensPerSecond / Math.max(1, missing.tokensPerSecond)
    );
  };
  const chosen: Allocation[] = [];
  let covered = NO_CAPACITY;
  const sorted = candidates
    .filter(allocation => usefulShare(allocation) > 0)
    .sort((a, b) => usefulShare(b) - usefulShare(a));
  for (const allocation of sorted) {
    const remaining = maxCapacity(subtract(missing, covered), NO_CAPACITY);
    if (remaining.concurrency === 0 && remaining.tokensPerSecond === 0) break;
    if (chosen.length >= maxHolders) break;
    chosen.push(allocation);
    covered = add(covered, idle(allocation));
  }
  return chosen.map(allocation => ({
    allocation,
    take: proportionalTake(missing, idle(allocation), covered),
  }));
}

function proportionalTake(
  missing: Capacity,
  idle: Capacity,
  covered: Capacity,
) {
  const scale = (needed: number, own: number, all: number) =>
    all <= needed ? own : Math.ceil((needed * own) / Math.max(1, all));
  return {
    concurrency: scale(
      missing.concurrency,
      idle.concurrency,
      covered.concurrency,
    ),
    tokensPerSecond: scale(
      missing.tokensPerSecond,
      idle.tokensPerSecond,
      covered.tokensPerSecond,
    ),
  };
}

/**
 * Grants free capacity to the requests. Each gets its missing capacity, reduced
 * in proportion if there isn't enough. Remaining free capacity raises each
 * requesting host to an equal share of the limit among the live hosts, so that
 * a host doesn't have to ask again for each request it serves.
 *
 * @example
 * const next = grantRequests(lowered, requests, liveHosts.length);
 */
export function grantRequests(
  object: LimitsObject,
  requests: readonly CapacityRequest[],
  hosts: number,
): LimitsObject {
  const allocations = {...object.allocations};
  let free = maxCapacity(
    subtract(object.limit, allocated(object)),
    NO_CAPACITY,
  );
  const grant = (request: CapacityRequest, amount: Capacity) => {
    const key = holderKey(request.holder);
    const held = allocations[key];
    const given = maxCapacity(minCapacity(amount, free), NO_CAPACITY);
    free = subtract(free, given);
    allocations[key] = {
      host: request.holder.host,
      incarnation: request.holder.incarnation,
      draining: held?.draining ?? 0,
      touch: Math.max(held?.touch ?? 0, request.touch),
      ...add(held ?? NO_CAPACITY, given),
    };
  };
  const missing = requests.map(request => missingCapacity(object, request));
  const totalMissing = missing.reduce(add, NO_CAPACITY);
  const budget = free;
  requests.forEach((request, i) =>
    grant(request, proportionalGrant(budget, missing[i], totalMissing)),
  );
  const current = () => ({...object, allocations});
  requests.forEach((request, i) =>
    grant(
      request,
      minCapacity(missingCapacity(current(), request), missing[i]),
    ),
  );
  const share = (limit: number) => Math.floor(limit / Math.max(1, hosts));
  const equalShare = {
    concurrency: share(object.limit.concurrency),
    tokensPerSecond: share(object.limit.tokensPerSecond),
  };
  for (const request of requests) {
    const held = allocations[holderKey(request.holder)] ?? NO_CAPACITY;
    grant(request, maxCapacity(subtract(equalShare, held), NO_CAPACITY));
  }
  return current();
}

function proportionalGrant(
  free: Capacity,
  missing: Capacity,
  totalMissing: Capacity,
): Capacity {
  const scale = (budget: number, own: number, all: number) =>
    all <= budget ? own : Math.floor((budget * own) / Math.max(1, all));
  return {
    concurrency: scale(
      free.concurrency,
      missing.concurrency,
      totalMissing.concurrency,
    ),
    tokensPerSecond: scale(
      free.tokensPerSecond,
      missing.tokensPerSecond,
      totalMissing.tokensPerSecond,
    ),
  };
}
