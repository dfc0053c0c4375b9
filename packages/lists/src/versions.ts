import type {ListVersions} from './lists-api.js';

/**
 * Whether each version of `a` is at least that of `b`.
 *
 * @example
 * isAtLeast({plans: 7, entitlements: 4}, {plans: 5, entitlements: 4}); // true
 */
export function isAtLeast(a: ListVersions, b: ListVersions): boolean {
  return a.plans >= b.plans && a.entitlements >= b.entitlements;
}

/**
 * Whether both pairs of versions are equal.
 *
 * @example
 * isSame(held.versions, push.from);
 */
export function isSame(a: ListVersions, b: ListVersions): boolean {
  return a.plans === b.plans && a.entitlements === b.entitlements;
}

/**
 * Whether `a` is a later state of the store than `b`. Versions increase across
 * the whole store, so the later pair has the higher maximum.
 *
 * @example
 * if (isNewer(peer, held.versions)) fetchFrom(host);
 */
export function isNewer(a: ListVersions, b: ListVersions): boolean {
  return isAtLeast(a, b) && !isSame(a, b);
}
