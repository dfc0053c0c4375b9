import type {Logger} from '@chivewick/common';
import type {ObjectApi, StoredObject} from '@chivewick/platform';
import type {ListName, ListVersions} from './lists-api.js';
import type {OfferResult, PairStore} from './pair-store.js';
import type {ReadBudget} from './read-budget.js';
import {withTimeout} from './timing.js';
import {isAtLeast} from './versions.js';

const READ_TIMEOUT_MS = 3_000;

/**
 * Reads per attempt; a read beyond the third means that a list changed again.
 */
const MAX_READS = 8;

/** Outcome of reading both lists; `changing`: no consistent pair was read. */
export type ReadResult = OfferResult | 'unavailable' | 'absent' | 'changing';

/** Reads both lists as they were in the store at the same moment. */
export interface PlatformReader {
  /** Reads both lists and offers the pair. */
  refresh(): Promise<ReadResult>;
  /**
   * Reads the list that completes the pair of a changed one, and offers both.
   */
  completePair(list: ListName, object: StoredObject): Promise<ReadResult>;
  /** Highest version read from the store; a watch resumes from it. */
  highestVersion(): number;
  /** Versions in the store if they were lower than those in effect. */
  storeBehind(): ListVersions | undefined;
}

/**
 * Creates the reader. Two lists that were never in the store at the same time
 * must not be combined: hosts with different combinations, neither at least
 * the other, could not converge without decreasing a version. If one list has
 * version `v` and the other, read afterwards, has a version below `v`, both
 * were in the store at version `v`.
 *
 * @example
 * const reader = createPlatformReader({platform, pairs, budget, log, onResponse});
 * if ((await reader.refresh()) === 'unavailable') retryLater();
 */
export function createPlatformReader(options: {
  readonly platform: ObjectApi;
  readonly pairs: PairStore;
  readonly budget: ReadBudget;
  readonly log: Logger;
  /** Called after a response of the platform was processed. */
  onResponse(): void;
}): PlatformReader {
  const {platform, pairs, log} = options;
  let highestVersion = 0;
  let behind: ListVersions | undefined;
  let lastRead: Promise<unknown> = Promise.resolve();

  // Reads run one at a time, so that a later read sees what an earlier one
  // adopted.
  function serialize(task: () => Promise<ReadResult>): Promise<ReadResult> {
    const result = lastRead.then(task);
    lastRead = result.catch(() => undefined);
    return result;
  }

  async function read(
    found: Partial<Record<ListName, StoredObject>>,
  ): Promise<ReadResult> {
    for (let reads = 0; reads < MAX_READS; reads++) {
      const list = nextToRead(found);
      const response = await withTimeout(
        READ_TIMEOUT_MS,
        platform.get(`lists/${list}`),
      );
      if (response === undefined || !response.ok) return 'unavailable';
      if (response.value === undefined) return reportAbsent(list);
      const other = found[list === 'plans' ? 'entitlements' : 'plans'];
      found[list] = response.value;
      options.budget.spend(sizeOf(response.value));
      highestVersion = Math.max(highestVersion, response.value.version);
      if (other !== undefined && response.value.version < other.version)
        return offer(found as Record<ListName, StoredObject>);
    }
    return 'changing';
  }

  function offer(found: Record<ListName, StoredObject>): ReadResult {
    const {plans, entitlements} = found;
    const versions = {
      plans: plans.version,
      entitlements: entitlements.version,
    };
    const pair = {
      versions,
      plans: plans.value,
      entitlements: entitlements.value,
    };
    const offered = pairs.offer(pair, 'platform');
    options.onResponse();
    return offered;
  }

  // Versions in effect before both reads cannot be newer than the versions
  // read, unless the store was set back.
  function compareStore(
    {plans, entitlements}: Partial<Record<ListName, StoredObject>>,
    before: ListVersions,
  ): void {
    if (plans === undefined || entitlements === undefined) return;
    const versions = {
      plans: plans.version,
      entitlements: entitlements.version,
    };
    const wasBehind = behind !== undefined;
    behind = isAtLeast(versions, before) ? undefined : versions;
    if (behind !== undefined && !wasBehind)
      log.event('listStoreBehind', {versions, inEffect: before});
  }

  function reportAbsent(list: ListName): ReadResult {
    const message = `the store has no object lists/${list}`;
    const versions = {plans: 0, entitlements: 0};
    pairs.reportInvalid({versions, faults: [{list, key: '', message}]});
    options.onResponse();
    return 'absent';
  }

  return {
    refresh: () =>
      serialize(async () => {
        const before = pairs.current()?.versions;
        const found: Partial<Record<ListName, StoredObject>> = {};
        const result = await read(found);
        if (before !== undefined) compareStore(found, before);
        return result;
      }),
    completePair(list, object) {
      options.budget.spend(sizeOf(object));
      highestVersion = Math.max(highestVersion, object.version);
      return serialize(async () => {
        const inEffect = pairs.current()?.versions[list] ?? 0;
        if (object.version <= inEffect) return 'older';
        return read({[list]: object});
      });
    },
    highestVersion: () => highestVersion,
    storeBehind: () => behind,
  };
}

function sizeOf(object: StoredObject): number {
  return JSON.stringify(object).length;
}

function nextToRead(found: Partial<Record<ListName, StoredObject>>): ListName {
  const {plans, entitlements} = found;
  if (plans === undefined) return 'plans';
  if (entitlements === undefined) return 'entitlements';
  return plans.version < entitlements.version ? 'plans' : 'entitlements';
}
