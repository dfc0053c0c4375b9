import {
  createRandom,
  createSilentLogger,
  id,
  type Firm,
  type HostId,
} from '@chivewick/common';
import type {Ledger, LedgerOptions} from '@chivewick/ledger';
import {createPeers} from '@chivewick/peers';
import {
  createObjectApi,
  type HttpObjectApi,
  type ObjectApi,
} from '@chivewick/platform';
import {createServiceApi, type ServiceApi} from '@chivewick/services';
import {
  createObjectApiStandIn,
  createRunLog,
  createServiceStandIn,
  type ObjectApiStandIn,
  type RunLog,
  type ServiceStandIn,
} from '@chivewick/stand-ins';

/** Creates the ledger under measurement. */
export type CreateLedger = (options: LedgerOptions) => Ledger;

/** Hosts and their stand-ins on loopback, all in this process. */
export interface Fleet {
  readonly platform: ObjectApiStandIn;
  readonly runs: RunLog;
  readonly services: readonly ServiceStandIn[];
  size(): number;
  /** Undefined while the host is down. */
  host(host: number): FleetHost | undefined;
  /** Closes the connections of a host and starts a new host in its place. */
  killAndReplace(host: number, downMs: number): Promise<void>;
  /** Blocks all input and output of a host for a time. */
  pause(host: number, ms: number): Promise<void>;
  close(): Promise<void>;
}

export interface FleetHost {
  readonly ledger: Ledger;
  /** Settles when the host is killed. */
  readonly killed: Promise<void>;
}

interface Running extends FleetHost {
  readonly gate: Gate;
  kill(): void;
  stop(): Promise<void>;
}

/**
 * Time after which other hosts exclude an unresponsive host, like membership
 * does.
 */
const DETECTION_MS = 500;
const SERVICE_REPLICAS = 3;
const SERVICE_LATENCY_MS = 2;

/** Starts a fleet whose hosts know each other's addresses. */
export async function createFleet(
  size: number,
  create: CreateLedger,
  settings: LedgerOptions['settings'],
): Promise<Fleet> {
  const platform = await createObjectApiStandIn({});
  const runs = createRunLog();
  const services = await Promise.all(
    Array.from({length: SERVICE_REPLICAS}, () => createServiceStandIn({runs})),
  );
  for (const service of services)
    service.setFaults({latencyMs: SERVICE_LATENCY_MS});
  const ids = Array.from({length: size}, (_, n) => id<HostId>(`host-${n}`));
  const live = new Set(ids);
  const addresses = new Map<HostId, string>();
  const running: (Running | undefined)[] = [];
  const connected = new Set<Awaited<ReturnType<typeof createPeers>>>();
  const random = createRandom(1);

  async function start(host: number): Promise<void> {
    const self = ids[host];
    const gate = createGate();
    const peers = await createPeers({
      firm: id<Firm>('bench'),
      self,
      listen: addresses.get(self) ?? '127.0.0.1:0',
      addresses,
      secret: 'bench',
    });
    addresses.set(self, peers.address);
    for (const other of connected) other.setAddress(self, peers.address);
    for (const [other, address] of addresses) peers.setAddress(other, address);
    connected.add(peers);
    const api = createObjectApi({address: platform.address});
    const client = createServiceApi();
    const first = random.int(SERVICE_REPLICAS);
    const ledger = create({
      self,
      platform: gateObjects(gate, api),
      peers: {
        ...peers,
        handle: (method, handler) =>
          peers.handle(method, async (params, from) => {
            await gate.waitUntilOpen();
            const result = await handler(params as never, from);
            await gate.waitUntilOpen();
            return result;
          }),
        async call(to, method, params, options) {
          await gate.waitUntilOpen();
          const result = await peers.call(to, method, params, options);
          await gate.waitUntilOpen();
          return result as never;
        },
      },
      services: gateServices(gate, client),
      live: () => ids.filter(host => live.has(host) || host === self),
      endpoints: () => [
        ...services.slice(first).map(service => service.address),
        ...services.slice(0, first).map(service => service.address),
      ],
      log: createSilentLogger(),
      settings,
    });
    let kill = () => {};
    const killed = new Promise<void>(resolve => (kill = resolve));
    running[host] = {
      ledger,
      gate,
      killed,
      kill,
      async stop() {
        connected.delete(peers);
        await ledger.close();
        await Promise.all([peers.close(), api.close(), client.close()]);
      },
    };
    live.add(self);
  }

  for (let host = 0; host < size; host++) await start(host);
  return {
    platform,
    runs,
    services,
    size: () => size,
    host: host => running[host],
    async killAndReplace(host, downMs) {
      const killed = running[host];
      running[host] = undefined;
      killed?.gate.hold();
      killed?.kill();
      await killed?.stop();
      setTimeout(() => {
        if (running[host] === undefined) live.delete(ids[host]);
      }, DETECTION_MS);
      await sleep(downMs);
      await start(host);
    },
    async pause(host, ms) {
      const paused = running[host];
      if (paused === undefined) return;
      paused.gate.hold();
      const detection = setTimeout(() => live.delete(ids[host]), DETECTION_MS);
      await sleep(ms);
      clearTimeout(detection);
      live.add(ids[host]);
      paused.gate.release();
    },
    async close() {
      await Promise.all(running.map(host => host?.stop()));
      await Promise.all(services.map(service => service.close()));
      await platform.close();
    },
  };
}

/** Blocks operations of a host while it is held. */
interface Gate {
  waitUntilOpen(): Promise<void>;
  hold(): void;
  release(): void;
}

function createGate(): Gate {
  let held = false;
  let waiting: (() => void)[] = [];
  return {
    waitUntilOpen: () =>
      held ? new Promise(resolve => waiting.push(resolve)) : Promise.resolve(),
    hold: () => void (held = true),
    release() {
      held = false;
      const waiters = waiting;
      waiting = [];
      for (const wake of waiters) wake();
    },
  };
}

function gateObjects(gate: Gate, api: HttpObjectApi): ObjectApi {
  const gated = async <T>(operation: () => Promise<T>): Promise<T> => {
    await gate.waitUntilOpen();
    const result = await operation();
    await gate.waitUntilOpen();
    return result;
  };
  return {
    ...api,
    get: key => gated(() => api.get(key)),
    put: (key, value, expected) => gated(() => api.put(key, value, expected)),
    remove: (key, expected) => gated(() => api.remove(key, expected)),
  };
}

function gateServices(gate: Gate, client: ServiceApi): ServiceApi {
  return {
    async call(address, call, options) {
      await gate.waitUntilOpen();
      const outcome = await client.call(address, call, options);
      await gate.waitUntilOpen();
      return outcome;
    },
  };
}

/** Waits for `ms` milliseconds in real time. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
