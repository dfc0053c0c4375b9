import assert from 'node:assert/strict';
import {
  createRandom,
  id,
  type FailureDomain,
  type Firm,
  type HostId,
  type Logger,
} from '@chivewick/common';
import {createMembership, type Membership} from '@chivewick/membership';
import {
  createPeerNetwork,
  installSimulatedTime,
  type PeerNetwork,
  type SimulatedTime,
} from '@chivewick/stand-ins';
import {createLists, type Lists} from '../src/index.js';
import type {ListVersions} from '../src/lists-api.js';
import {isAtLeast} from '../src/versions.js';
import {createFakePlatform, type FakePlatform} from './fake-platform.js';

/** Test harness: several hosts with lists in one process, on simulated time. */
export interface Cluster {
  readonly hosts: HostId[];
  readonly time: SimulatedTime;
  readonly network: PeerNetwork;
  readonly platform: FakePlatform;
  readonly running: Map<HostId, {lists: Lists; membership: Membership}>;
  /** Adoptions that lowered a version; must stay empty. */
  readonly decreases: {host: HostId; from: ListVersions; to: ListVersions}[];
  readonly events: {host: HostId; name: string}[];
  start(host: HostId): void;
  stop(host: HostId): Promise<void>;
  versions(host: HostId): ListVersions | undefined;
  /** Advances time until these versions are in effect on every given host. */
  waitForVersions(
    versions: ListVersions,
    hosts?: readonly HostId[],
  ): Promise<void>;
  storedVersions(): ListVersions;
  close(): Promise<void>;
}

/** Simulated time within which a change must reach all connected hosts. */
const MAX_CONVERGENCE_MS = 30_000;

export const PLAN = {
  models: ['rota-draft', 'rota-draft:formal'],
  services: ['bookings'],
  priority: 1,
  concurrency: 8,
  tokensPerSecond: 400,
};
export const ENTITLEMENTS = {
  models: {'rota-draft': {version: 'v1', layers: 24, adapters: ['formal']}},
  services: {bookings: {repeatable: true, nonRepeatablePaths: ['/slots']}},
  plans: {parish: PLAN},
};

/** Plans with `count` workspaces `ws-N`; `ws-0` has the given plan. */
export function plansOf(count: number, plan = 'parish') {
  const workspaces = Array.from({length: count}, (_, n) => {
    const key = (n + 1).toString(16).padStart(64, '0');
    return [`ws-${n}`, {plan: n === 0 ? plan : 'parish', keys: [key]}] as const;
  });
  return {workspaces: Object.fromEntries(workspaces)};
}

export function entitlementsWith(...plans: string[]) {
  const entries = plans.map(plan => [plan, PLAN] as const);
  return {
    ...ENTITLEMENTS,
    plans: {parish: PLAN, ...Object.fromEntries(entries)},
  };
}

export function createCluster(
  size: number,
  options: {seed?: number; domains?: number; duplicates?: number} = {},
): Cluster {
  const time = installSimulatedTime();
  const random = createRandom(options.seed ?? 3);
  const {duplicates} = options;
  const network = createPeerNetwork({random, maxDelayMs: 40, duplicates});
  const platform = createFakePlatform(random);
  const hosts = Array.from({length: size}, (_, n) => id<HostId>(`host-${n}`));
  const running: Cluster['running'] = new Map();
  const decreases: Cluster['decreases'] = [];
  const events: Cluster['events'] = [];
  const peers = new Map(hosts.map(host => [host, network.join(host)]));

  function start(host: HostId): void {
    const hostPeers = peers.get(host) ?? network.join(host);
    peers.delete(host);
    const log: Logger = {
      event: name => void events.push({host, name}),
      child: () => log,
    };
    const newRandom = () => createRandom(random.int(2 ** 30));
    const membership = createMembership({
      self: host,
      peers: hostPeers,
      log,
      random: newRandom(),
    });
    const domain = hosts.indexOf(host) % (options.domains ?? 3);
    const lists = createLists({
      self: host,
      firm: id<Firm>('diocese'),
      failureDomain: id<FailureDomain>(`domain-${domain}`),
      platform: platform.api(host),
      peers: hostPeers,
      membership,
      log,
      random: newRandom(),
    });
    lists.onChange((after, before) => {
      if (before === undefined) return;
      // Collected, because an exception thrown here would only reach the log.
      if (!isAtLeast(after.versions, before.versions))
        decreases.push({host, from: before.versions, to: after.versions});
    });
    running.set(host, {lists, membership});
    void lists.start();
  }

  async function stop(host: HostId): Promise<void> {
    const node = running.get(host);
    if (node === undefined) return;
    network.leave(host);
    running.delete(host);
    const closed = [node.lists.close(), node.membership.close()];
    await time.advance(8_000);
    await Promise.all(closed);
  }

  const versions = (host: HostId) =>
    running.get(host)?.lists.snapshot()?.versions;

  const cluster: Cluster = {
    hosts,
    time,
    network,
    platform,
    running,
    decreases,
    events,
    start,
    stop,
    versions,
    async waitForVersions(expected, on = [...running.keys()]) {
      const hasExpected = (host: HostId) => {
        const held = versions(host);
        return (
          held?.plans === expected.plans &&
          held.entitlements === expected.entitlements
        );
      };
      if (
        await time.advanceUntil(() => on.every(hasExpected), MAX_CONVERGENCE_MS)
      )
        return;
      const rows = on.map(host => [host, versions(host)]);
      assert.deepEqual(
        rows,
        on.map(host => [host, expected]),
      );
    },
    storedVersions: () => ({
      plans: platform.get('plans')?.version ?? 0,
      entitlements: platform.get('entitlements')?.version ?? 0,
    }),
    async close() {
      const nodes = [...running.values()];
      const closed = nodes.flatMap(node => [
        node.lists.close(),
        node.membership.close(),
      ]);
      await time.advance(12_000);
      await Promise.all(closed);
      time.uninstall();
    },
  };
  return cluster;
}

/** Runs a test on a cluster in which every host has loaded valid lists. */
export async function withCluster(
  size: number,
  run: (cluster: Cluster) => Promise<void>,
  options: Parameters<typeof createCluster>[1] = {},
): Promise<void> {
  const cluster = createCluster(size, options);
  try {
    cluster.platform.write('entitlements', ENTITLEMENTS);
    cluster.platform.write('plans', plansOf(3));
    for (const host of cluster.hosts) cluster.start(host);
    await cluster.waitForVersions({plans: 2, entitlements: 1});
    await run(cluster);
    assert.deepEqual(cluster.decreases, []);
  } finally {
    await cluster.close();
  }
}

/** Plans that refer to a plan that does not exist. */
export const INVALID = {workspaces: {'ws-0': {plan: 'none', keys: []}}};

export const status = (cluster: Cluster, host: HostId) =>
  cluster.running.get(host)?.lists.status();
export const confirmed = (cluster: Cluster, host: HostId) =>
  cluster.running.get(host)?.lists.confirmed();
