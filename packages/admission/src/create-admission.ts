import type {
  Admission,
  AdmissionClass,
  AdmissionOptions,
  AdmissionRequest,
} from './admission-api.js';
import {createClassQueue, type ClassQueue} from './class-queue.js';

const DEFAULT_MAX_QUEUED = 1_000;
/** Larger values are treated as this one, which keeps the weight above 0. */
const MAX_PRIORITY = 30;
/** Minimum time between two log events about shedding, in milliseconds. */
const SHED_LOG_INTERVAL_MS = 10_000;

/**
 * Creates the admission control of this host. Each class has its own slots and
 * queue, so a lookup never waits for a draft. Within a class, slot time is
 * divided among workspaces by weight. Each priority step halves the weight.
 *
 * @example
 * const admission = createAdmission({capacity: () => 64, log});
 * const slot = await admission.acquire({workspace, priority: 1, class: 'draft', deadlineMs: 500, signal});
 * if (slot.ok) slot.value.release();
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const {capacity, log} = options;
  const otherCapacity = options.otherCapacity ?? (() => capacity());
  const maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
  let lastLoggedMs = -Infinity;

  const weight = ({workspace, priority}: AdmissionRequest) =>
    Math.max(1, options.weight?.(workspace) ?? 1) *
    2 ** -Math.min(Math.max(priority, 0), MAX_PRIORITY);

  const onShed = (request: AdmissionRequest, retryAfterMs: number) => {
    if (performance.now() - lastLoggedMs < SHED_LOG_INTERVAL_MS) return;
    lastLoggedMs = performance.now();
    const {workspace, class: cls} = request;
    log.event('admissionOverloaded', {workspace, class: cls, retryAfterMs});
  };

  const createQueue = (cls: AdmissionClass, slots: () => number) =>
    createClassQueue({class: cls, slots, weight, maxQueued, onShed});

  const queues: Record<AdmissionClass, ClassQueue> = {
    draft: createQueue('draft', capacity),
    lookup: createQueue('lookup', () => otherCapacity('lookup')),
    call: createQueue('call', () => otherCapacity('call')),
  };
  const all = Object.values(queues);

  return {
    acquire: request => queues[request.class].acquire(request),
    refresh: () => all.forEach(queue => queue.refresh()),
    status: () => all.map(queue => queue.status()),
    close: async () => all.forEach(queue => queue.close()),
  };
}
