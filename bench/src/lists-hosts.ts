import {
  createRandom,
  createSilentLogger,
  id,
  type FailureDomain,
  type Firm,
  type HostId,
} from '@chivewick/common';
import {createLists, type Lists} from '@chivewick/lists';
import {createMembership, type Membership} from '@chivewick/membership';
import {createPeers, type ListeningPeers, type Peers} from '@chivewick/peers';
import {createObjectApi, type ObjectApi} from '@chivewick/platform';

/** A host of a bench in this process; hosts connect over TCP on loopback. */
export interface BenchHost {
  readonly id: HostId;
  readonly peers: ListeningPeers;
  readonly membership: Membership;
  readonly lists?: Lists;
  /** Bytes of list values that this host read from the platform. */
  readonly platformBytes: () => number;
  close(): Promise<void>;
}

/** Failure domains of each firm today. */
const DOMAINS = 3;

/**
 * Starts the peers of some hosts that know each other's addresses.
 *
 * @example
 * const all = await startPeers(8);
 */
export async function startPeers(size: number): Promise<ListeningPeers[]> {
  const starting = Array.from({length: size}, (_, n) =>
    createPeers({
      firm: id<Firm>('diocese'),
      self: id<HostId>(`host-${n}`),
      listen: '127.0.0.1:0',
      addresses: new Map(),
      secret: 'a shared secret for benches',
    }),
  );
  const all = await Promise.all(starting);
  for (const peers of all)
    for (const other of all)
      if (other !== peers) peers.setAddress(other.self, other.address);
  return all;
}

/**
 * Starts hosts with membership and lists on one platform.
 *
 * @example
 * const hosts = await startListHosts(8, platform.address);
 */
export async function startListHosts(
  size: number,
  platformAddress: string,
): Promise<BenchHost[]> {
  const all = await startPeers(size);
  const log = createSilentLogger();
  const domainOf = (host: HostId) =>
    id<FailureDomain>(`domain-${Number(host.slice(5)) % DOMAINS}`);
  const hosts = all.map((peers): BenchHost => {
    const api = createObjectApi({address: platformAddress});
    const counted = countBytes(api);
    const random = createRandom(Number(peers.self.slice(5)) + 1);
    const membership = createMembership({self: peers.self, peers, log, random});
    const lists = createLists({
      self: peers.self,
      firm: id<Firm>('diocese'),
      failureDomain: domainOf(peers.self),
      platform: counted.api,
      peers,
      membership,
      log,
      random,
      domainOf,
    });
    return {
      id: peers.self,
      peers,
      membership,
      lists,
      platformBytes: counted.bytes,
      async close() {
        await Promise.all([lists.close(), membership.close()]);
        await Promise.all([peers.close(), api.close()]);
      },
    };
  });
  await Promise.all(hosts.map(host => host.lists?.start()));
  return hosts;
}

/**
 * Connects every pair of hosts, so that figures do not depend on how many
 * pairs were connected before.
 *
 * @example
 * await connectAll(hosts.map(host => host.peers));
 */
export async function connectAll(all: readonly Peers[]): Promise<void> {
  for (const peers of all) {
    const others = all.filter(other => other.self > peers.self);
    await Promise.all(
      others.map(other =>
        peers.call(other.self, 'bench.none', {}, {timeoutMs: 5_000}),
      ),
    );
  }
}

/**
 * Returns the bytes that both hosts of a pair send in total to connect, without
 * the first call.
 *
 * @example
 * const setup = await connectionBytes();
 */
export async function connectionBytes(): Promise<number> {
  const [a, b] = await startPeers(2);
  const total = () => a.bytes().sent + b.bytes().sent;
  await connectAll([a, b]);
  const first = total();
  await connectAll([a, b]);
  const second = total() - first;
  await Promise.all([a.close(), b.close()]);
  return first - second;
}

function countBytes(api: ObjectApi): {api: ObjectApi; bytes: () => number} {
  let bytes = 0;
  const count = (value: unknown) =>
    void (bytes += JSON.stringify(value)?.length ?? 0);
  return {
    bytes: () => bytes,
    api: {
      ...api,
      async get(key) {
        const read = await api.get(key);
        if (read.ok) count(read.value);
        return read;
      },
      async *watch(prefix, since, signal) {
        for await (const change of api.watch(prefix, since, signal)) {
          count(change);
          yield change;
        }
      },
    },
  };
}

/**
 * Fits `y = a + b * x` by least squares.
 *
 * @example
 * const {at, slope} = fitLine([[8, 310], [16, 318]]);
 * at(2_500);
 */
export function fitLine(points: readonly (readonly [number, number])[]): {
  slope: number;
  at(x: number): number;
} {
  const mean = (pick: 0 | 1) =>
    points.reduce((sum, point) => sum + point[pick], 0) / points.length;
  const [x, y] = [mean(0), mean(1)];
  const sumXy = points.reduce((sum, p) => sum + (p[0] - x) * (p[1] - y), 0);
  const sumXx = points.reduce((sum, p) => sum + (p[0] - x) ** 2, 0);
  const slope = sumXx === 0 ? 0 : sumXy / sumXx;
  return {slope, at: value => y + slope * (value - x)};
}

/**
 * Waits in real time.
 *
 * @example
 * await pause(1_000);
 */
export function pause(ms: number): Promise<void> {
  return new Promise(resolve => void setTimeout(resolve, ms));
}

/**
 * Waits until a condition holds, checked every 2 ms. Resolves to the elapsed
 * time in milliseconds, or undefined if `timeoutMs` passed first.
 *
 * @example
 * const tookMs = await waitFor(() => hosts.every(hasVersion), 10_000);
 */
export async function waitFor(
  condition: () => boolean,
  timeoutMs: number,
): Promise<number | undefined> {
  const startedMs = performance.now();
  while (!condition()) {
    if (performance.now() - startedMs > timeoutMs) return undefined;
    await pause(2);
  }
  return performance.now() - startedMs;
}
