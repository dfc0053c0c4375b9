import type {LedgerSettings} from './options.js';
import {entryBytes, withoutBody, type Entry} from './record.js';

/** The entries of one partition object and their total size. */
export interface EntryTable {
  get(id: string): Entry | undefined;
  /**
   * Adds or replaces an entry; false if it does not fit until others are
   * sealed. If nothing can be sealed, the response body is dropped to make it
   * fit.
   */
  apply(id: string, entry: Entry): boolean;
  remove(id: string): void;
  /** Removes entries older than `before`, an epoch time in milliseconds. */
  expire(before: number): void;
  /**
   * Entries to seal before `incoming` is applied, oldest first; empty while
   * there is room.
   */
  toSeal(
    incoming: readonly {readonly id: string; readonly entry: Entry}[],
  ): [string, Entry][];
  list(): [string, Entry][];
  size(): number;
  bytes(): number;
  /** Bytes of entries without an outcome. */
  unfinishedBytes(): number;
}

/**
 * While the object is not full, sealing is postponed until the segment would
 * reach this share of `sealBytes`, so that a partition full of unfinished calls
 * produces no small segments.
 */
const MIN_SEGMENT_SHARE = 0.25;

/**
 * Creates the table from the entries of a partition object.
 *
 * @example
 * const table = createEntryTable(value.entries, term, settings);
 */
export function createEntryTable(
  initial: readonly (readonly [string, Entry])[],
  term: number,
  settings: LedgerSettings,
): EntryTable {
  const {maxObjectBytes, sealBytes} = settings;
  const entries = new Map<string, Entry>();
  const sizes = new Map<string, number>();
  let bytes = 0;
  let unfinishedBytes = 0;
  const addToTotals = (id: string, sign: 1 | -1) => {
    const size = sizes.get(id) ?? 0;
    bytes += sign * size;
    if (entries.get(id)?.outcome === undefined) unfinishedBytes += sign * size;
  };
  const remove = (id: string) => {
    addToTotals(id, -1);
    sizes.delete(id);
    entries.delete(id);
  };
  const put = (id: string, entry: Entry, size: number) => {
    addToTotals(id, -1);
    sizes.set(id, size);
    entries.set(id, entry);
    addToTotals(id, 1);
  };
  for (const [id, entry] of initial) put(id, entry, entryBytes(id, entry));

  const sizeAfter = (id: string, size: number) =>
    bytes + size - (sizes.get(id) ?? 0);
  const isOfCurrentTerm = (entry: Entry) => entry.intent.startsWith(`${term}.`);
  /** Finished entries or, if there are none, intents of earlier terms. */
  const sealable = () => {
    const all = [...entries];
    const finished = all.filter(([, entry]) => entry.outcome !== undefined);
    if (finished.length > 0) return finished;
    return all.filter(([, entry]) => !isOfCurrentTerm(entry));
  };

  return {
    get: id => entries.get(id),
    apply(id, entry) {
      const size = entryBytes(id, entry);
      if (sizeAfter(id, size) <= maxObjectBytes) {
        put(id, entry, size);
        return true;
      }
      if (sealable().length > 0 || entry.outcome === undefined) return false;
      const reduced = {...entry, outcome: withoutBody(entry.outcome)};
      put(id, reduced, entryBytes(id, reduced));
      return true;
    },
    remove,
    expire(before) {
      // Entries are ordered by the time of their intents, except retried keys.
      for (const [id, entry] of entries) {
        if (entry.at >= before) break;
        remove(id);
      }
    },
    toSeal(incoming) {
      const incomingBytes = incoming.reduce(
        (sum, {id, entry}) => sum + entryBytes(id, entry),
        0,
      );
      if (bytes + incomingBytes <= sealBytes) return [];
      const sealing: [string, Entry][] = [];
      let sealingBytes = 0;
      for (const [id, entry] of sealable()) {
        const size = sizes.get(id) ?? 0;
        if (sealing.length > 0 && sealingBytes + size > sealBytes) break;
        sealing.push([id, entry]);
        sealingBytes += size;
      }
      const isFull = bytes + incomingBytes > maxObjectBytes;
      return isFull || sealingBytes >= sealBytes * MIN_SEGMENT_SHARE
        ? sealing
        : [];
    },
    list: () => [...entries],
    size: () => entries.size,
    bytes: () => bytes,
    unfinishedBytes: () => unfinishedBytes,
  };
}
