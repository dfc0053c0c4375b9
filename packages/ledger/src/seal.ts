import {pause} from '@chivewick/common';
import type {WriteContext} from './conditional-write.js';
import type {Entry, SegmentRef, SegmentValue} from './record.js';
import {segmentKey} from './segments.js';
import {backoffMs} from './timing.js';

/**
 * Writes entries to a segment object. The name contains the owner's term, so no
 * other host ever writes the same object, and a conflict means that an earlier
 * attempt took effect. Returns undefined if the ledger was closed.
 *
 * @example
 * const ref = await sealOldest(context, 3, '7-1', entries);
 */
export async function sealOldest(
  context: WriteContext,
  partition: number,
  name: string,
  entries: readonly [string, Entry][],
): Promise<SegmentRef | undefined> {
  const {platform, budget, log, signal} = context;
  const value: SegmentValue = {entries};
  for (let attempt = 0; !signal.aborted; attempt++) {
    await budget.take();
    const outcome = await platform.put(
      segmentKey(partition, name),
      value,
      'absent',
    );
    if (outcome.kind !== 'unknown') {
      const newest = Math.max(...entries.map(([, entry]) => entry.at));
      log.event('segmentSealed', {partition, name, entries: entries.length});
      return {name, newest};
    }
    const {message} = outcome;
    log.event('ledgerWriteUnresolved', {partition, attempt, message});
    await pause(backoffMs(attempt), signal);
  }
  return undefined;
}
