import type {EndpointId, HostId} from '@chivewick/common';
import type {EndpointLoad, Grant} from './types.js';

/**
 * Time without a report after which the grants of a host are dropped. Hosts
 * report every second; a host that is silent for longer has lost its callers.
 */
const HOST_TIMEOUT_MS = 5_000;

/** What a host reports about its paths. */
export interface HeldGrants {
  readonly held: readonly Grant[];
  /** Whether `held` has all grants; if not, those missing from it are kept. */
  readonly isComplete: boolean;
  /**
   * Grants with a higher id may have been made after the report was written, so the
   * report says nothing about them.
   */
  readonly through: number;
}

/** The paths that a coordinator has granted and that are still in use. */
export interface GrantTable {
  /** Adds a path. */
  add(host: HostId, grant: Grant): void;
  /** Ends grants; unknown ids are ignored. */
  release(host: HostId, ids: readonly number[]): void;
  /** Replaces what is known of a host by its report. */
  sync(host: HostId, report: HeldGrants): void;
  /** Drops the grants of hosts that have not reported for five seconds. */
  expire(): void;
  /** Load on the endpoints that are in use. */
  loads(): EndpointLoad[];
  /** Hosts whose paths use an endpoint. */
  hostsOn(endpoint: EndpointId): HostId[];
}

interface HostGrants {
  readonly grants: Map<number, Grant>;
  heardAtMs: number;
}

/**
 * Creates an empty table. Each message states a fact about one host, so messages
 * that are lost, repeated or reordered are corrected by that host's next report. A
 * wrong count only makes choices worse: no grant is needed to use an endpoint.
 *
 * @param onChange called with each change of the load on an endpoint.
 * @example
 * const grants = createGrantTable();
 * grants.add(host, {id: 7, tokens: 974, stages: [{endpoint, layers: 20}]});
 * grants.release(host, [7]);
 */
export function createGrantTable(
  onChange: (change: EndpointLoad) => void = () => {},
  now: () => number = () => performance.now(),
): GrantTable {
  const hosts = new Map<HostId, HostGrants>();

  function grantsOf(host: HostId): HostGrants {
    let entry = hosts.get(host);
    if (entry === undefined) {
      entry = {grants: new Map(), heardAtMs: now()};
      hosts.set(host, entry);
    }
    entry.heardAtMs = now();
    return entry;
  }

  function put({grants}: HostGrants, grant: Grant): void {
    drop(grants, grant.id);
    grants.set(grant.id, grant);
    notify(grant, 1);
  }

  function drop(grants: Map<number, Grant>, grantId: number): void {
    const grant = grants.get(grantId);
    if (grant === undefined) return;
    grants.delete(grantId);
    notify(grant, -1);
  }

  function notify({stages, tokens}: Grant, sign: 1 | -1): void {
    for (const [index, {endpoint, layers}] of stages.entries())
      onChange({
        endpoint,
        running: sign,
        tokenLayers: sign * tokens * layers,
        starting: index === 0 ? sign : 0,
      });
  }

  return {
    add: (host, grant) => put(grantsOf(host), grant),
    release(host, ids) {
      const {grants} = grantsOf(host);
      for (const grantId of ids) drop(grants, grantId);
    },
    sync(host, {held, isComplete, through}) {
      const entry = grantsOf(host);
      const heldIds = new Set(held.map(grant => grant.id));
      for (const grantId of [...entry.grants.keys()])
        if (isComplete && grantId <= through && !heldIds.has(grantId))
          drop(entry.grants, grantId);
      for (const grant of held) put(entry, grant);
    },
    expire() {
      const cutoffMs = now() - HOST_TIMEOUT_MS;
      for (const [host, {grants, heardAtMs}] of hosts) {
        if (heardAtMs >= cutoffMs) continue;
        for (const grantId of [...grants.keys()]) drop(grants, grantId);
        hosts.delete(host);
      }
    },
    loads() {
      const sums = new Map<EndpointId, EndpointLoad>();
      for (const {grants} of hosts.values())
        for (const {stages, tokens} of grants.values())
          for (const [index, {endpoint, layers}] of stages.entries()) {
            const sum = sums.get(endpoint);
            sums.set(endpoint, {
              endpoint,
              running: (sum?.running ?? 0) + 1,
              tokenLayers: (sum?.tokenLayers ?? 0) + tokens * layers,
              starting: (sum?.starting ?? 0) + (index === 0 ? 1 : 0),
            });
          }
      return [...sums.values()];
    },
    hostsOn: endpoint =>
      [...hosts]
        .filter(([, {grants}]) =>
          [...grants.values()].some(({stages}) =>
            stages.some(stage => stage.endpoint === endpoint),
          ),
        )
        .map(([host]) => host),
  };
}
