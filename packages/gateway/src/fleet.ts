import {
  isIpAddress,
  pause,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
import type {RankedHost} from '@chivewick/coordination';
import {isDeepStrictEqual} from 'node:util';
import {nameOfKey, type ObjectStore} from '@chivewick/platform';

/** Delay of the first listing; all hosts of a fleet start within about a second. */
const FIRST_LIST_MS = 2_000;
/**
 * Hosts that join announce themselves to those that they find in the store, so
 * the list is read again only to find hosts whose messages were lost.
 */
const LIST_INTERVAL_MS = 20_000;
/** Time after which a host does without the others; callers wait for it. */
const READY_TIMEOUT_MS = 3_000;
/** Delay between attempts while the store does not respond. */
const RETRY_MS = 1_000;

/** A host of the fleet. */
export interface FleetHost extends RankedHost {
  /** `ip:port` for messages from other hosts. */
  readonly address: string;
  /** `ip:port` of its tunnel server; undefined if it has none. */
  readonly tunnelAddress?: string;
}

/** The hosts that share the endpoints. */
export interface Fleet {
  /** Number of hosts, this one included. */
  count(): number;
  /** All known hosts except this one. */
  others(): FleetHost[];
  /** Failure domains of the deployment and of the known hosts. */
  domains(): FailureDomain[];
  /** Whether the hosts have been listed. */
  isKnown(): boolean;
  /** Resolves once the hosts are known, or the store does not list them in time. */
  ready(): Promise<void>;
  /** Adds or updates a host that has sent a message. */
  add(host: FleetHost): void;
}

/**
 * Registers this host in the store and lists the others. Entries of removed hosts
 * are kept: they make the shares of the other hosts smaller, never larger.
 *
 * @param minHosts number of hosts assumed until the hosts have been listed.
 * @example
 * const fleet = joinFleet({self, store, kind: 'hosts', minHosts: 3, isFirstStart: false, domains, signal});
 */
export function joinFleet(options: {
  self: FleetHost;
  store: ObjectStore;
  /** Kind of the store objects, one per host. */
  kind: string;
  minHosts: number;
  /** Whether all hosts of the fleet start now. */
  isFirstStart: boolean;
  /** Failure domains of the deployment, as far as the settings name them. */
  domains: readonly FailureDomain[];
  signal: AbortSignal;
}): Fleet {
  const {self, store, kind, signal} = options;
  const hosts = new Map<HostId, FleetHost>();
  const key = `${kind}/${self.id}`;
  let isKnown = false;

  /** Writes this host's address; returns whether the store now contains it. */
  async function register(): Promise<boolean> {
    const {address, failureDomain, cores, tunnelAddress} = self;
    const value = {address, failureDomain, cores, tunnelAddress};
    const created = await store.put(key, value, 'absent');
    if (created.kind === 'written') return true;
    const found = await store.get(key);
    if (!found.ok || found.value === undefined) return false;
    if (isDeepStrictEqual(found.value.value, value)) return true;
    const replaced = await store.put(key, value, found.value.version);
    return replaced.kind === 'written';
  }

  /** Whether the listed entry of this host is the current one. */
  function isRegistered(): boolean {
    return isDeepStrictEqual(hosts.get(self.id), self);
  }

  async function list(mayBeStale: boolean): Promise<boolean> {
    const listed = await store.list(`${kind}/`, {mayBeStale});
    if (!listed.ok) return false;
    for (const {key: name, value} of listed.value) {
      const host = decode(nameOfKey(name) as HostId, value);
      if (host !== undefined) hosts.set(host.id, host);
    }
    return true;
  }

  async function run(): Promise<void> {
    if (!options.isFirstStart && (await list(true))) becomeReady();
    while (!signal.aborted && !isRegistered() && !(await register()))
      await pause(RETRY_MS, signal);
    if (options.isFirstStart) await pause(FIRST_LIST_MS, signal);
    while (!signal.aborted) {
      // A host that starts late would be missing from a stale first list.
      if (isKnown) await pause(LIST_INTERVAL_MS, signal);
      const succeeded = await list(isKnown);
      if (succeeded) becomeReady();
      else await pause(RETRY_MS, signal);
    }
  }

  function becomeReady(): void {
    isKnown = true;
    resolveReady();
  }

  let resolveReady: () => void = () => {};
  const ready = new Promise<void>(resolve => (resolveReady = resolve));
  setTimeout(resolveReady, READY_TIMEOUT_MS).unref();
  void run();
  return {
    count: () =>
      hosts.size === 0 ? options.minHosts : Math.max(1, hosts.size),
    others: () => [...hosts.values()].filter(host => host.id !== self.id),
    domains: () => [
      ...new Set([
        ...options.domains,
        self.failureDomain,
        ...[...hosts.values()].map(host => host.failureDomain),
      ]),
    ],
    isKnown: () => isKnown,
    ready: () => ready,
    add: host => void hosts.set(host.id, host),
  };
}

/** Returns undefined for an entry that another version or writer has left. */
function decode(id: HostId, value: unknown): FleetHost | undefined {
  const {address, failureDomain, cores, tunnelAddress} = (value ??
    {}) as Partial<FleetHost>;
  if (typeof address !== 'string' || typeof failureDomain !== 'string')
    return undefined;
  // Sending to a port that is out of range throws.
  if (!isIpAddress(address) || typeof cores !== 'number') return undefined;
  return typeof tunnelAddress === 'string' && isIpAddress(tunnelAddress)
    ? {id, address, failureDomain, cores, tunnelAddress}
    : {id, address, failureDomain, cores};
}
