import type {HostId} from '@chivewick/common';
import type {AttemptResult, AttemptRequest} from './attempt.js';
import type {Change} from './partition.js';

/** One run of a call, shared by all callers with its key. */
export interface Execution {
  readonly id: string;
  readonly digest: string;
  readonly intent: string;
  /** The request to send: that of the first caller that is still waiting. */
  request: AttemptRequest;
  /** The staged change that commits the intent. */
  readonly change: Change;
  /** `not_run`: the call will never be sent; this is being recorded. */
  state: 'committing' | 'sent' | 'not_run';
  waiters: number;
  /** Latest deadline of its callers, on this host's monotonic clock. */
  deadline: number;
  readonly callIds: Set<string>;
  readonly done: Promise<AttemptResult>;
  /** Settles `done`; later calls have no effect. */
  finish(result: AttemptResult): void;
  /** Adds a caller. */
  addCaller(request: AttemptRequest): void;
  /** Settles when the executor has removed the execution. */
  completed: Promise<void>;
}

/**
 * Creates the execution of a request, before its intent is staged.
 *
 * @example
 * const execution = createExecution(request, {intent: '7.1', host: self});
 */
export function createExecution(
  request: AttemptRequest,
  intent: {intent: string; host: HostId},
): Execution {
  const {id, digest} = request;
  let finish: (result: AttemptResult) => void = () => {};
  const done = new Promise<AttemptResult>(resolve => (finish = resolve));
  const entry = {digest, ...intent, at: Date.now()};
  const execution: Execution = {
    id,
    digest,
    intent: intent.intent,
    request,
    change: {id, entry, urgent: true},
    state: 'committing',
    waiters: 0,
    deadline: 0,
    callIds: new Set(),
    done,
    finish,
    addCaller(callerRequest) {
      // If no caller is waiting, all earlier ones have timed out and received
      // `not_run`.
      if (execution.waiters === 0) execution.request = callerRequest;
      execution.waiters++;
      execution.callIds.add(callerRequest.callId);
      execution.deadline = Math.max(execution.deadline, callerRequest.deadline);
    },
    completed: Promise.resolve(),
  };
  return execution;
}
