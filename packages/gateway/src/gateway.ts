import {
  bindWithRetry,
  createRandom,
  type HostId,
  type Logger,
} from '@chivewick/common';
import {
  type ObjectFeed,
  type ObjectStore,
  type StoredObject,
} from '@chivewick/platform';
import {
  startTunnelServer,
  type Dialer,
  type DirectPaths,
  type TunnelServer,
} from '@chivewick/tunnels';
import {setMaxListeners} from 'node:events';
import {createServer, type Server} from 'node:http';
import {countBufferedBytes} from './byte-buffer.js';
import {
  replacesConfig,
  surpassesConfig,
  type AdoptedConfig,
} from './adopted-config.js';
import {createCallerServer} from './caller-server.js';
import {createCatchUp} from './catch-up.js';
import {startCoordination, type Coordination} from './coordination/index.js';
import {createEndpointTable, type EndpointTable} from './endpoint-table.js';
import type {ExchangeContext} from './exchange.js';
import type {Fleet, FleetHost} from './fleet.js';
import {createGracefulStop} from './graceful-stop.js';
import {followEndpoints} from './follow-endpoints.js';
import {followKind} from './follow-kind.js';
import {createFreshness} from './freshness.js';
import {createRequestHandler} from './handle-request.js';
import {createGatewayMetrics} from './metrics.js';
import {createPathProbe} from './path-probe.js';
import {createRunCheck, keepBans} from './quarantine/index.js';
import {recheckSuspects} from './recheck-suspects.js';
import {createPipeUsage, HOST_AVERAGING_TIME_MS} from './pipe-usage.js';
import {startRelay, type Relay} from './relay.js';
import {createRetryAllowance} from './retry-allowance.js';
import {createRouting, type Routing} from './routing.js';
import type {
  Dialect,
  EndpointRecord,
  EngineControl,
  HostBounds,
  RoutingConfig,
} from './types.js';
import {createUpstream, type Upstream} from './upstream.js';

/**
 * Duration of a long poll for the configuration. Each response confirms the keys,
 * which must not be used for longer than the revocation bound (5 s) after the
 * last confirmation; two consecutive polls may fail within that bound.
 */
const CONFIG_POLL_MS = 2_000;
/**
 * Fraction of the revocation bound after which an unconfirmed host reports that it
 * is not ready: the load balancer takes two seconds to remove it, and after that
 * the keys must no longer be used.
 */
const MAX_READY_AGE_FRACTION = 0.6;

/** Addresses that a gateway listens on, as `ip:port`. */
export interface GatewayAddresses {
  readonly callers: string;
  readonly readiness: string;
  /** UDP address for messages from other hosts. */
  readonly peers: string;
  /** Where other hosts open tunnels to endpoints. */
  readonly tunnels?: string;
  readonly metrics?: string;
}

export interface GatewayOptions {
  /** This host, as the others know it. */
  readonly self: FleetHost;
  readonly addresses: GatewayAddresses;
  readonly bounds: () => HostBounds;
  readonly feed: ObjectFeed;
  readonly dialect: Dialect;
  readonly control: EngineControl;
  readonly dialer: Dialer;
  readonly paths: DirectPaths;
  readonly log: Logger;
  /** Kinds of the store's objects. */
  readonly kinds: {readonly config: string; readonly endpoints: string};
  /** Parses a stored object; logs an invalid one and returns undefined for it. */
  readonly readConfig: (object: StoredObject) => RoutingConfig | undefined;
  readonly readEndpoint: (object: StoredObject) => EndpointRecord | undefined;
  /** Where bans are kept; undefined if they end with the hosts. */
  readonly savedBans?: {
    readonly store: Pick<ObjectStore, 'get' | 'put'>;
    readonly key: string;
  };
  /** Hosts that share the endpoints. */
  readonly fleet: Fleet;
  /** Newest fencing number that this host knows. */
  readonly fence: () => number | undefined;
}

/** A running gateway, which forwards callers' requests to endpoints. */
export interface Gateway {
  readonly table: EndpointTable;
  config(): RoutingConfig | undefined;
  /** Waits for requests in progress to complete, then closes everything. */
  stop(): Promise<void>;
  /** Time since another host last reported that it holds the order lease. */
  sinceHolderSeenMs(): number;
  /** Whether this host is the coordinator or the standby of its failure domain. */
  isCoordinator(): boolean;
  /** Closes everything immediately, aborting requests in progress. */
  close(): Promise<void>;
}

