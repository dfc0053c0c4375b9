import {pause, hash32} from '@chivewick/common';
import type {ObjectApi} from '@chivewick/platform';
import {
  partitionKey,
  type Entry,
  type SegmentRef,
  type SegmentValue,
} from './record.js';
import {backoffMs} from './timing.js';

/** Sealed entries of a partition: id hashes in memory, entries in the platform. */
export interface Segments {
  refs(): readonly SegmentRef[];
  /** Adds a segment whose object has been written. */
  add(ref: SegmentRef, ids: Iterable<string>): void;
  /**
   * Removes segments whose newest entry is older than `before`, an epoch time in
   * milliseconds; returns their names.
   */
  expire(before: number): string[];
  /** False if no segment contains the id; true if one may. */
  mayContain(id: string): boolean;
  /** Reads the newest entry of an id; undefined if no segment contains it. */
  find(id: string): Promise<Entry | undefined>;
}

const MAX_CONCURRENT_LOADS = 8;

/**
 * Loads the id hashes of a partition's segments, 8 bytes per sealed entry.
 * Retries failed reads until the signal aborts, then throws.
 *
 * @example
 * const segments = await loadSegments(platform, 3, value.segments, closing.signal);
 */
export async function loadSegments(
  platform: ObjectApi,
  partition: number,
  refs: readonly SegmentRef[],
  signal: AbortSignal,
): Promise<Segments> {
  const hashes = new Map<string, Float64Array>();
  const activeRefs: SegmentRef[] = [...refs];
  const queue = [...refs];
  const load = async () => {
    for (let ref = queue.pop(); ref !== undefined; ref = queue.pop()) {
      const value = await readSegment(platform, partition, ref.name, signal);
      hashes.set(ref.name, hashIds(value.entries.map(([id]) => id)));
    }
  };
  await Promise.all(Array.from({length: MAX_CONCURRENT_LOADS}, load));
  const candidates = (id: string) => {
    const hash = hash53(id);
    return activeRefs.filter(ref => sortedIncludes(hashes.get(ref.name), hash));
  };
  return {
    refs: () => activeRefs,
    add(ref, ids) {
      activeRefs.push(ref);
      hashes.set(ref.name, hashIds(ids));
    },
    expire(before) {
      const expiredRefs = activeRefs.filter(ref => ref.newest < before);
      for (const ref of expiredRefs) {
        activeRefs.splice(activeRefs.indexOf(ref), 1);
        hashes.delete(ref.name);
      }
      return expiredRefs.map(ref => ref.name);
    },
    mayContain: id => candidates(id).length > 0,
    async find(id) {
      for (const ref of candidates(id).reverse()) {
        const value = await readSegment(platform, partition, ref.name, signal);
        const found = value.entries.find(([entryId]) => entryId === id);
        if (found !== undefined) return found[1];
      }
      return undefined;
    },
  };
}

/**
 * Object key of a segment.
 *
 * @example
 * segmentKey(3, '7-1'); // 'ledger/3/segment/7-1'
 */
export function segmentKey(partition: number, name: string): string {
  return `${partitionKey(partition)}/segment/${name}`;
}

async function readSegment(
  platform: ObjectApi,
  partition: number,
  name: string,
  signal: AbortSignal,
): Promise<SegmentValue> {
  for (let attempt = 0; !signal.aborted; attempt++) {
    const read = await platform.get(segmentKey(partition, name));
    if (read.ok && read.value !== undefined)
      return read.value.value as SegmentValue;
    // A listed segment that is absent has expired and was removed by a later
    // owner. That owner's takeover already prevents writes by this host.
    if (read.ok) return {entries: []};
    await pause(backoffMs(attempt), signal);
  }
  throw new Error('ledger was closed');
}

function hashIds(ids: Iterable<string>): Float64Array {
  return Float64Array.from(ids, hash53).sort();
}

/** Combines two 32-bit hashes into 53 bits, which a float64 holds exactly. */
function hash53(id: string): number {
  return hash32(id, 1) * 2 ** 21 + (hash32(id, 2) >>> 11);
}

function sortedIncludes(
  sorted: Float64Array | undefined,
  hash: number,
): boolean {
  if (sorted === undefined) return false;
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (sorted[middle] < hash) low = middle + 1;
    else high = middle;
  }
  return sorted[low] === hash;
}
