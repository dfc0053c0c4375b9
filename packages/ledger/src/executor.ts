import type {HostId} from '@chivewick/common';
import {
  markReplayed,
  ledgerClosed,
  callInProgress,
  keyNotRecorded,
  partitionFull,
  keyReused,
  platformTimedOut,
  ownershipUnconfirmed,
} from './attempt-results.js';
import {
  withOutcome,
  type AttemptResult,
  type AttemptRequest,
} from './attempt.js';
import {createExecution, type Execution} from './execution.js';
import type {Partition} from './partition.js';
import {
  notRun,
  replayedOutcome,
  unknownOutcome,
  type Entry,
  type RecordedOutcome,
} from './record.js';
import {sendOnce, toRecorded, type SendContext} from './sender.js';
import {TIMED_OUT, withTimeout} from './timing.js';

/** Runs the calls of one partition that this host owns. */
export interface Executor {
  readonly partition: Partition;
  execute(request: AttemptRequest): Promise<AttemptResult>;
  lookup(id: string, deadline: number): Promise<AttemptResult>;
  /**
   * Records a former owner's report. Ignores it if the partition object has no
   * unsettled entry of this intent, or if the key is running again. Returns
   * false if the report must be delivered again.
   */
  settle(
    id: string,
    intent: string,
    outcome: RecordedOutcome,
  ): Promise<boolean>;
  /** Starts no new calls and waits for the running ones. */
  drain(): Promise<void>;
}

export interface ExecutorContext extends SendContext {
  readonly self: HostId;
  readonly live: () => HostId[];
  /** Reports an outcome to the new owner after this host lost the partition. */
  readonly report: (
    id: string,
    intent: string,
    outcome: RecordedOutcome,
  ) => void;
}

/**
 * Creates the executor of a partition. It runs at most one execution per key at
 * a time, and sends a call only after its intent is committed.
 *
 * @example
 * const executor = createExecutor(partition, context);
 * const result = await executor.execute(request);
 */
