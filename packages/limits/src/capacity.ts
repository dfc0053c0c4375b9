import type {WorkspaceGrant} from '@chivewick/common';

/** An amount of a plan's capacity. */
export interface Capacity {
  /** Requests in progress. */
  readonly concurrency: number;
  /** Generated tokens per second. */
  readonly tokensPerSecond: number;
}

export const NO_CAPACITY: Capacity = {concurrency: 0, tokensPerSecond: 0};

type Combine = (a: number, b: number) => number;

/**
 * Combines two amounts per dimension.
 *
 * @example
 * const free = combine(limit, allocated, (a, b) => a - b);
 */
export function combine(a: Capacity, b: Capacity, fn: Combine): Capacity {
  return {
    concurrency: fn(a.concurrency, b.concurrency),
    tokensPerSecond: fn(a.tokensPerSecond, b.tokensPerSecond),
  };
}

export const add = (a: Capacity, b: Capacity) => combine(a, b, (x, y) => x + y);
export const subtract = (a: Capacity, b: Capacity) =>
  combine(a, b, (x, y) => x - y);
/** The minimum of two amounts per dimension. */
export const minCapacity = (a: Capacity, b: Capacity) =>
  combine(a, b, Math.min);
/** The maximum of two amounts per dimension. */
export const maxCapacity = (a: Capacity, b: Capacity) =>
  combine(a, b, Math.max);

/** Whether `a` is at least `b` in every dimension. */
export const covers = (a: Capacity, b: Capacity) =>
  a.concurrency >= b.concurrency && a.tokensPerSecond >= b.tokensPerSecond;

/**
 * Scales an amount by `to / from`, rounded down, in the dimensions where `to`
 * is smaller. Amounts that add up to at most `from` then add up to at most `to`.
 *
 * @example
 * scaleDown({concurrency: 3, tokensPerSecond: 100}, oldLimit, newLimit);
 */
export function scaleDown(
  amount: Capacity,
  from: Capacity,
  to: Capacity,
): Capacity {
  const factor = combine(to, from, (t, f) => (t < f ? t / f : 1));
  return combine(amount, factor, (value, by) =>
    by === 1 ? value : Math.floor(value * by),
  );
}

/**
 * Returns the smallest amount that `scaleDown` maps to at least `amount`.
 *
 * @example
 * const stored = scaleUp(needed, objectLimit, localLimit);
 */
export function scaleUp(
  amount: Capacity,
  from: Capacity,
  to: Capacity,
): Capacity {
  const factor = combine(to, from, (t, f) => (t > 0 && t < f ? f / t : 1));
  return combine(amount, factor, (value, by) => Math.ceil(value * by));
}

/**
 * Scales an amount so that its share of the limit is unchanged, rounded down.
 *
 * @example
 * const allocation = rescale(entry, oldLimit, newLimit);
 */
export function rescale(
  amount: Capacity,
  from: Capacity,
  to: Capacity,
): Capacity {
  const factor = combine(to, from, (t, f) => (f > 0 ? t / f : 0));
  return combine(amount, factor, (value, by) => Math.floor(value * by));
}

/**
 * Returns the limit that a grant sets, rounded down.
 *
 * @example
 * const {concurrency} = limitOf(grant);
 */
export function limitOf(grant: WorkspaceGrant | undefined): Capacity {
  if (grant === undefined) return NO_CAPACITY;
  return {
    concurrency: Math.floor(grant.concurrency),
    tokensPerSecond: Math.floor(grant.tokensPerSecond),
  };
}
