import {pause} from '@chivewick/common';
import {randomUUID} from 'node:crypto';
import type {HostId} from '@chivewick/common';
import {
  readPartition,
  writePartition,
  type WriteContext,
} from './conditional-write.js';
import type {LedgerSettings} from './options.js';
import {createEntryTable, type EntryTable} from './entry-table.js';
import type {Entry, PartitionValue} from './record.js';
import {sealOldest} from './seal.js';
import {segmentKey, type Segments} from './segments.js';
import {withTimeout} from './timing.js';

/** Result of staging a change. */
export type StageResult =
  | 'committed'
  /** Withdrawn before it was part of any write. */
  | 'withdrawn'
  /** Another host owns the partition; the change may have been committed. */
  | 'lost'
  /** The ledger was closed; the change may have been committed. */
  | 'closed';

/** An entry to be committed with the next write. */
export interface Change {
  readonly id: string;
  readonly entry: Entry;
  /** False if the change may wait to share a write with others. */
  readonly urgent: boolean;
}

/** A partition that this host owns until a read or write shows otherwise. */
export interface Partition {
  readonly number: number;
  readonly term: number;
  /** The entry as last written or being written. */
  entry(id: string): Entry | undefined;
  /** False if no sealed segment contains the id; true if one may. */
  maybeSealed(id: string): boolean;
  /** Reads the entry from the sealed segments. */
  findSealed(id: string): Promise<Entry | undefined>;
  /** Whether there is room for another intent. */
  hasRoom(): boolean;
  stage(change: Change): Promise<StageResult>;
  /** Withdraws a change that is in no write yet; false if it is too late. */
  withdraw(change: Change): boolean;
  /** Commits the staged changes, then releases ownership. */
  release(): Promise<void>;
  /** Undefined while owned; after a loss, the new owner if it is known. */
  lostTo(): {readonly owner?: HostId} | undefined;
  /** Reads the object to confirm that no other host has acquired the partition. */
  confirm(): Promise<boolean>;
  size(): {entries: number; bytes: number; segments: number};
}

/** Result of a takeover, from which the partition is created. */
export interface AcquiredPartition {
  readonly number: number;
  readonly value: PartitionValue;
  readonly version: number;
  readonly segments: Segments;
}

interface PendingChange {
  readonly change: Change;
  readonly resolve: (staged: StageResult) => void;
}

/** Share of the object that intents may fill; the rest is reserved for outcomes. */
const INTENT_SHARE = 0.65;

/**
 * Creates a partition that has been taken over. It uses group commit: all
 * changes that arrive while a write is in progress share the next write.
 *
 * @example
 * const partition = createPartition(acquired, context, settings, onLost);
 * const staged = await partition.stage({id, entry, urgent: true});
 */
