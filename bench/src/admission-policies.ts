import {createAdmission, type AdmissionClass} from '@chivewick/admission';
import {createSilentLogger, id, type WorkspaceId} from '@chivewick/common';

/** Releases the slot of a request when its work ends. */
export type Release = () => void;

/** A policy that decides when requests start. */
export interface AdmissionPolicy {
  /** Resolves when the request may start; undefined if it is shed. */
  acquire(
    workspace: string,
    cls: AdmissionClass,
    startTimeoutMs: number,
  ): Promise<Release | undefined>;
}

export interface PolicyOptions {
  readonly capacity: number;
  readonly weights: Readonly<Record<string, number>>;
}

const FIFO_MAX_QUEUED = 100;

/** The production code of `packages/admission`. */
function chivewick({capacity, weights}: PolicyOptions): AdmissionPolicy {
  const admission = createAdmission({
    capacity: () => capacity,
    weight: workspace => weights[workspace],
    log: createSilentLogger(),
  });
  return {
    async acquire(workspace, cls, startTimeoutMs) {
      const slot = await admission.acquire({
        workspace: id<WorkspaceId>(workspace),
        priority: 1,
        class: cls,
        deadlineMs: startTimeoutMs,
        signal: new AbortController().signal,
      });
      return slot.ok ? () => slot.value.release() : undefined;
    },
  };
}

/** Baseline: one queue in order of arrival, without classes or deadlines. */
function fifo({capacity}: PolicyOptions, maxQueued: number): AdmissionPolicy {
  const queue: Array<(release: Release) => void> = [];
  let head = 0;
  let running = 0;
  const release = () => {
    const next = queue[head];
    if (next === undefined) {
      running -= 1;
      return;
    }
    head += 1;
    next(release);
  };
  return {
    acquire() {
      if (running < capacity) {
        running += 1;
        return Promise.resolve(release);
      }
      if (queue.length - head >= maxQueued) return Promise.resolve(undefined);
      return new Promise(resolve => queue.push(resolve));
    },
  };
}

/** The policy of chivewick and the baselines, by name. */
export const ADMISSION_POLICIES: Record<
  string,
  (options: PolicyOptions) => AdmissionPolicy
> = {
  chivewick,
  fifo: options => fifo(options, FIFO_MAX_QUEUED),
  'no-queue-limit': options => fifo(options, Infinity),
};
