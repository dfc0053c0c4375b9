import {pause, type HostId} from '@chivewick/common';
import type {ObjectStore} from '@chivewick/platform';

/** All hosts of a fleet start within a second or so. */
const FIRST_COUNT_MS = 3_000;
/** Hosts that join later count for the shares of limits within this time. */
const COUNT_INTERVAL_MS = 20_000;
const RETRY_MS = 1_000;

/** The number of hosts that share the endpoints. */
export interface FleetSize {
  count(): number;
}

/**
 * Registers this host in the store and counts the hosts there. Entries of hosts
 * that were removed stay and make the shares of the others smaller, never larger.
 *
 * @param leastHosts assumed until the hosts have been counted.
 * @example
 * const fleet = trackFleetSize({host, store, kind: 'hosts', leastHosts: 3, signal});
 */
export function trackFleetSize(options: {
  host: HostId;
  store: ObjectStore;
  /** Kind of the objects, one for each host. */
  kind: string;
  leastHosts: number;
  signal: AbortSignal;
}): FleetSize {
  const {host, store, kind, signal} = options;
  let hosts = options.leastHosts;

  async function run(): Promise<void> {
    for (;;) {
      const outcome = await store.put(`${kind}/${host}`, {}, 'absent');
      if (outcome.kind !== 'unknown' || signal.aborted) break;
      await pause(RETRY_MS, signal);
    }
    await pause(FIRST_COUNT_MS, signal);
    while (!signal.aborted) {
      const listed = await store.list(`${kind}/`);
      if (listed.ok) hosts = Math.max(1, listed.value.length);
      await pause(listed.ok ? COUNT_INTERVAL_MS : RETRY_MS, signal);
    }
  }

  void run();
  return {count: () => hosts};
}
