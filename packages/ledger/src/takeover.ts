import {pause} from '@chivewick/common';
import {randomUUID} from 'node:crypto';
import type {HostId} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import {
  readPartition,
  writePartition,
  type WriteContext,
} from './conditional-write.js';
import type {LedgerSettings} from './options.js';
import type {AcquiredPartition} from './partition.js';
import type {PartitionValue} from './record.js';
import {loadSegments} from './segments.js';
import {backoffMs} from './timing.js';

export interface TakeoverContext extends WriteContext {
  readonly peers: Peers;
  readonly live: () => HostId[];
  readonly settings: LedgerSettings;
}

/** Parameters of `ledger.handover`. */
export interface HandoverParams {
  readonly partition: number;
}

/**
 * Makes this host the owner of a partition by a conditional write that
 * increments the term. A live owner is first asked to finish its calls and
 * release the partition. Its response is not needed, because none of its writes
 * can succeed after this one. Returns the new owner if another host was faster,
 * and undefined if the signal aborted.
 *
 * @example
 * const acquired = await takeOver(context, 3);
 */
export async function takeOver(
  context: TakeoverContext,
  partitionNumber: number,
): Promise<AcquiredPartition | {readonly movedTo: HostId} | undefined> {
  const {self, log, signal, platform, budget} = context;
  let requestedFrom: HostId | undefined;
  for (let attempt = 0; !signal.aborted; attempt++) {
    const current = await readPartition(context, partitionNumber);
    if (current === 'closed') return undefined;
    const owner = current?.value.owner ?? undefined;
    if (isOtherLiveHost(context, owner) && owner !== requestedFrom) {
      requestedFrom = owner;
      await requestRelease(context, owner, partitionNumber);
      continue;
    }
    // Counted but not delayed: callers wait for it, and takeovers are rare.
    budget.countUndelayed();
    const value = nextTermValue(self, current?.value);
    const expected = current?.version ?? 'absent';
    const result = await writePartition(
      context,
      partitionNumber,
      value,
      expected,
    );
    if (result.kind === 'closed') return undefined;
    if (result.kind === 'written') {
      const {version} = result;
      const refs = value.segments;
      const segments = await loadSegments(
        platform,
        partitionNumber,
        refs,
        signal,
      );
      log.event('partitionTaken', {
        partition: partitionNumber,
        term: value.term,
        owner,
      });
      return {number: partitionNumber, value, version, segments};
    }
    const winner = result.current?.owner ?? undefined;
    if (isOtherLiveHost(context, winner) && winner !== requestedFrom)
      return {movedTo: winner};
    await pause(backoffMs(attempt), signal);
  }
  return undefined;
}

function isOtherLiveHost(
  context: TakeoverContext,
  host: HostId | undefined,
): host is HostId {
  const {self, live} = context;
  return host !== undefined && host !== self && live().includes(host);
}

async function requestRelease(
  context: TakeoverContext,
  owner: HostId,
  partitionNumber: number,
): Promise<void> {
  const params: HandoverParams = {partition: partitionNumber};
  const timeoutMs = context.settings.handoverTimeoutMs;
  await context.peers.call(owner, 'ledger.handover', params, {timeoutMs});
}

function nextTermValue(
  self: HostId,
  value: PartitionValue | undefined,
): PartitionValue {
  return {
    owner: self,
    term: (value?.term ?? 0) + 1,
    writeId: randomUUID(),
    entries: value?.entries ?? [],
    segments: value?.segments ?? [],
  };
}
