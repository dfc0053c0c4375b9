import type {WorkspaceId} from '@chivewick/common';
import type {ObjectApi} from '@chivewick/platform';
import {
  holderKey,
  limitsKey,
  parseLimitsObject,
  type Holder,
  type LimitsObject,
} from './limits-object.js';
import type {View} from './messages.js';
import type {Remainder} from './workspace-limiter.js';

const MAX_ATTEMPTS = 5;
/** Base of the randomized retry delay of hosts that release at the same time. */
const RETRY_DELAY_MS = 40;

export interface ReleaseAllocationOptions {
  readonly platform: ObjectApi;
  readonly workspace: WorkspaceId;
  readonly holder: Holder;
  /** Lowers the allowance to the capacity in use, before anything is written. */
  readonly lower: (view: View) => Remainder | undefined;
  readonly random: () => number;
}

/**
 * Removes a host's allocation from the object, except for the capacity that
 * requests in progress use. Returns false when no attempt succeeds, for example
 * because the platform doesn't answer; the allocation is then freed like that of
 * a dead host.
 *
 * @example
 * const done = await releaseAllocation({platform, workspace, holder, lower, random});
 */
export async function releaseAllocation(
  options: ReleaseAllocationOptions,
): Promise<boolean> {
  const {platform, workspace, holder} = options;
  const key = limitsKey(workspace);
  const ownKey = holderKey(holder);
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const read = await platform.get(key);
    if (read.ok && read.value === undefined) return true;
    if (read.ok && read.value !== undefined) {
      const {version} = read.value;
      const value = parseLimitsObject(read.value.value);
      const own = value.allocations[ownKey];
      if (own === undefined) return true;
      const keep = options.lower({version, limit: value.limit, own});
      if (keep !== undefined) {
        const next = withRemainder(value, ownKey, keep);
        const outcome =
          Object.keys(next.allocations).length === 0
            ? await platform.remove(key, version)
            : await platform.put(key, next, version);
        if (outcome.kind === 'written') return true;
      }
    }
    const pauseMs = RETRY_DELAY_MS * (attempt + options.random());
    await new Promise(resolve => setTimeout(resolve, pauseMs));
  }
  return false;
}

function withRemainder(
  value: LimitsObject,
  key: string,
  keep: Remainder,
): LimitsObject {
  const {[key]: own, ...others} = value.allocations;
  if (keep.concurrency + keep.draining === 0)
    return {...value, allocations: others};
  return {...value, allocations: {...others, [key]: {...own, ...keep}}};
}
