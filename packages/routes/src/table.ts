import {
  failure,
  rendezvousOrder,
  type EndpointId,
  type HostId,
  type Logger,
  type Random,
} from '@chivewick/common';
import type {EngineApi} from '@chivewick/engines';
import {createDirectory} from './directory.js';
import {isLeaving, isUsable, type Endpoint} from './endpoint.js';
import {startPoller, type Poller} from './poller.js';
import type {EndpointView, HostListEntry, RouteTable} from './types.js';

/** Default maximum number of endpoints that one host polls. */
const SUBSET_SIZE = 64;
const POLL_INTERVAL_MS = 1000;
/**
 * Limit over all endpoints. With a report lag of 2 s goodput is 0.906 of the bound,
 * with 4 s it is 0.858, so a host with 64 endpoints polls each every 2.1 s.
 */
const MAX_POLLS_PER_SECOND = 30;
/** Cache events affect routes less than load does, so not every poll reads them. */
const POLLS_PER_EVENT_READ = 4;
const POLL_TIMEOUT_MS = 500;

/** Options of a route table. */
export interface RouteTableOptions {
  readonly self: HostId;
  readonly engines: EngineApi;
  readonly random: Random;
  readonly log: Logger;
  /** Maximum number of endpoints to poll; 64 by default. */
  readonly subsetSize?: number;
  /** Minimum time between polls of an endpoint; 1000 by default. */
  readonly pollIntervalMs?: number;
}

/**
 * Creates the route table of this host. A separate task polls each endpoint of the
 * subset that this host selects; routes are chosen from endpoints whose status is
 * known.
 *
 * @example
 * const routes = createRouteTable({self, engines: createEngineApi(), random, log});
 * hostList.onChange(entries => routes.update(entries));
 * const route = routes.choose({model, version, layers: 24, adapter: '', prompt, exclude: new Set()});
 */
export function createRouteTable(options: RouteTableOptions): RouteTable {
  const {self, engines, random, log} = options;
  const subsetSize = options.subsetSize ?? SUBSET_SIZE;
  const minIntervalMs = options.pollIntervalMs ?? POLL_INTERVAL_MS;
  const directory = createDirectory({
    random,
    now: () => performance.now(),
    breakerOpened: endpoint => log.event('breakerOpened', {endpoint}),
  });
  const pollers = new Map<EndpointId, Poller>();
  const stopping = new Set<Promise<void>>();

  function update(entries: readonly HostListEntry[]): void {
    const ownEntry = entries.find(
      ({id, kind}) => kind === 'host' && id === self,
    );
    if (ownEntry !== undefined)
      directory.setLocalDomain(ownEntry.failureDomain);
    const selected = selectSubset(entries);
    for (const known of [...pollers.keys()])
      if (!selected.has(known)) untrackEndpoint(known);
    for (const [endpointId, entry] of selected)
      trackEndpoint(endpointId, entry);
  }

  function selectSubset(
    entries: readonly HostListEntry[],
  ): Map<EndpointId, HostListEntry> {
    const byId = new Map(
      entries
        .filter(({kind}) => kind === 'endpoint')
        .map(entry => [entry.id as EndpointId, entry]),
    );
    const order = rendezvousOrder(self, [...byId.keys()]);
    return new Map(
      order
        .slice(0, subsetSize)
        .map(key => [key, byId.get(key) as HostListEntry]),
    );
  }

  function trackEndpoint(endpointId: EndpointId, entry: HostListEntry): void {
    const listedLeaving = entry.state === 'leaving';
    if (directory.get(endpointId)?.address === entry.address) {
      directory.setListedLeaving(endpointId, listedLeaving);
      return;
    }
    untrackEndpoint(endpointId);
    const {address, failureDomain} = entry;
    directory.add({id: endpointId, address, failureDomain, listedLeaving});
    let polls = 0;
    const poller = startPoller({
      intervalMs,
      random,
      poll: () => poll(endpointId, address, polls++),
    });
    pollers.set(endpointId, poller);
  }

  function untrackEndpoint(endpointId: EndpointId): void {
    const stopped = pollers.get(endpointId)?.stop();
    pollers.delete(endpointId);
    directory.remove(endpointId);
    if (stopped === undefined) return;
    stopping.add(stopped);
    void stopped.then(() => stopping.delete(stopped));
  }

  function intervalMs(): number {
    return Math.max(
      minIntervalMs,
      (1000 * pollers.size) / MAX_POLLS_PER_SECOND,
    );
  }

  async function poll(
    endpointId: EndpointId,
    address: string,
    pollIndex: number,
  ): Promise<void> {
    const res = await engines.status(address, POLL_TIMEOUT_MS);
    const endpoint = directory.get(endpointId);
    if (endpoint?.address !== address) return;
    if (!res.ok) return directory.pollFailed(endpointId, res.err);
    if (res.value.endpoint !== endpointId) {
      const message = `${address} reports itself as ${res.value.endpoint}`;
      const err = failure('endpoint_failed', message);
      return directory.pollFailed(endpointId, err);
    }
    directory.report(res.value);
    if (pollIndex % POLLS_PER_EVENT_READ !== 0) return;
    const events = await engines.cacheEvents(address, endpoint.cache.cursor);
    if (events.ok) directory.cacheEvents(endpointId, events.value);
  }

  return {
    update,
    choose: directory.choose,
    observe: directory.observe,
    endpoints: () => [...directory.all()].map(toView),
    async close() {
      for (const known of [...pollers.keys()]) untrackEndpoint(known);
      await Promise.all(stopping);
    },
  };
}

function toView(endpoint: Endpoint): EndpointView {
  const {id, address, failureDomain, failed, ownRunning, status} = endpoint;
  return {
    id,
    address,
    failureDomain,
    usable: isUsable(endpoint),
    leaving: isLeaving(endpoint),
    failed,
    ownRunning,
    status,
  };
}
