import {
  createRandom,
  createSilentLogger,
  id,
  type HostId,
} from '@chivewick/common';
import {
  createPeerNetwork,
  installSimulatedTime,
  type PeerNetwork,
  type SimulatedTime,
} from '@chivewick/stand-ins';
import {
  createMembership,
  type MemberChange,
  type Membership,
} from '../src/index.js';

/** Members in one process on simulated time. */
export interface Cluster {
  readonly hosts: HostId[];
  readonly network: PeerNetwork;
  readonly time: SimulatedTime;
  readonly members: Map<HostId, Membership>;
  /** State changes reported by all members, in order. */
  readonly changes: (MemberChange & {by: HostId})[];
  start(host: HostId): void;
  kill(host: HostId): Promise<void>;
  /** Whether every running member considers exactly these hosts live. */
  agree(live: readonly HostId[]): boolean;
  close(): Promise<void>;
}

export function createCluster(size: number, seed: number): Cluster {
  const time = installSimulatedTime();
  const random = createRandom(seed);
  const network = createPeerNetwork({random, maxDelayMs: 40});
  const members = new Map<HostId, Membership>();
  const changes: Cluster['changes'] = [];
  const hosts = Array.from({length: size}, (_, n) => id<HostId>(`host-${n}`));
  const cluster: Cluster = {
    hosts,
    network,
    time,
    members,
    changes,
    start(host) {
      const member = createMembership({
        self: host,
        peers: peers.get(host) ?? network.join(host),
        log: createSilentLogger(),
        random: createRandom(random.int(2 ** 30)),
      });
      peers.delete(host);
      member.onChange(change => changes.push({...change, by: host}));
      members.set(host, member);
    },
    async kill(host) {
      network.leave(host);
      const closed = members.get(host)?.close();
      members.delete(host);
      await time.advance(2_000);
      await closed;
    },
    agree(live) {
      const expected = [...live].sort().join();
      return [...members.values()].every(
        member => member.live().join() === expected,
      );
    },
    async close() {
      const closed = [...members.values()].map(member => member.close());
      await time.advance(5_000);
      await Promise.all(closed);
      time.uninstall();
    },
  };
  const peers = new Map(hosts.map(host => [host, network.join(host)]));
  for (const host of hosts) cluster.start(host);
  return cluster;
}
