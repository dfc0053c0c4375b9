import {pause} from '@chivewick/common';
import type {HostId, Logger} from '@chivewick/common';
import type {
  ExpectedVersion,
  ObjectApi,
  StoredObject,
} from '@chivewick/platform';
import {partitionKey, type PartitionValue} from './record.js';
import {backoffMs} from './timing.js';
import type {WriteBudget} from './write-budget.js';

/** The result of a write, known even if a response was lost. */
export type WriteResult =
  | {readonly kind: 'written'; readonly version: number}
  /** Another writer changed the object; `current` is its value. */
  | {readonly kind: 'lost'; readonly current?: PartitionValue}
  | {readonly kind: 'closed'};

/** Dependencies of writes to the platform. */
export interface WriteContext {
  readonly self: HostId;
  readonly platform: ObjectApi;
  readonly budget: WriteBudget;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/**
 * Writes a partition object if its version is still the expected one. A write
 * without a response is repeated unchanged: only one of the copies can take
 * effect, and after a conflict the write id shows whether it was this write.
 * The caller takes the first write from the budget before it builds the value.
 *
 * @example
 * const result = await writePartition(context, 3, value, version);
 */
export async function writePartition(
  context: WriteContext,
  partition: number,
  value: PartitionValue,
  expected: ExpectedVersion,
): Promise<WriteResult> {
  const {platform, budget, log, signal} = context;
  const key = partitionKey(partition);
  for (let attempt = 0; !signal.aborted; attempt++) {
    if (attempt > 0) await budget.take();
    if (signal.aborted) break;
    const outcome = await platform.put(key, value, expected);
    if (outcome.kind === 'written') return outcome;
    if (outcome.kind === 'conflict') {
      const current = await readPartition(context, partition);
      if (current === 'closed') break;
      if (current?.value.writeId === value.writeId)
        return {kind: 'written', version: current.version};
      return {kind: 'lost', current: current?.value};
    }
    const {message} = outcome;
    log.event('ledgerWriteUnresolved', {partition, attempt, message});
    await pause(backoffMs(attempt), signal);
  }
  return {kind: 'closed'};
}

/**
 * Reads a partition object, retrying until the platform responds or the signal
 * aborts.
 *
 * @example
 * const current = await readPartition(context, 3);
 */
export async function readPartition(
  context: Pick<WriteContext, 'platform' | 'signal'>,
  partition: number,
): Promise<StoredObject<PartitionValue> | undefined | 'closed'> {
  const {platform, signal} = context;
  for (let attempt = 0; !signal.aborted; attempt++) {
    const read = await platform.get(partitionKey(partition));
    if (read.ok) return read.value as StoredObject<PartitionValue> | undefined;
    await pause(backoffMs(attempt), signal);
  }
  return 'closed';
}
