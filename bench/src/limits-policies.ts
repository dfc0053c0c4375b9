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

/** Gives a slot back. */
export type Release = () => void;

/** One host's part of a policy. */
export interface HostPolicy {
  /** Waits up to a second for a slot; undefined when there is none. */
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

/** The real code of `packages/limits`. */
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
  const waiting = new Set<(got: boolean) => void>();
  return {
    take: () =>
      new Promise<boolean>(resolve => {
        if (used < limit) {
          used += 1;
          resolve(true);
          return;
        }
        const settle = (got: boolean) => {
          waiting.delete(settle);
          clearTimeout(timer);
          resolve(got);
        };
        const timer = setTimeout(() => settle(false), WAIT_MS);
        waiting.add(settle);
      }),
    give() {
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
  const known = all.get(workspace) ?? createSlots(limit);
  all.set(workspace, known);
  return known;
}

/** Baseline: each host has an equal share that never changes. */
function staticShares({hosts}: HostPolicyOptions): HostPolicy {
  const all = new Map<WorkspaceId, Slots>();
  return {
    async acquire({workspace, concurrency}) {
      const share = Math.floor(concurrency / hosts.length);
      const slots = slotsOf(all, workspace, share);
      return (await slots.take()) ? () => slots.give() : undefined;
    },
    close: () => {},
  };
}

/** Baseline: every request asks the workspace's owner, which counts in memory. */
function askOwner({self, hosts, peers, lists}: HostPolicyOptions): HostPolicy {
  const all = new Map<WorkspaceId, Slots>();
  const slots = (workspace: WorkspaceId) =>
    slotsOf(all, workspace, lists.grants.get(workspace)?.concurrency ?? 0);
  peers.handle('take', (workspace: WorkspaceId) => slots(workspace).take());
  peers.handle('give', (workspace: WorkspaceId) => slots(workspace).give());
  return {
    async acquire({workspace}) {
      const owner = rendezvousOwner(workspace, hosts) ?? self;
      if (owner === self) {
        const got = await slots(workspace).take();
        return got ? () => slots(workspace).give() : undefined;
      }
      const timeoutMs = 2 * WAIT_MS;
      const got = await peers.call<boolean>(owner, 'take', workspace, {
        timeoutMs,
      });
      if (!got.ok || !got.value) return undefined;
      return () => void peers.call(owner, 'give', workspace, {timeoutMs});
    },
    close: () => {},
  };
}

/** The chosen policy and the baselines, by name. */
export const POLICIES = {
  chivewick,
  'static-shares': staticShares,
  'ask-owner': askOwner,
} satisfies Record<string, (options: HostPolicyOptions) => HostPolicy>;

export type PolicyName = keyof typeof POLICIES;
