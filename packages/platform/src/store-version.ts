/**
 * Versions of the store in one era. A store that counts a thousand changes a second
 * takes 30 years for them.
 */
const VERSIONS_PER_ERA = 1e12;
const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / VERSIONS_PER_ERA) - 1;

/**
 * Combines the era of the store and its version in that era. A store that is restored
 * from an older copy begins a new era, in which it gives out versions again. The result
 * increases with each write over all eras, so that it is compared, sent to other hosts
 * and expected by conditional writes as one number. Undefined if a part is out of range.
 *
 * @example
 * storeVersion(2, 560); // 2_000_000_000_560
 */
export function storeVersion(
  era: number,
  version: unknown,
): number | undefined {
  const isValid =
    isCount(era) &&
    era <= MAX_ERA &&
    isCount(version) &&
    version < VERSIONS_PER_ERA;
  return isValid ? era * VERSIONS_PER_ERA + version : undefined;
}

/**
 * The era of a version; 0 for a store that states none.
 *
 * @example
 * eraOf(2_000_000_000_560); // 2
 */
export function eraOf(version: number): number {
  return Math.floor(version / VERSIONS_PER_ERA);
}

/**
 * The version within its era.
 *
 * @example
 * versionInEra(2_000_000_000_560); // 560
 */
export function versionInEra(version: number): number {
  return version % VERSIONS_PER_ERA;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