/**
 * Starts a gateway: watches the configuration and the endpoints in the store and
 * serves callers. Rejects if an address cannot be bound, and then keeps nothing open.
 *
 * @example
 * const gateway = await startGateway({host, addresses, bounds, feed, dialect, control, log, ...});
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const {paths} = options;
  const parts: Parts = {closing: new AbortController(), paths, servers: []};
  try {
    return await startParts(options, parts);
  } catch (err) {
    await closeParts(parts);
    throw err;
  }
}

/** What a gateway has opened so far. */
interface Parts {
  readonly closing: AbortController;
  readonly paths: DirectPaths;
  readonly servers: Server[];
  upstream?: Upstream;
  coordination?: Coordination;
  relay?: Relay;
  tunnels?: TunnelServer;
}

async function closeParts(parts: Parts): Promise<void> {
  if (parts.closing.signal.aborted) return;
  parts.closing.abort();
  parts.coordination?.close();
  parts.paths.close();
  parts.tunnels?.close();
  for (const server of parts.servers) {
    server.close();
    server.closeAllConnections();
  }
  await Promise.all([parts.upstream?.close(), parts.relay?.close()]);
}

async function startParts(
  options: GatewayOptions,
  parts: Parts,
): Promise<Gateway> {
  const {log, kinds} = options;
  const table = createEndpointTable(log, () => options.bounds().drainMs);
  const freshness = createFreshness();
  const metrics = createGatewayMetrics();
  const {closing} = parts;
  const givingUp = new AbortController();
  // Each request in progress has a listener.
  setMaxListeners(0, givingUp.signal);
  const {dialer, paths} = options;
  const upstream = (parts.upstream = createUpstream(dialer));
  let routing: Routing | undefined;
  let adopted: AdoptedConfig | undefined;

  const bounds = options.bounds();
  const random = createRandom();
  const {fleet} = options;
  const pipes = createPipeUsage({
    // Hosts get similar shares of the requests.
    total: ({utilization}) => utilization * fleet.count(),
    averagingTimeMs: HOST_AVERAGING_TIME_MS,
  });
  const retryBounds = {
    ratio: bounds.retryRatio,
    extra: bounds.retryExtra,
    windowMs: bounds.retryWindowMs,
  };
  const allowance = createRetryAllowance({
    ...retryBounds,
    shares: () => fleet.count(),
  });
  const catchUp = createCatchUp({
    current: () => routing?.config.version,
    fetch: fetchConfig,
  });
  const coordination = (parts.coordination = await startCoordination({
    self: options.self,
    fleet,
    table,
    allowance,
    retryBounds,
    config: () => routing?.config,
    pipes,
    random,
    log,
    isLeaseHolder: () => options.fence() !== undefined,
    checkRun: createRunCheck({dialer, control: options.control}),
    onEvidence: () => savedBans?.changed(),
    onConfigVersion: (host, version) => catchUp.heard(host, version),
    verify: state => suspects.verify(state),
  }));
  const savedBans =
    options.savedBans &&
    keepBans({
      ...options.savedBans,
      quarantine: coordination.quarantine,
      isWriter: () => coordination.ranks.isCoordinator(),
      signal: closing.signal,
    });
  closing.signal.addEventListener('abort', paths.onLost(table.clearFailures));
  /** A host that is cut off gets reports too late; another host knows. */
  const isDown = async (address: string) =>
    !paths.expectsLoss() || dialer.isDown(address);
  const suspects = recheckSuspects({
    table,
    control: options.control,
    isDown,
    signal: closing.signal,
    isResponsible: state => coordination.isResponsible(state),
  });
  const ctx: ExchangeContext = {
    dialect: options.dialect,
    upstream,
    table,
    allowance,
    control: options.control,
    probe: createPathProbe(options.control, table, () => fleet.count(), isDown),
    metrics,
    random,
    log,
    buffered: countBufferedBytes(),
    coordination,
    limits: coordination.limits,
    pipes,
    quarantine: coordination.quarantine,
    dialer,
    gaveUp: givingUp.signal,
    fence: options.fence,
  };

  const relay = (parts.relay = await startRelay({
    self: options.self,
    store: options.feed,
    role: () => coordination.ranks.readerRole(),
    effectMs: () => {
      const {drainMs, configApplyMs} = options.bounds();
      return Math.min(drainMs, configApplyMs);
    },
    hosts: () => fleet.others(),
    adopted: () => adopted?.object,
    metrics,
    log,
  }));
  const {feed} = relay;
  const configFollower = followKind({
    kind: kinds.config,
    feed,
    after: fleet.ready(),
    log,
    signal: closing.signal,
    waitMs: CONFIG_POLL_MS,
    batchMs: 0,
    onListing: ({objects}) => objects.forEach(adoptConfig),
    onChanges: changes =>
      changes.forEach(change => {
        if (change.value !== undefined) adoptConfig(change as StoredObject);
      }),
    onPoll: () => freshness.poll(),
  });
  followEndpoints({
    kind: kinds.endpoints,
    feed,
    failedAtMs: relay.failedAtMs,
    table,
    drainMs: () => options.bounds().drainMs,
    read: readEndpoint,
    onChanged: () => coordination.quarantine.endpointsChanged(),
    after: fleet.ready(),
    log,
    signal: closing.signal,
  });

  table.onSuspected(() => metrics.suspected.inc());
  const handle = createRequestHandler({
    ctx,
    freshness,
    bounds: options.bounds,
    routing: () => routing,
    confirm: () => configFollower.refresh(),
    stopping: () => gracefulStop.isStopping(),
    accepts: (kind, durationMs) => gracefulStop.accepts(kind, durationMs),
  });
  const callers = createCallerServer({
    handle,
    log,
    metrics,
    intake: bounds.intake,
  });
  const gracefulStop = createGracefulStop({
    callers,
    tunnels: () => parts.tunnels?.running() ?? 0,
    bounds: options.bounds,
    giveUp: () => givingUp.abort(),
    log,
  });
  const readiness = createServer((_req, res) => {
    res.statusCode = isReady() ? 200 : 503;
    res.end();
  });
  parts.servers.push(callers.server, readiness);
  await listen(callers.server, options.addresses.callers);
  await listen(readiness, options.addresses.readiness);
  if (options.addresses.metrics !== undefined) {
    const metricsServer = createServer((_req, res) => {
      void metrics.registry.metrics().then(text => res.end(text));
    });
    parts.servers.push(metricsServer);
    await listen(metricsServer, options.addresses.metrics);
  }
  parts.tunnels =
    options.addresses.tunnels === undefined
      ? undefined
      : await startTunnelServer({
          address: options.addresses.tunnels,
          isEndpoint: address => table.byAddress(address) !== undefined,
          isStopping: () => gracefulStop.isStopping(),
          paths,
        });
  log.event('gatewayStarted', {host: options.self.id, ...options.addresses});

  function isReady(): boolean {
    const {strictRevocation, revokeMs} = options.bounds();
    const isConfirmed =
      !strictRevocation ||
      freshness.ageMs() < MAX_READY_AGE_FRACTION * revokeMs;
    return (
      !gracefulStop.isStopping() &&
      isConfirmed &&
      routing !== undefined &&
      hasEndpoints(routing)
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
    // Listings repeat the configuration, which may have a megabyte to decode.
    if (object.version <= (adopted?.object.version ?? 0)) return;
    const config = options.readConfig(object);
    if (config === undefined) return;
    if (!replacesConfig(adopted, object, config)) {
      return log.event('configOutdated', {
        configVersion: config.version,
        storeVersion: object.version,
        adopted: adopted?.config.version,
      });
    }
    putInEffect(object, config);
  }

  function putInEffect(
    object: StoredObject,
    config: RoutingConfig,
    source?: HostId,
  ): void {
    adopted = {config, object};
    routing = createRouting(config);
    callers.setLimits(config.limits);
    log.event('configAdopted', {
      configVersion: config.version,
      storeVersion: object.version,
      source,
      routes: config.routes.length,
      keys: config.workspaceOfKey?.size,
    });
  }

  /** Takes over the configuration of another host if it is newer. */
  async function fetchConfig(host: HostId): Promise<void> {
    const found = await relay.adoptedBy(host);
    if (!found.ok) return;
    const config = options.readConfig(found.value);
    if (config !== undefined && surpassesConfig(adopted, found.value, config))
      putInEffect(found.value, config, host);
  }

  return {
    table,
    config: () => routing?.config,
    sinceHolderSeenMs: () => coordination.sinceHolderSeenMs(),
    isCoordinator: () => coordination.ranks.isCandidate(),
    async stop() {
      await gracefulStop.run();
      await closeParts(parts);
    },
    close: () => closeParts(parts),
  };
}

function listen(server: Server, address: string): Promise<void> {
  const [ip, port] = address.split(':');
  return bindWithRetry(
    () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), ip, 511, resolve);
      }),
  );
}
