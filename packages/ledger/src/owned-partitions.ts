import {failure, rendezvousOwner, type HostId} from '@chivewick/common';
import {withOutcome, type AttemptResult} from './attempt.js';
import {
  createExecutor,
  type Executor,
  type ExecutorContext,
} from './executor.js';
import {createPartition, type Partition} from './partition.js';
import {partitionKey} from './record.js';
import {takeOver, type TakeoverContext} from './takeover.js';
import {TIMED_OUT, withTimeout} from './timing.js';

/** The partitions that this host owns. */
export interface OwnedPartitions {
  /** The host that should own a partition according to this host. */
  ownerOf(
    partitionNumber: number,
    excluded: readonly HostId[],
  ): HostId | undefined;
  /**
   * Returns the executor of a partition, taking the partition over first if
   * this host should own it; otherwise the attempt result to return.
   */
  acquire(
    partitionNumber: number,
    excluded: readonly HostId[],
    deadline: number,
  ): Promise<
    | {readonly executor: Executor}
    | Exclude<AttemptResult, {kind: 'unreachable'}>
  >;
  /**
   * Releases a partition after its running calls have finished, or after half
   * of `handoverTimeoutMs`.
   */
  release(partitionNumber: number, to: HostId): Promise<void>;
  /** Releases all partitions and acquires no more. */
  releaseAll(): Promise<void>;
  partitions(): Partition[];
}

export type OwnedPartitionsContext = TakeoverContext &
  Omit<ExecutorContext, keyof TakeoverContext>;

/**
 * Time after the last call that needs a takeover until it is cancelled. It is
 * independent of the deadlines of calls, so that calls with short deadlines
 * don't restart the takeover each time.
 */
const TAKEOVER_IDLE_TIMEOUT_MS = 10_000;

interface OwnedPartition {
  readonly executor: Executor;
  /** The host that requested the release. */
  handoverTo?: HostId;
  releasing?: Promise<void>;
}

/** A takeover in progress. */
interface Takeover {
  readonly result: Promise<OwnedPartition | {movedTo: HostId} | undefined>;
  readonly cancel: AbortController;
  timer: NodeJS.Timeout;
}

/**
 * Creates the table of owned partitions. It starts empty; a partition is taken
 * over when the first call for it arrives.
 *
 * @example
 * const ownedPartitions = createOwnedPartitions(context);
 */
export function createOwnedPartitions(
  context: OwnedPartitionsContext,
): OwnedPartitions {
  const {self, live, log, settings} = context;
  const owned = new Map<number, OwnedPartition>();
  const takeovers = new Map<number, Takeover>();
  let stopping = false;

  function ownerOf(partitionNumber: number, excluded: readonly HostId[]) {
    const hosts = new Set([...live(), self]);
    if (stopping) hosts.delete(self);
    for (const host of excluded) hosts.delete(host);
    return rendezvousOwner(partitionKey(partitionNumber), [...hosts]);
  }

  async function acquire(
    partitionNumber: number,
    excluded: readonly HostId[],
    deadline: number,
  ): ReturnType<OwnedPartitions['acquire']> {
    const ownedPartition = owned.get(partitionNumber);
    if (ownedPartition !== undefined) return executorOf(ownedPartition);
    if (stopping) return {kind: 'moved', stopping};
    const owner = ownerOf(partitionNumber, excluded);
    if (owner !== self) return {kind: 'moved', owner};
    const result = await withTimeout(
      joinTakeover(partitionNumber),
      deadline - performance.now(),
    );
    if (result === TIMED_OUT || result === undefined) return takeoverTimedOut();
    if ('movedTo' in result) return {kind: 'moved', owner: result.movedTo};
    return executorOf(result);
  }

  /** During a handover, calls that have moved are directed to the new owner. */
  function executorOf(ownedPartition: OwnedPartition): {executor: Executor} {
    const {executor} = ownedPartition;
    if (ownedPartition.handoverTo === undefined) return {executor};
    const execute: Executor['execute'] = async request => {
      const result = await executor.execute(request);
      if (result.kind !== 'moved') return result;
      return {owner: ownedPartition.handoverTo, ...result};
    };
    return {executor: {...executor, execute}};
  }

  function joinTakeover(partitionNumber: number): Takeover['result'] {
    const takeover =
      takeovers.get(partitionNumber) ?? startTakeover(partitionNumber);
    clearTimeout(takeover.timer);
    takeover.timer = setTimeout(
      () => takeover.cancel.abort(),
      TAKEOVER_IDLE_TIMEOUT_MS,
    );
    return takeover.result;
  }

  function startTakeover(partitionNumber: number): Takeover {
    const cancel = new AbortController();
    const signal = AbortSignal.any([context.signal, cancel.signal]);
    const result = takeOver({...context, signal}, partitionNumber)
      .then(acquired => {
        if (acquired === undefined || 'movedTo' in acquired) return acquired;
        return addOwned(acquired);
      })
      .catch(() => undefined)
      .finally(() => {
        clearTimeout(takeover.timer);
        takeovers.delete(partitionNumber);
      });
    const takeover: Takeover = {
      result,
      cancel,
      timer: setTimeout(() => {}),
    };
    takeovers.set(partitionNumber, takeover);
    return takeover;
  }

  function addOwned(
    acquired: Parameters<typeof createPartition>[0],
  ): OwnedPartition {
    const {number: partitionNumber} = acquired;
    const partition = createPartition(acquired, context, settings, current => {
      const owner = current?.owner;
      log.event('partitionLost', {partition: partitionNumber, owner});
      removeOwned(ownedPartition);
    });
    const executor = createExecutor(partition, context);
    const ownedPartition: OwnedPartition = {executor};
    owned.set(partitionNumber, ownedPartition);
    return ownedPartition;
  }

  /** Keeps a newer entry, because the partition may have been acquired again. */
  function removeOwned(ownedPartition: OwnedPartition): void {
    const {number: partitionNumber} = ownedPartition.executor.partition;
    if (owned.get(partitionNumber) === ownedPartition)
      owned.delete(partitionNumber);
  }

  async function release(partitionNumber: number, to?: HostId): Promise<void> {
    const ownedPartition = owned.get(partitionNumber);
    if (ownedPartition === undefined) return;
    ownedPartition.handoverTo = to;
    ownedPartition.releasing ??= releaseOwned(ownedPartition, to !== undefined);
    await ownedPartition.releasing;
  }

  async function releaseOwned(
    ownedPartition: OwnedPartition,
    isHandover: boolean,
  ): Promise<void> {
    const {partition} = ownedPartition.executor;
    const drainTimeoutMs = isHandover
      ? settings.handoverTimeoutMs / 2
      : settings.serviceTimeoutMs;
    await withTimeout(ownedPartition.executor.drain(), drainTimeoutMs);
    await partition.release();
    removeOwned(ownedPartition);
    log.event('partitionReleased', {
      partition: partition.number,
      to: ownedPartition.handoverTo,
    });
  }

  return {
    ownerOf,
    acquire,
    release,
    async releaseAll() {
      stopping = true;
      await Promise.all(
        [...takeovers.values()].map(takeover => takeover.result),
      );
      await Promise.all(
        [...owned.keys()].map(partitionNumber => release(partitionNumber)),
      );
    },
    partitions: () =>
      [...owned.values()].map(({executor}) => executor.partition),
  };
}

function takeoverTimedOut(): AttemptResult & {kind: 'outcome'} {
  const message = 'the partition could not be taken over in time';
  const err = failure('platform_unavailable', message);
  return withOutcome({kind: 'failed', err}) as AttemptResult & {
    kind: 'outcome';
  };
}
