import type {HostId} from '@chivewick/common';
import {
  holderKey,
  type Allocation,
  type LimitsObject,
} from './limits-object.js';

/** Maximum time until a removal reaches every host's list, in milliseconds. */
const MAX_LAG_MS = 30_000;
/** Maximum gap between observations of a continuous absence, in milliseconds. */
const MAX_OBSERVATION_GAP_MS = 10_000;

interface Absence {
  readonly touch: number;
  sinceMs: number;
  observedMs: number;
}

/** Decides when the allocation of a dead holder may be freed. */
export interface AbsenceTracker {
  /** Records which holders of an object are absent now. */
  observe(object: LimitsObject): void;
  /** Records that a host has answered under another incarnation. */
  markReplaced(key: string): void;
  /** Whether the holder can no longer have a request in progress. */
  expired(allocation: Allocation): boolean;
}

/**
 * Creates the tracker. A holder that is missing from the host list starts no
 * requests, and its last one ends within the maximum request duration. So its
 * allocation may be freed once it has been absent at every observation, with an
 * unchanged `touch`, for that duration plus the maximum lag of the list.
 *
 * @param listed hosts in the platform's host list.
 * @param maxRequestMs maximum request duration, in milliseconds.
 * @example
 * const absence = createAbsenceTracker(() => hostIds, 600_000);
 */
export function createAbsenceTracker(
  listed: () => readonly HostId[],
  maxRequestMs: number,
): AbsenceTracker {
  const absences = new Map<string, Absence>();
  const replacedKeys = new Set<string>();

  const isAbsent = (allocation: Allocation, hosts: ReadonlySet<HostId>) =>
    !hosts.has(allocation.host) || replacedKeys.has(holderKey(allocation));

  const record = (allocation: Allocation, absent: boolean) => {
    const key = holderKey(allocation);
    if (!absent) {
      absences.delete(key);
      return;
    }
    const now = performance.now();
    const known = absences.get(key);
    const continuous =
      known?.touch === allocation.touch &&
      now - known.observedMs <= MAX_OBSERVATION_GAP_MS;
    if (continuous) known.observedMs = now;
    else {
      const {touch} = allocation;
      absences.set(key, {touch, sinceMs: now, observedMs: now});
    }
  };

  return {
    observe(object) {
      const hosts = new Set(listed());
      for (const allocation of Object.values(object.allocations)) {
        record(allocation, isAbsent(allocation, hosts));
      }
    },
    markReplaced: key => void replacedKeys.add(key),
    expired(allocation) {
      const absence = absences.get(holderKey(allocation));
      if (absence?.touch !== allocation.touch) return false;
      return performance.now() - absence.sinceMs >= maxRequestMs + MAX_LAG_MS;
    },
  };
}
