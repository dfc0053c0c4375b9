import {pause, type HostId} from '@chivewick/common';
import {nameOfKey, type ObjectStore} from '@chivewick/platform';

/** Delay of the first listing; all hosts of a fleet start within about a second. */
const FIRST_LIST_MS = 2_000;
/**
 * Hosts that join announce themselves to those that they find in the store, so
 * the list is read again only to find hosts whose messages were lost.
 */
const LIST_INTERVAL_MS = 20_000;
/** Delay between attempts while the store does not respond. */
const RETRY_MS = 1_000;

/** A host of the fleet. */
export interface FleetHost {
  readonly id: HostId;
  /** `ip:port` for messages from other hosts. */
  readonly address: string;
}

/** The hosts that share the endpoints. */
export interface Fleet {
  /** Number of hosts, this one included. */
  count(): number;
  /** All known hosts except this one. */
  others(): FleetHost[];
  /** Adds or updates a host that has sent a message. */
  add(host: FleetHost): void;
}

/**
 * Registers this host in the store and lists the others. Entries of removed hosts
 * are kept: they make the shares of the other hosts smaller, never larger.
 *
 * @param minHosts number of hosts assumed until the hosts have been listed.
 * @example
 * const fleet = joinFleet({self, store, kind: 'hosts', minHosts: 3, signal});
 */
export function joinFleet(options: {
  self: FleetHost;
  store: ObjectStore;
  /** Kind of the store objects, one per host. */
  kind: string;
  minHosts: number;
  signal: AbortSignal;
}): Fleet {
  const {self, store, kind, signal} = options;
  const hosts = new Map<HostId, FleetHost>();
  const key = `${kind}/${self.id}`;

  /** Writes this host's address; returns whether the store now contains it. */
  async function register(): Promise<boolean> {
    const value = {address: self.address};
    const created = await store.put(key, value, 'absent');
    if (created.kind === 'written') return true;
    const found = await store.get(key);
    if (!found.ok || found.value === undefined) return false;
    if (addressOf(found.value.value) === self.address) return true;
    const replaced = await store.put(key, value, found.value.version);
    return replaced.kind === 'written';
  }

  async function run(): Promise<void> {
    while (!signal.aborted && !(await register()))
      await pause(RETRY_MS, signal);
    await pause(FIRST_LIST_MS, signal);
    while (!signal.aborted) {
      // A host missing from the first list would get no share of the retries.
      const mayBeStale = hosts.size > 0;
      const listed = await store.list(`${kind}/`, {mayBeStale});
      if (listed.ok) {
        for (const {key: name, value} of listed.value) {
          const address = addressOf(value);
          const id = nameOfKey(name) as HostId;
          if (address !== undefined) hosts.set(id, {id, address});
        }
      }
      await pause(listed.ok ? LIST_INTERVAL_MS : RETRY_MS, signal);
    }
  }

  void run();
  return {
    count: () =>
      hosts.size === 0 ? options.minHosts : Math.max(1, hosts.size),
    others: () => [...hosts.values()].filter(host => host.id !== self.id),
    add: host => void hosts.set(host.id, host),
  };
}

function addressOf(value: unknown): string | undefined {
  const address = (value as {address?: unknown} | null)?.address;
  return typeof address === 'string' ? address : undefined;
}
