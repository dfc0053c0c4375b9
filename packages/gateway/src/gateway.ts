import {
  createRandom,
  pause,
  type EndpointId,
  type HostId,
  type Logger,
} from '@chivewick/common';
import {
  nameOfKey,
  type ObjectFeed,
  type StoredObject,
} from '@chivewick/platform';
import {createServer, type Server} from 'node:http';
import {createCallerServer} from './caller-server.js';
import {createEndpointTable, type EndpointTable} from './endpoint-table.js';
import type {ExchangeParts} from './exchange.js';
import type {Fleet} from './fleet.js';
import {followKind} from './follow-kind.js';
import {startLoadExchange} from './load-exchange.js';
import {createFreshness} from './freshness.js';
import {createRequestHandler} from './handle-request.js';
import {createGatewayMetrics} from './metrics.js';
import {createPathProbe} from './path-probe.js';
import {recheckSuspects} from './recheck-suspects.js';
import {createPipeUse} from './pipe-use.js';
import {createRetryAllowance} from './retry-allowance.js';
import {createRouting, type Routing} from './routing.js';
import type {
  Dialect,
  EndpointRecord,
  EngineControl,
  HostBounds,
  RequestKind,
  RoutingConfig,
} from './types.js';
import {createUpstream} from './upstream.js';

/**
 * Length of a poll for the configuration. Each answer confirms the keys, which
 * must not be used longer than the revocation bound (5 s) after the last one;
 * two polls in a row may fail within it.
 */
const CONFIG_POLL_MS = 2_000;
/**
 * Length of a poll for endpoints. A connection may fall silent; it is noticed
 * before the host counts as in touch again (3 s).
 */
const ENDPOINT_POLL_MS = 2_000;
/** Changes of endpoints gathered into one answer; well under the drain bound. */
const GATHER_MS = 800;
/** The balancer takes a host out after two checks a second apart. */
const LEAVE_ROTATION_MS = 2_500;
/** Time that the end of the process takes, off the time before it is forced. */
const END_MARGIN_MS = 500;
/** How often a stopping host looks whether requests still run. */
const STOP_STEP_MS = 50;
/** Plain requests that come so long before the forced end can be served. */
const LAST_PLAIN_MS = 2_500;
/**
 * Part of the revocation bound after which an unconfirmed host leaves rotation:
 * the balancer takes two seconds, and then keys must not be used any more.
 */
const READY_AGE_PART = 0.6;

/** `ip:port` pairs that a gateway listens on. */
export interface GatewayAddresses {
  readonly callers: string;
  readonly readiness: string;
  /** Takes messages of other hosts, as datagrams. */
  readonly peers: string;
  readonly metrics?: string;
}

export interface GatewayOptions {
  readonly host: HostId;
  readonly addresses: GatewayAddresses;
  readonly bounds: () => HostBounds;
  readonly feed: ObjectFeed;
  readonly dialect: Dialect;
  readonly control: EngineControl;
  readonly log: Logger;
  /** Kinds of the store's objects. */
  readonly kinds: {readonly config: string; readonly endpoints: string};
  /** Undefined, with a line in the log, for an object that cannot be read. */
  readonly readConfig: (object: StoredObject) => RoutingConfig | undefined;
  readonly readEndpoint: (object: StoredObject) => EndpointRecord | undefined;
  /** Hosts that share the endpoints. */
  readonly fleet: Fleet;
  readonly fence: () => number | undefined;
}

/** A host that forwards callers' requests as they are. */
export interface Gateway {
  readonly table: EndpointTable;
  config(): RoutingConfig | undefined;
  /** Lets requests in progress end, then closes everything. */
  stop(): Promise<void>;
  /** Time since another host said that it holds the lease of orders. */
  holderHeardMs(): number;
  /** Closes everything at once. */
  close(): Promise<void>;
}