export function createExecutor(
  partition: Partition,
  context: ExecutorContext,
): Executor {
  const {settings} = context;
  const executions = new Map<string, Execution>();
  const settleListeners = new Map<string, Set<() => void>>();
  let draining = false;
  let intentCount = 0;

  async function execute(request: AttemptRequest): Promise<AttemptResult> {
    const {id, digest} = request;
    const running = executions.get(id);
    if (running !== undefined)
      return running.digest === digest ? join(running, request) : keyReused();
    const entry = await find(id, request.deadline);
    if (entry === TIMED_OUT) return platformTimedOut();
    if (executions.has(id) || entry !== (partition.entry(id) ?? entry))
      return execute(request);
    if (entry === undefined) return start(request);
    if (entry.digest !== digest) return keyReused();
    if (mayStartAgain(entry, request)) return start(request);
    if (entry.outcome?.kind === 'answered')
      return withOutcome(replayedOutcome(entry.outcome));
    if (entry.outcome === undefined)
      await waitForReport(id, entry, request.deadline);
    return resultFromRecord(id, entry, request.deadline);
  }

  /**
   * Returns the recorded outcome. An `answered` record is final. Any other one
   * is returned only after ownership is confirmed: if another host has acquired
   * the partition, it may have settled an unknown outcome or run a `not_run`
   * key again.
   */
  async function resultFromRecord(
    id: string,
    found: Entry | undefined,
    deadline: number,
  ): Promise<AttemptResult> {
    if ((partition.entry(id) ?? found)?.outcome?.kind !== 'answered') {
      const remainingMs = deadline - performance.now();
      const owned = await withTimeout(partition.confirm(), remainingMs);
      if (owned === TIMED_OUT) return ownershipUnconfirmed();
      if (!owned) return {kind: 'moved', owner: partition.lostTo()?.owner};
      if (executions.has(id)) return callInProgress();
    }
    const entry = partition.entry(id) ?? found;
    if (entry === undefined) return keyNotRecorded();
    if (entry.outcome !== undefined)
      return withOutcome(replayedOutcome(entry.outcome));
    const message = `host ${entry.host} did not record an outcome`;
    return withOutcome(unknownOutcome(message));
  }

  function mayStartAgain(entry: Entry, request: AttemptRequest): boolean {
    if (entry.outcome === undefined) return entry.intent === request.abandoned;
    if (entry.outcome.kind !== 'not_run') return false;
    return !entry.outcome.calls.includes(request.callId);
  }

  async function find(
    id: string,
    deadline: number,
  ): Promise<Entry | undefined | typeof TIMED_OUT> {
    const entry = partition.entry(id);
    if (entry !== undefined || !partition.maybeSealed(id)) return entry;
    return withTimeout(partition.findSealed(id), deadline - performance.now());
  }

  function start(
    request: AttemptRequest,
  ): AttemptResult | Promise<AttemptResult> {
    if (draining) return {kind: 'moved'};
    if (!partition.hasRoom()) return partitionFull();
    const execution = createExecution(request, {
      intent: `${partition.term}.${++intentCount}`,
      host: context.self,
    });
    executions.set(request.id, execution);
    execution.completed = run(execution).finally(() =>
      executions.delete(request.id),
    );
    return join(execution, request);
  }

  async function run(execution: Execution): Promise<void> {
    const staged = await partition.stage(execution.change);
    if (staged === 'withdrawn') return;
    if (staged === 'closed') return execution.finish(ledgerClosed());
    if (staged === 'lost') return abandon(execution);
    if (execution.waiters === 0 || performance.now() >= execution.deadline) {
      const message = 'the deadline passed before the call was sent';
      const calls = [...execution.callIds];
      return record(execution, {kind: 'not_run', message, calls});
    }
    execution.state = 'sent';
    const {service, call} = execution.request;
    const outcome = await sendOnce(context, service, call, execution.deadline);
    if (outcome.kind === 'answered')
      execution.finish(withOutcome({...outcome, replayed: false}));
    const recorded = toRecorded(
      outcome,
      [...execution.callIds],
      settings.keptBodyBytes,
    );
    await record(execution, recorded);
  }

  /** Ends an execution whose intent may be committed but whose call is never sent. */
  function abandon(execution: Execution): void {
    const {intent} = execution;
    const owner = partition.lostTo()?.owner;
    execution.finish({kind: 'moved', owner, abandoned: intent});
    if (execution.waiters > 0) return;
    const message = 'the owner lost its partition before it sent the call';
    const calls = [...execution.callIds];
    context.report(execution.id, intent, {kind: 'not_run', message, calls});
  }

  async function record(
    execution: Execution,
    outcome: RecordedOutcome,
  ): Promise<void> {
    const {id, intent, change} = execution;
    const isNotRun = outcome.kind === 'not_run';
    execution.state = isNotRun ? 'not_run' : 'sent';
    if (!isNotRun) execution.finish(withOutcome(replayedOutcome(outcome)));
    const entry: Entry = {...change.entry, outcome};
    const staged = await partition.stage({id, entry, urgent: isNotRun});
    if (staged === 'lost' && outcome.kind !== 'unknown')
      context.report(id, intent, outcome);
    execution.finish(withOutcome(replayedOutcome(outcome)));
  }

  async function join(
    execution: Execution,
    request: AttemptRequest,
  ): Promise<AttemptResult> {
    execution.addCaller(request);
    const isActiveRequest = execution.request === request;
    const remainingMs = () => request.deadline - performance.now();
    const commitWaitMs = Math.min(remainingMs(), settings.outageWaitMs);
    let result = await withTimeout(execution.done, commitWaitMs);
    if (result === TIMED_OUT && execution.state !== 'committing')
      result = await withTimeout(execution.done, remainingMs());
    execution.waiters--;
    if (result === TIMED_OUT) return resultOnTimeout(execution);
    return isActiveRequest ? result : markReplayed(result);
  }

  /** The result for a caller that stopped waiting before the execution ended. */
  function resultOnTimeout(execution: Execution): AttemptResult {
    if (execution.state === 'sent')
      return withOutcome(unknownOutcome('the service has not answered yet'));
    if (execution.state === 'not_run')
      return withOutcome(notRun('the call was not sent'));
    if (execution.waiters > 0) return callInProgress();
    // No caller is left. If the intent is in no write yet, it is withdrawn;
    // otherwise `run` sees that there are no waiters and records `not_run`.
    partition.withdraw(execution.change);
    return platformTimedOut();
  }

  /** Waits for the report of a former owner, if that host is live. */
  async function waitForReport(
    id: string,
    {host}: Entry,
    deadline: number,
  ): Promise<void> {
    if (host === context.self || !context.live().includes(host)) return;
    const listeners = settleListeners.get(id) ?? new Set();
    settleListeners.set(id, listeners);
    let notify = () => {};
    const reported = new Promise<void>(resolve => (notify = resolve));
    listeners.add(notify);
    const remainingMs = deadline - performance.now();
    await withTimeout(
      reported,
      Math.min(settings.settleWaitMs, remainingMs / 2),
    );
    listeners.delete(notify);
    if (listeners.size === 0) settleListeners.delete(id);
  }

  async function settle(
    id: string,
    intent: string,
    outcome: RecordedOutcome,
  ): Promise<boolean> {
    const entry = partition.entry(id);
    if (entry === undefined || entry.intent !== intent || executions.has(id))
      return true;
    if (entry.outcome !== undefined && entry.outcome.kind !== 'unknown')
      return true;
    const change = {
      id,
      entry: {...entry, outcome},
      urgent: settleListeners.has(id),
    };
    const staged = await partition.stage(change);
    settleListeners.get(id)?.forEach(notify => notify());
    return staged === 'committed';
  }

  async function lookup(id: string, deadline: number): Promise<AttemptResult> {
    const running = executions.get(id);
    if (running !== undefined) {
      const result = await withTimeout(running.done, 0);
      return result === TIMED_OUT ? callInProgress() : markReplayed(result);
    }
    const entry = await find(id, deadline);
    if (entry === TIMED_OUT) return ownershipUnconfirmed();
    return resultFromRecord(id, entry, deadline);
  }

  return {
    partition,
    execute,
    lookup,
    settle,
    async drain() {
      draining = true;
      const running = [...executions.values()];
      await Promise.all(running.map(execution => execution.completed));
    },
  };
}
