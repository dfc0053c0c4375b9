import {sha256, type Logger, type WorkspaceGrant} from '@chivewick/common';
import {digestOf, entriesOf, type Entries} from './entries.js';
import type {
  EntitlementsList,
  InvalidPair,
  ListName,
  ListSource,
  ListsSnapshot,
  ListVersions,
  PlansList,
} from './lists-api.js';
import {resolveGrants, type ResolvedGrants} from './resolve-grants.js';
import {checkEntitlements, checkPlans} from './schemas.js';
import {isAtLeast, isSame} from './versions.js';

/**
 * Pairs kept to compute deltas for peer hosts that are a few versions behind.
 */
const MAX_RECENT_PAIRS = 16;

/** Both lists as stored at one moment, not validated yet. */
export interface RawPair {
  readonly versions: ListVersions;
  readonly plans: unknown;
  readonly entitlements: unknown;
}

/** A valid pair with the data derived from it for this host and its peers. */
export interface HeldPair {
  readonly versions: ListVersions;
  readonly entries: Readonly<Record<ListName, Entries>>;
  readonly digest: string;
  readonly snapshot: ListsSnapshot;
  readonly source: ListSource;
}

/**
 * Outcome of offering a pair; `differs`: a peer has other content under the
 * same versions.
 */
export type OfferResult = 'adopted' | 'same' | 'differs' | 'older' | 'invalid';

/** The pair in effect on this host. */
export interface PairStore {
  current(): HeldPair | undefined;
  /** A recent pair by its versions, as the base of a delta. */
  recent(versions: ListVersions): HeldPair | undefined;
  /**
   * Validates a pair and adopts it if it is newer, or if the platform has other
   * content under the same versions.
   */
  offer(raw: RawPair, source: ListSource): OfferResult;
  /** Records and logs versions in the store that cannot be adopted. */
  reportInvalid(invalid: InvalidPair): void;
  invalid(): InvalidPair | undefined;
}

/**
 * Creates the store. Versions never decrease: a pair is adopted only if each of
 * its versions is at least the current one. Different content under the same
 * versions is adopted only from the platform itself.
 *
 * @example
 * const pairs = createPairStore({log, adopted: (after, before) => pushToPeers(after)});
 */
export function createPairStore(options: {
  readonly log: Logger;
  adopted(after: HeldPair, before: HeldPair | undefined): void;
}): PairStore {
  const {log} = options;
  const recentPairs: HeldPair[] = [];
  let current: HeldPair | undefined;
  let invalid: InvalidPair | undefined;

  function adopt(held: HeldPair): void {
    const before = current;
    current = held;
    recentPairs.push(held);
    if (recentPairs.length > MAX_RECENT_PAIRS) recentPairs.shift();
    if (invalid !== undefined && isAtLeast(held.versions, invalid.versions))
      invalid = undefined;
    const {versions, source} = held;
    log.event('listsAdopted', {versions, source});
    options.adopted(held, before);
  }

  function reportInvalid(report: InvalidPair): void {
    const alreadyReported =
      invalid !== undefined && isSame(report.versions, invalid.versions);
    invalid = report;
    if (!alreadyReported) log.event('listInvalid', {...report});
  }

  return {
    current: () => current,
    recent: versions =>
      recentPairs.find(held => isSame(held.versions, versions)),
    offer(raw, source) {
      if (current !== undefined) {
        if (!isAtLeast(raw.versions, current.versions)) return 'older';
        if (isSame(raw.versions, current.versions)) {
          if (digestOfPair(entriesOfPair(raw)) === current.digest)
            return 'same';
          if (source !== 'platform') return 'differs';
        }
      }
      const checked = resolvePair(raw, source);
      if ('faults' in checked) {
        reportInvalid({versions: raw.versions, faults: checked.faults});
        return 'invalid';
      }
      adopt(checked);
      return 'adopted';
    },
    reportInvalid,
    invalid: () => invalid,
  };
}

/**
 * Computes the digest of the content of both lists.
 *
 * @example
 * const matches = digestOfPair(entries) === push.digest;
 */
export function digestOfPair(entries: HeldPair['entries']): string {
  const both = digestOf(entries.plans) + digestOf(entries.entitlements);
  return sha256(both).slice(0, 16);
}

function entriesOfPair(raw: RawPair): HeldPair['entries'] {
  return {
    plans: entriesOf('plans', Object(raw.plans) as object),
    entitlements: entriesOf('entitlements', Object(raw.entitlements) as object),
  };
}

function resolvePair(
  raw: RawPair,
  source: ListSource,
): HeldPair | {faults: InvalidPair['faults']} {
  const plans = checkPlans(raw.plans);
  const entitlements = checkEntitlements(raw.entitlements);
  if (!plans.ok || !entitlements.ok) {
    const checks = [plans, entitlements];
    return {faults: checks.flatMap(check => (check.ok ? [] : check.faults))};
  }
  const resolved = resolveGrants(plans.value, entitlements.value);
  if (!resolved.ok) return {faults: resolved.faults};
  const entries = entriesOfPair(raw);
  const {versions} = raw;
  const snapshot = snapshotOf(
    versions,
    plans.value,
    entitlements.value,
    resolved.value,
  );
  const digest = digestOfPair(entries);
  return {versions, entries, digest, snapshot, source};
}

function snapshotOf(
  versions: ListVersions,
  plans: PlansList,
  entitlements: EntitlementsList,
  resolved: ResolvedGrants,
): ListsSnapshot {
  const {grants, models, services, keys} = resolved;
  return {
    versions,
    plans,
    entitlements,
    grants,
    models,
    services,
    grantOfKey(digest): WorkspaceGrant | undefined {
      const workspace = keys.get(digest);
      return workspace === undefined ? undefined : grants.get(workspace);
    },
  };
}
