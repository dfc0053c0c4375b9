import type {EndpointId, HostId, Logger} from '@chivewick/common';
import {createSocket, type Socket} from 'node:dgram';
import type {EndpointTable} from './endpoint-table.js';
import type {Fleet} from './fleet.js';

/** Interval between reports in a small fleet; far shorter than a stream lasts. */
const MIN_INTERVAL_MS = 250;
/** Reports that each host receives per second, independent of the fleet size. */
const MESSAGES_PER_S = 100;
/** A host's load is dropped after this many intervals without a report. */
const MAX_MISSED_INTERVALS = 5;
const METHOD = 'load.report';

/** Requests in progress on an endpoint, and the KV cache that they hold there. */
type LoadEntry = readonly [
  endpoint: EndpointId,
  running: number,
  /** Tokens times layers. */
  heldTokenLayers: number,
];

interface LoadReport {
  readonly host: HostId;
  readonly address: string;
  readonly load: readonly LoadEntry[];
  /** Streams that the host has started since its previous report. */
  readonly started: number;
  /** Fencing number; set only by the host that holds the order lease. */
  readonly fence?: number;
}

interface PeerLoad {
  readonly load: readonly LoadEntry[];
  readonly started: number;
  readonly atMs: number;
}

/** Exchanges between hosts the load that each puts on the endpoints. */
export interface LoadExchange {
  /** Number of hosts whose load is currently unknown. */
  missingHosts(): number;
  /** Counts a stream that this host starts. */
  streamStarted(): void;
  /**
   * Streams that all other hosts start between two of their reports: that many
   * are placed without knowledge of each other.
   */
  unseenStarts(): number;
  /** Time since another host last reported that it holds the order lease. */
  sinceHolderSeenMs(): number;
  close(): void;
}

/**
 * Sends this host's load to all others and keeps theirs in the table, using JSON-RPC
 * notifications over UDP; a lost datagram is superseded by the next one. Without
 * the exchange each host would see only its own requests, and all hosts would
 * choose the same endpoints. Rejects if the address cannot be bound.
 *
 * @example
 * const exchange = await startLoadExchange({self, fleet, table, log});
 */
export async function startLoadExchange(options: {
  self: {id: HostId; address: string};
  fleet: Fleet;
  table: EndpointTable;
  log: Logger;
  /** Fencing number; undefined unless this host holds the order lease. */
  fence: () => number | undefined;
}): Promise<LoadExchange> {
  const {self, fleet, table, log} = options;
  let holderSeenAtMs = -Infinity;
  const peerLoads = new Map<HostId, PeerLoad>();
  const socket: Socket = createSocket('udp4');
  const [ip, port] = self.address.split(':');
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(Number(port), ip, resolve);
  });
  socket.on('error', err =>
    log.event('loadExchangeFailed', {message: err.message}),
  );
  socket.on('message', bytes => {
    const report = decode(bytes);
    if (report === undefined || report.host === self.id) return;
    fleet.add({id: report.host, address: report.address});
    if (report.fence !== undefined) holderSeenAtMs = performance.now();
    const {load, started} = report;
    peerLoads.set(report.host, {load, started, atMs: performance.now()});
  });

  const intervalMs = () =>
    Math.max(MIN_INTERVAL_MS, (1_000 * fleet.count()) / MESSAGES_PER_S);
  let timer = setTimeout(tick, intervalMs());
  let started = 0;
  let unseen = 0;

  function tick(): void {
    send();
    aggregate();
    timer = setTimeout(tick, intervalMs());
  }

  function send(): void {
    const load = table
      .all()
      .filter(state => state.running > 0)
      .map(
        state =>
          [state.record.id, state.running, state.heldTokenLayers] as const,
      );
    const {id, address: own} = self;
    const fence = options.fence();
    const params: LoadReport = {host: id, address: own, load, started, fence};
    started = 0;
    const bytes = Buffer.from(
      JSON.stringify({jsonrpc: '2.0', method: METHOD, params}),
    );
    for (const {address} of fleet.others()) {
      const [toIp, toPort] = address.split(':');
      socket.send(bytes, Number(toPort), toIp, err => {
        if (err) log.event('loadExchangeFailed', {message: err.message});
      });
    }
  }

  /** Sums the loads of the hosts that have reported recently. */
  function aggregate(): void {
    const cutoffMs = performance.now() - MAX_MISSED_INTERVALS * intervalMs();
    for (const state of table.all()) {
      state.othersRunning = 0;
      state.othersTokenLayers = 0;
    }
    unseen = 0;
    for (const [host, {load, atMs, started: peerStarted}] of peerLoads) {
      if (atMs < cutoffMs) {
        peerLoads.delete(host);
        continue;
      }
      unseen += peerStarted;
      for (const [endpoint, running, tokenLayers] of load) {
        const state = table.get(endpoint);
        if (state === undefined) continue;
        state.othersRunning += running;
        state.othersTokenLayers += tokenLayers;
      }
    }
  }

  return {
    missingHosts: () => Math.max(0, fleet.count() - 1 - peerLoads.size),
    streamStarted: () => void (started += 1),
    unseenStarts: () => unseen,
    sinceHolderSeenMs: () => performance.now() - holderSeenAtMs,
    close() {
      clearTimeout(timer);
      socket.close();
    },
  };
}

/** Returns undefined for anything that is not a load report. */
function decode(bytes: Buffer): LoadReport | undefined {
  try {
    const {method, params} = JSON.parse(bytes.toString()) as {
      method?: unknown;
      params?: Partial<LoadReport>;
    };
    if (method !== METHOD || typeof params?.host !== 'string') return undefined;
    if (typeof params.address !== 'string') return undefined;
    if (!Array.isArray(params.load)) return undefined;
    const {host, address, load, started = 0, fence} = params;
    return {host, address, load, started, fence};
  } catch {
    // Anyone may send datagrams, so malformed ones are ignored.
    return undefined;
  }
}