/**
 * Starts a gateway: follows the configuration and the endpoints in the store and
 * serves callers.
 *
 * @example
 * const gateway = await startGateway({host, addresses, bounds, feed, dialect, control, log, ...});
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const {log, feed, kinds} = options;
  const table = createEndpointTable(log, () => options.bounds().drainMs);
  const freshness = createFreshness();
  const metrics = createGatewayMetrics();
  const closing = new AbortController();
  const upstream = createUpstream();
  let routing: Routing | undefined;
  let configObjectVersion = 0;
  let stopping = false;
  const acceptUntilMs: Record<RequestKind, number> = {
    repeatable: Infinity,
    once: Infinity,
    stream: Infinity,
  };

  const bounds = options.bounds();
  const loadExchange = await startLoadExchange({
    self: {id: options.host, address: options.addresses.peers},
    fleet: options.fleet,
    table,
    log,
    fence: options.fence,
  });
  const parts: ExchangeParts = {
    dialect: options.dialect,
    upstream,
    table,
    allowance: createRetryAllowance({
      ratio: bounds.retryRatio,
      extra: bounds.retryExtra,
      windowMs: bounds.retryWindowMs,
      hosts: () => options.fleet.count(),
    }),
    control: options.control,
    probe: createPathProbe(options.control, table, () => options.fleet.count()),
    metrics,
    random: createRandom(),
    log,
    loadExchange,
    pipes: createPipeUse(() => options.fleet.count()),
    fence: options.fence,
  };

  const configFollower = followKind({
    kind: kinds.config,
    feed,
    log,
    signal: closing.signal,
    waitMs: CONFIG_POLL_MS,
    gatherMs: 0,
    onListing: objects => objects.forEach(adoptConfig),
    onChanges: changes =>
      changes.forEach(change => {
        if (change.value !== undefined) adoptConfig(change as StoredObject);
      }),
    onPoll: () => freshness.poll(),
  });
  followKind({
    kind: kinds.endpoints,
    feed,
    log,
    signal: closing.signal,
    waitMs: ENDPOINT_POLL_MS,
    gatherMs: GATHER_MS,
    onListing: objects => table.replaceAll(objects.flatMap(readEndpoint)),
    onChanges: changes => {
      for (const change of changes) {
        if (change.value === undefined)
          table.remove(nameOfKey(change.key) as EndpointId);
        else readEndpoint(change as StoredObject).forEach(table.upsert);
      }
    },
    onUnavailable: () => table.storeUnavailable(),
  });

  table.onSuspected(() => metrics.suspected.inc());
  recheckSuspects(table, options.control, closing.signal);
  const handle = createRequestHandler({
    parts,
    freshness,
    bounds: options.bounds,
    routing: () => routing,
    confirm: () => configFollower.refresh(),
    stopping: () => stopping,
    accepts: kind => performance.now() < acceptUntilMs[kind],
  });
  const callers = createCallerServer({handle, log});
  const readiness = createServer((_req, res) => {
    res.statusCode = isReady() ? 200 : 503;
    res.end();
  });
  const servers = [callers.server, readiness];
  await listen(callers.server, options.addresses.callers);
  await listen(readiness, options.addresses.readiness);
  if (options.addresses.metrics !== undefined) {
    const metricsServer = createServer((_req, res) => {
      void metrics.registry.metrics().then(text => res.end(text));
    });
    servers.push(metricsServer);
    await listen(metricsServer, options.addresses.metrics);
  }
  log.event('gatewayStarted', {host: options.host, ...options.addresses});

  function isReady(): boolean {
    const {strictRevocation, revokeMs} = options.bounds();
    const isConfirmed =
      !strictRevocation || freshness.ageMs() < READY_AGE_PART * revokeMs;
    return (
      !stopping && isConfirmed && routing !== undefined && hasEndpoints(routing)
    );
  }

  function hasEndpoints({config}: Routing): boolean {
    for (const service of config.services.keys())
      if (table.usable(service).length > 0) return true;
    return false;
  }

  function readEndpoint(object: StoredObject): EndpointRecord[] {
    const record = options.readEndpoint(object);
    return record === undefined ? [] : [record];
  }

  function adoptConfig(object: StoredObject): void {
    if (object.version <= configObjectVersion) return;
    const config = options.readConfig(object);
    if (config === undefined) return;
    configObjectVersion = object.version;
    routing = createRouting(config);
    callers.setLimits(config.limits);
    log.event('configAdopted', {
      configVersion: config.version,
      storeVersion: object.version,
      routes: config.routes.length,
      keys: config.workspaceOfKey?.size,
    });
  }

  async function stop(): Promise<void> {
    if (stopping) return;
    stopping = true;
    const startMs = performance.now();
    const elapsedMs = () => performance.now() - startMs;
    log.event('gatewayStopping', {running: callers.running()});
    const {graceMs} = options.bounds();
    const lastPlainMs = startMs + graceMs - LAST_PLAIN_MS;
    acceptUntilMs.stream = startMs + LEAVE_ROTATION_MS;
    acceptUntilMs.once = lastPlainMs;
    acceptUntilMs.repeatable = lastPlainMs;
    while (elapsedMs() < LEAVE_ROTATION_MS) await pause(STOP_STEP_MS);
    // New connections are still taken, to tell callers to go elsewhere.
    while (callers.running() > 0 && elapsedMs() < graceMs - END_MARGIN_MS)
      await pause(STOP_STEP_MS);
    log.event('gatewayStopped', {
      running: callers.running(),
      elapsedMs: Math.round(elapsedMs()),
    });
    await close();
  }

  async function close(): Promise<void> {
    if (closing.signal.aborted) return;
    closing.abort();
    loadExchange.close();
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
    await upstream.close();
  }

  return {
    table,
    config: () => routing?.config,
    holderHeardMs: () => loadExchange.holderHeardMs(),
    stop,
    close,
  };
}

function listen(server: Server, address: string): Promise<void> {
  const [ip, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), ip, 511, resolve);
  });
}