export function createPartition(
  acquired: AcquiredPartition,
  context: WriteContext,
  settings: LedgerSettings,
  onLost: (current: PartitionValue | undefined) => void,
): Partition {
  const {number: partitionNumber, segments} = acquired;
  const {term} = acquired.value;
  const table: EntryTable = createEntryTable(
    acquired.value.entries,
    term,
    settings,
  );
  const pending: PendingChange[] = [];
  let {version} = acquired;
  let lost: {owner?: HostId} | undefined;
  let writing: Promise<void> | undefined;
  let notifyUrgent: (() => void) | undefined;
  let sealCount = 0;

  function stage(change: Change): Promise<StageResult> {
    if (context.signal.aborted) return Promise.resolve('closed');
    if (lost !== undefined) return Promise.resolve('lost');
    return new Promise(resolve => {
      pending.push({change, resolve});
      if (change.urgent) notifyUrgent?.();
      startCommit();
    });
  }

  function startCommit(): void {
    writing ??= commitPending().finally(() => {
      writing = undefined;
      if (pending.length > 0) startCommit();
    });
  }

  async function commitPending(): Promise<void> {
    await waitForBatch();
    // The batch is formed after the wait for the write budget, so that it
    // includes the changes that arrived during the wait.
    await context.budget.take();
    await sealIfLarge();
    const batch = lost === undefined ? takeBatch() : [];
    if (batch.length === 0 && lost === undefined) return;
    const staged = await write(context.self);
    if (staged !== 'committed') batch.push(...pending.splice(0));
    for (const {resolve} of batch) resolve(staged);
  }

  /**
   * Waits up to `outcomeIntervalMs` for an urgent change, then
   * `commitIntervalMs` for others.
   */
  async function waitForBatch(): Promise<void> {
    if (!pending.some(({change}) => change.urgent)) {
      const urgentStaged = new Promise<void>(
        resolve => (notifyUrgent = resolve),
      );
      await withTimeout(urgentStaged, settings.outcomeIntervalMs);
      notifyUrgent = undefined;
    }
    await pause(settings.commitIntervalMs, context.signal);
  }

  /** Applies the staged changes that fit; the others wait until entries are sealed. */
  function takeBatch(): PendingChange[] {
    const batch: PendingChange[] = [];
    for (const pendingChange of pending.splice(0)) {
      const {id, entry} = pendingChange.change;
      (table.apply(id, entry) ? batch : pending).push(pendingChange);
    }
    return batch;
  }

  async function write(owner: HostId | null): Promise<StageResult> {
    if (lost !== undefined) return 'lost';
    const expired = expire();
    const value: PartitionValue = {
      owner,
      term,
      writeId: randomUUID(),
      entries: table.list(),
      segments: [...segments.refs()],
    };
    const result = await writePartition(
      context,
      partitionNumber,
      value,
      version,
    );
    if (result.kind === 'closed') return 'closed';
    if (result.kind === 'lost') {
      markLost(result.current);
      return 'lost';
    }
    version = result.version;
    removeSegments(expired);
    return 'committed';
  }

  function markLost(current: PartitionValue | undefined): void {
    if (lost !== undefined) return;
    lost = {owner: current?.owner ?? undefined};
    onLost(current);
  }

  async function confirm(): Promise<boolean> {
    const current = await readPartition(context, partitionNumber);
    if (current === 'closed' || lost !== undefined) return false;
    const value = current?.value;
    if (value?.owner === context.self && value.term === term) return true;
    markLost(value);
    return false;
  }

  function expire(): string[] {
    const before = Date.now() - settings.expiryMs;
    table.expire(before);
    return segments.expire(before);
  }

  function removeSegments(names: readonly string[]): void {
    const {platform, log} = context;
    for (const name of names) {
      const key = segmentKey(partitionNumber, name);
      const remove = async () => {
        const read = await platform.get(key);
        if (!read.ok || read.value === undefined) return;
        await platform.remove(key, read.value.version);
      };
      remove().catch((err: Error) =>
        log.event('segmentNotRemoved', {key, message: err.message}),
      );
    }
  }

  async function sealIfLarge(): Promise<void> {
    const incoming = pending.map(({change}) => change);
    const sealing = table.toSeal(incoming);
    if (sealing.length === 0 || lost !== undefined) return;
    const name = `${term}-${++sealCount}`;
    const ref = await sealOldest(context, partitionNumber, name, sealing);
    if (ref === undefined) return;
    segments.add(
      ref,
      sealing.map(([id]) => id),
    );
    for (const [id] of sealing) table.remove(id);
  }

  async function release(): Promise<void> {
    while (writing !== undefined) await writing;
    if (lost !== undefined || context.signal.aborted) return;
    const released = context.budget
      .take()
      .then(() => write(null))
      .then(() => {
        lost ??= {};
      });
    writing = released;
    await released;
    writing = undefined;
    for (const {resolve} of pending.splice(0)) resolve('lost');
  }

  return {
    number: partitionNumber,
    term,
    entry: id => table.get(id),
    maybeSealed: id => segments.mayContain(id),
    findSealed: id => segments.find(id),
    hasRoom: () =>
      table.unfinishedBytes() < settings.maxObjectBytes * INTENT_SHARE,
    stage,
    withdraw(change) {
      const index = pending.findIndex(
        pendingChange => pendingChange.change === change,
      );
      if (index < 0) return false;
      const [pendingChange] = pending.splice(index, 1);
      pendingChange.resolve('withdrawn');
      return true;
    },
    release,
    lostTo: () => lost,
    confirm,
    size: () => ({
      entries: table.size(),
      bytes: table.bytes(),
      segments: segments.refs().length,
    }),
  };
}
