import type {EndpointId} from '@chivewick/common';
import {eraOf} from '@chivewick/platform';
import type {EndpointRecord} from './types.js';

/** Time for which removals are kept; an older copy is from some seconds before. */
const REMOVAL_TTL_MS = 60_000;
/**
 * Time for which an entry of a removed endpoint is not used. The store removes it after
 * three heartbeats if the endpoint has ended.
 */
const WITHHELD_MS = 5_000;

/** The removal of an endpoint's entry. */
interface Removal {
  readonly record: EndpointRecord;
  /** Version of the store at which the entry was missing. */
  readonly version: number;
  readonly atMs: number;
}

/**
 * What entries of endpoints have said, so that an older copy of which the store is
 * restored does not undo it.
 */
export interface EntryHistory {
  /**
   * Records the endpoints that have entries at a version of the store. Returns whether
   * it is the first listing since a restore.
   */
  listed(ids: ReadonlySet<EndpointId>, version: number): boolean;
  /** Records that an entry is missing at a version of the store. */
  removed(record: EndpointRecord, version: number): void;
  /** Whether an entry is older than the known one of the same endpoint. */
  isOutdated(entry: EndpointRecord, known: EndpointRecord): boolean;
  /**
   * Withholds an entry that may be from the copy, of an endpoint whose entry was removed:
   * `takeDue` returns it unless it is removed before. Returns whether it is withheld.
   */
  withhold(entry: EndpointRecord): boolean;
  /** Forgets the withheld entry of an endpoint. */
  drop(id: EndpointId): void;
  /** Withholds entries for longer, as the store reports no removals meanwhile. */
  postpone(): void;
  /** Withheld entries that have stayed for longer than those of ended endpoints do. */
  takeDue(): EndpointRecord[];
}

/**
 * Creates an empty history. The store orders the entries of an era; only one of a later
 * era may be older than what is known.
 *
 * @example
 * if (history.isOutdated(record, state.record)) return;
 */
export function createEntryHistory(now: () => number): EntryHistory {
  /** Version of the first listing of the current era. */
  let restoredAt = 0;
  const removals = new Map<EndpointId, Removal>();
  const withheld = new Map<
    EndpointId,
    {readonly record: EndpointRecord; readonly untilMs: number}
  >();

  /** Whether the store may have had the entry when it was restored after a version. */
  const mayBeFromCopy = ({storeVersion}: EndpointRecord, version: number) =>
    storeVersion <= restoredAt && eraOf(storeVersion) > eraOf(version);

  /** Removals are in the order of their times. */
  function forgetOld(): void {
    for (const [id, {atMs}] of removals) {
      if (now() - atMs <= REMOVAL_TTL_MS) return;
      removals.delete(id);
    }
  }

  /**
   * Writes that change nothing else are not reported, so that the copy may have a higher
   * number of them than the entry that was seen last.
   */
  function undoesRemoval(entry: EndpointRecord): boolean {
    const removal = removals.get(entry.id);
    return (
      removal !== undefined &&
      mayBeFromCopy(entry, removal.version) &&
      entry.startedAtMs <= removal.record.startedAtMs
    );
  }

  return {
    listed(ids, version) {
      for (const id of withheld.keys()) if (!ids.has(id)) withheld.delete(id);
      const isRestored = eraOf(version) > eraOf(restoredAt);
      if (isRestored) restoredAt = version;
      return isRestored;
    },
    removed(record, version) {
      forgetOld();
      removals.delete(record.id);
      removals.set(record.id, {record, version, atMs: now()});
    },
    isOutdated(entry, known) {
      if (!mayBeFromCopy(entry, known.storeVersion)) return false;
      return entry.startedAtMs === known.startedAtMs
        ? entry.writes < known.writes
        : entry.startedAtMs < known.startedAtMs;
    },
    withhold(entry) {
      if (!undoesRemoval(entry)) {
        withheld.delete(entry.id);
        return false;
      }
      const untilMs = withheld.get(entry.id)?.untilMs ?? now() + WITHHELD_MS;
      withheld.set(entry.id, {record: entry, untilMs});
      return true;
    },
    drop: id => void withheld.delete(id),
    postpone() {
      const untilMs = now() + WITHHELD_MS;
      for (const [id, {record}] of withheld)
        withheld.set(id, {record, untilMs});
    },
    takeDue() {
      if (withheld.size === 0) return [];
      const due = [...withheld.values()].filter(item => now() > item.untilMs);
      for (const {record} of due) {
        withheld.delete(record.id);
        removals.delete(record.id);
      }
      return due.map(({record}) => record);
    },
  };
}
