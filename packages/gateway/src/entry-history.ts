import type {EndpointId} from '@chivewick/common';
import {eraOf} from '@chivewick/platform';
import type {EndpointRecord} from './types.js';

/**
 * Time for which removals are kept. A store is restored from a copy that is some seconds
 * old, and may be away for about as long.
 */
const REMOVAL_TTL_MS = 60_000;
/**
 * Time for which an entry of a removed endpoint is not used. The store removes it after
 * three heartbeats of about a second if the endpoint has ended.
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
  /** Records the endpoints that have entries at a version of the store. */
  listed(ids: ReadonlySet<EndpointId>, version: number): void;
  /** Records that an entry is missing at a version of the store. */
  removed(record: EndpointRecord, version: number): void;
  /** Whether an entry is older than the known one of the same endpoint. */
  isOutdated(entry: EndpointRecord, known: EndpointRecord): boolean;
  /**
   * Whether the entry of an endpoint whose entry was removed may be from the copy. It is
   * then withheld: returned by `takeDue` unless it is removed before.
   */
  withholds(entry: EndpointRecord): boolean;
  /** Forgets the withheld entry of an endpoint. */
  drop(id: EndpointId): void;
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

  const isOfLaterEra = (entry: EndpointRecord, version: number) =>
    eraOf(entry.storeVersion) > eraOf(version);
  /** Whether the store may have had the entry when it was restored. */
  const mayBeFromCopy = ({storeVersion}: EndpointRecord) =>
    storeVersion <= restoredAt;

  /** Removals are in the order of their times. */
  function forgetOld(): void {
    for (const [id, {atMs}] of removals) {
      if (now() - atMs <= REMOVAL_TTL_MS) return;
      removals.delete(id);
    }
  }

  function undoesRemoval(entry: EndpointRecord): boolean {
    const removal = removals.get(entry.id);
    if (removal === undefined || !isOfLaterEra(entry, removal.version))
      return false;
    const {startedAtMs, writes} = removal.record;
    const isSameRun = entry.startedAtMs === startedAtMs;
    // Writes that change nothing else are not reported, so that the copy may have a
    // higher number than the entry that was seen last.
    if (mayBeFromCopy(entry)) return entry.startedAtMs <= startedAtMs;
    return isSameRun && entry.writes < writes;
  }

  return {
    listed(ids, version) {
      if (eraOf(version) > eraOf(restoredAt)) restoredAt = version;
      for (const id of withheld.keys()) if (!ids.has(id)) withheld.delete(id);
    },
    removed(record, version) {
      forgetOld();
      removals.delete(record.id);
      removals.set(record.id, {record, version, atMs: now()});
    },
    isOutdated(entry, known) {
      if (!isOfLaterEra(entry, known.storeVersion)) return false;
      return entry.startedAtMs === known.startedAtMs
        ? entry.writes < known.writes
        : mayBeFromCopy(entry) && entry.startedAtMs < known.startedAtMs;
    },
    withholds(entry) {
      if (!undoesRemoval(entry)) {
        withheld.delete(entry.id);
        return false;
      }
      const untilMs = withheld.get(entry.id)?.untilMs ?? now() + WITHHELD_MS;
      withheld.set(entry.id, {record: entry, untilMs});
      return true;
    },
    drop: id => void withheld.delete(id),
    takeDue() {
      const due = [...withheld.values()].filter(item => now() > item.untilMs);
      for (const {record} of due) {
        withheld.delete(record.id);
        removals.delete(record.id);
      }
      return due.map(({record}) => record);
    },
  };
}
