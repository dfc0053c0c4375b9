import {createAdmission, type AdmissionClass} from '@chivewick/admission';
import {createSilentLogger, id, type WorkspaceId} from '@chivewick/common';

/** Ends the work of a request. */
export type Leave = () => void;

/** A policy that lets requests start. */
export interface AdmissionPolicy {
  /** Resolves when the request may start; undefined when it is shed. */
  enter(
    workspace: string,
    cls: AdmissionClass,
    patienceMs: number,
  ): Promise<Leave | undefined>;
}

export interface PolicyOptions {
  readonly capacity: number;
  readonly weights: Readonly<Record<string, number>>;
}

const FIFO_QUEUE = 100;

/** The real code of `packages/admission`. */
function chivewick({capacity, weights}: PolicyOptions): AdmissionPolicy {
  const admission = createAdmission({
    capacity: () => capacity,
    weight: workspace => weights[workspace],
    log: createSilentLogger(),
  });
  return {
    async enter(workspace, cls, patienceMs) {
      const slot = await admission.acquire({
        workspace: id<WorkspaceId>(workspace),
        priority: 1,
        class: cls,
        deadlineMs: patienceMs,
        signal: new AbortController().signal,
      });
      return slot.ok ? () => slot.value.release() : undefined;
    },
  };
}

/** Baseline: one queue in order of arrival, without classes or deadlines. */
function fifo({capacity}: PolicyOptions, maxQueued: number): AdmissionPolicy {
  const queue: Array<(leave: Leave) => void> = [];
  let head = 0;
  let running = 0;
  const leave = () => {
    const next = queue[head];
    if (next === undefined) {
      running -= 1;
      return;
    }
    head += 1;
    next(leave);
  };
  return {
    enter() {
      if (running < capacity) {
        running += 1;
        return Promise.resolve(leave);
      }
      if (queue.length - head >= maxQueued) return Promise.resolve(undefined);
      return new Promise(resolve => queue.push(resolve));
    },
  };
}

/** The chosen policy and the baselines, by name. */
export const ADMISSION_POLICIES: Record<
  string,
  (options: PolicyOptions) => AdmissionPolicy
> = {
  chivewick,
  fifo: options => fifo(options, FIFO_QUEUE),
  'no-queue-limit': options => fifo(options, Infinity),
};
