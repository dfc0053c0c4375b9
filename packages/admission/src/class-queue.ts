import {fail, failure, ok, type Failure, type Result} from '@chivewick/common';
import type {
  AdmissionClass,
  AdmissionRequest,
  AdmissionSlot,
  ClassStatus,
} from './admission-api.js';
import {createFairQueue, type Flow} from './fair-queue.js';

/** Assumed hold time of a slot before the first completion. */
const DEFAULT_HOLD_MS = 500;
const MIN_RETRY_MS = 10;
/** Weight of the newest sample in the smoothed hold time of the class. */
const HOLD_GAIN = 0.05;

export interface ClassQueueOptions {
  readonly class: AdmissionClass;
  readonly slots: () => number;
  readonly weight: (request: AdmissionRequest) => number;
  readonly maxQueued: number;
  readonly onShed: (request: AdmissionRequest, retryAfterMs: number) => void;
}

/** The queue and the slots of one class. */
export interface ClassQueue {
  acquire(request: AdmissionRequest): Promise<Result<AdmissionSlot>>;
  refresh(): void;
  status(): ClassStatus;
  close(): void;
}

interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly flow: Flow<WaitingRequest>;
  settle(result: Result<AdmissionSlot>): void;
}

/**
 * Creates the queue of a class. A request is shed on arrival when the observed
 * hold times predict that it won't start before its deadline. When the queue is
 * full, a request of the lowest priority is shed: the last one of the workspace
 * whose backlog is longest relative to its weight.
 *
 * @example
 * const queue = createClassQueue({class: 'draft', slots: () => 64, weight, maxQueued: 1000, onShed});
 */
export function createClassQueue(options: ClassQueueOptions): ClassQueue {
  const {slots, maxQueued} = options;
  let holdMs: number | undefined;
  const queue = createFairQueue<WaitingRequest>(
    () => holdMs ?? DEFAULT_HOLD_MS,
  );
  const counts = {running: 0, admitted: 0, shed: 0};

  const start = (flow: Flow<WaitingRequest>): Result<AdmissionSlot> => {
    const chargedMs = flow.holdMs;
    const startedMs = performance.now();
    let released = false;
    counts.running += 1;
    counts.admitted += 1;
    return ok({
      release() {
        if (released) return;
        released = true;
        counts.running -= 1;
        const heldMs = performance.now() - startedMs;
        holdMs =
          holdMs === undefined
            ? heldMs
            : holdMs + HOLD_GAIN * (heldMs - holdMs);
        queue.correct(flow, chargedMs, heldMs);
        admitWaiting();
      },
    });
  };

  const admitWaiting = () => {
    while (counts.running < slots()) {
      const next = queue.shift();
      if (next === undefined) return;
      next.item.settle(start(next.flow));
    }
  };

  const shed = (
    request: AdmissionRequest,
    flow: Flow<WaitingRequest>,
  ): Failure => {
    counts.shed += 1;
    const intervalMs = flow.holdMs / Math.max(1, slots());
    const lateMs = queue.waitMs(flow, slots()) - request.deadlineMs;
    // Adds one service interval, so that a retried request isn't due to start
    // exactly at its deadline.
    const retryAfterMs = Math.max(
      MIN_RETRY_MS,
      Math.ceil(Math.max(0, lateMs) + intervalMs),
    );
    options.onShed(request, retryAfterMs);
    return failure(
      'overloaded',
      `no ${options.class} slot is expected to become free before the deadline (${queue.size()} requests waiting)`,
      {retryAfterMs},
    );
  };

  const wait = (request: AdmissionRequest, flow: Flow<WaitingRequest>) =>
    new Promise<Result<AdmissionSlot>>(resolve => {
      const settle = (result: Result<AdmissionSlot>) => {
        queue.remove(flow, item);
        clearTimeout(timer);
        request.signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const item: WaitingRequest = {request, flow, settle};
      const onAbort = () => settle(cancelled());
      const timer = setTimeout(() => {
        queue.remove(flow, item);
        settle({ok: false, err: shed(request, flow)});
      }, request.deadlineMs);
      request.signal.addEventListener('abort', onAbort);
      queue.push(flow, item);
    });

  const acquire = async (
    request: AdmissionRequest,
  ): Promise<Result<AdmissionSlot>> => {
    if (request.signal.aborted) return cancelled();
    const flow = queue.flow(request.workspace, options.weight(request));
    if (queue.size() === 0 && counts.running < slots()) {
      queue.charge(flow);
      return start(flow);
    }
    const {deadlineMs} = request;
    if (holdMs !== undefined && queue.waitMs(flow, slots()) > deadlineMs) {
      return {ok: false, err: shed(request, flow)};
    }
    const slot = wait(request, flow);
    if (queue.size() > maxQueued) {
      const victim = chooseVictim(queue.flows());
      victim?.settle({
        ok: false,
        err: shed(victim.request, victim.flow),
      });
    }
    return slot;
  };

  return {
    acquire,
    refresh: admitWaiting,
    status: () => ({
      class: options.class,
      running: counts.running,
      waiting: queue.size(),
      admitted: counts.admitted,
      shed: counts.shed,
      serviceRate: holdMs === undefined ? 0 : (slots() * 1000) / holdMs,
    }),
    close() {
      const err = failure('shutting_down', 'the host is shutting down');
      for (const flow of queue.flows()) {
        for (const item of [...flow.waiting]) item.settle({ok: false, err});
      }
    },
  };
}

/** Returns the request to shed when the queue is full. */
function chooseVictim(
  flows: Iterable<Flow<WaitingRequest>>,
): WaitingRequest | undefined {
  let victim: WaitingRequest | undefined;
  for (const flow of flows) {
    const last = [...flow.waiting].at(-1);
    if (last !== undefined && (!victim || isShedBefore(last, victim)))
      victim = last;
  }
  return victim;
}

function isShedBefore(a: WaitingRequest, b: WaitingRequest): boolean {
  const byPriority = a.request.priority - b.request.priority;
  if (byPriority !== 0) return byPriority > 0;
  const backlog = ({flow}: WaitingRequest) => flow.waiting.size / flow.weight;
  return backlog(a) > backlog(b);
}

function cancelled(): Result<AdmissionSlot> {
  return fail('request_timeout', 'the request was cancelled while it waited');
}
