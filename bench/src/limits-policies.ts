import {
  createRandom,
  createSilentLogger,
  rendezvousOwner,
  type HostId,
  type Random,
  type WorkspaceGrant,
  type WorkspaceId,
} from '@chivewick/common';
import {createLimits, type LimitsLists} from '@chivewick/limits';
import type {Peers} from '@chivewick/peers';
import type {ObjectApi} from '@chivewick/platform';

/** Releases a slot. */
export type Release = () => void;

/** A policy as one host runs it. */
export interface HostPolicy {
  /** Waits up to a second for a slot; resolves to undefined without one. */
  acquire(grant: WorkspaceGrant, tokens: number): Promise<Release | undefined>;
  close(): void;
}

export interface HostPolicyOptions {
  readonly self: HostId;
  readonly hosts: readonly HostId[];
  readonly peers: Peers;
  readonly platform: ObjectApi;
  readonly lists: LimitsLists;
  readonly random: Random;
}

const WAIT_MS = 1_000;

/** The production code of `packages/limits`. */
function chivewick(options: HostPolicyOptions): HostPolicy {
  const limits = createLimits({
    ...options,
    live: () => options.hosts,
    lists: () => options.lists,
    log: createSilentLogger(),
    random: createRandom(options.random.int(2 ** 31)),
  });
  return {
    async acquire(grant, tokens) {
      const permit = await limits.acquire(
        grant,
        tokens,
        new AbortController().signal,
      );
      if (!permit.ok) return undefined;
      permit.value.recordTokens(tokens);
      return () => permit.value.release();
    },
    close: () => void limits.close(),
  };
}

/** Slots of one workspace, with a queue of requests that wait for one. */
function createSlots(limit: number) {
  let used = 0;
  const waiting = new Set<(acquired: boolean) => void>();
  return {
    acquire: () =>
      new Promise<boolean>(resolve => {
        if (used < limit) {
          used += 1;
          resolve(true);
          return;
        }
        const settle = (acquired: boolean) => {
          waiting.delete(settle);
          clearTimeout(timer);
          resolve(acquired);
        };
        const timer = setTimeout(() => settle(false), WAIT_MS);
        waiting.add(settle);
      }),
    release() {
      const [next] = waiting;
      if (next === undefined) used -= 1;
      else next(true);
    },
  };
}

type Slots = ReturnType<typeof createSlots>;

function slotsOf(
  all: Map<WorkspaceId, Slots>,
  workspace: WorkspaceId,
  limit: number,
): Slots {
  const slots = all.get(workspace) ?? createSlots(limit);
  all.set(workspace, slots);
  return slots;
}

/** Baseline: each host has an equal share that never changes. */
function staticShares({hosts}: HostPolicyOptions): HostPolicy {
  const all = new Map<WorkspaceId, Slots>();
  return {
    async acquire({workspace, concurrency}) {
      const share = Math.floor(concurrency / hosts.length);
      const slots = slotsOf(all, workspace, share);
      return (await slots.acquire()) ? () => slots.release() : undefined;
    },
    close: () => {},
  };
}

/**
 * Baseline: every request calls the owner of the workspace, which counts in
 * memory.
 */
function callOwner({self, hosts, peers, lists}: HostPolicyOptions): HostPolicy {
  const all = new Map<WorkspaceId, Slots>();
  const slots = (workspace: WorkspaceId) =>
    slotsOf(all, workspace, lists.grants.get(workspace)?.concurrency ?? 0);
  peers.handle('take', (workspace: WorkspaceId) => slots(workspace).acquire());
  peers.handle('give', (workspace: WorkspaceId) => slots(workspace).release());
  return {
    async acquire({workspace}) {
      const owner = rendezvousOwner(workspace, hosts) ?? self;
      if (owner === self) {
        const acquired = await slots(workspace).acquire();
        return acquired ? () => slots(workspace).release() : undefined;
      }
      const timeoutMs = 2 * WAIT_MS;
      const acquired = await peers.call<boolean>(owner, 'take', workspace, {
        timeoutMs,
      });
      if (!acquired.ok || !acquired.value) return undefined;
      return () => void peers.call(owner, 'give', workspace, {timeoutMs});
    },
    close: () => {},
  };
}

/** The policy of chivewick and the baselines, by name. */
export const POLICIES = {
  chivewick,
  'static-shares': staticShares,
  'ask-owner': callOwner,
} satisfies Record<string, (options: HostPolicyOptions) => HostPolicy>;

export type PolicyName = keyof typeof POLICIES;
