import 'reflect-metadata';
import {createCallersServer} from '@chivewick/callers';
import {
  createLogger,
  id,
  type HostId,
  type HostSettings,
  type Logger,
} from '@chivewick/common';
import {createOperatorsServer} from '@chivewick/operators';
import {createPeers} from '@chivewick/peers';
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {container as rootContainer, type DependencyContainer} from 'tsyringe';
import type {HostState} from './host-state.js';
import {createMetrics} from './observability/metrics.js';
import {registerGauges} from './observability/gauges.js';
import {startTracing} from './observability/tracing.js';
import {callersPorts} from './parts/callers-ports.js';
import {operatorsOptions} from './parts/operators-options.js';
import {listedHosts, registerParts} from './parts/register.js';
import {startOrders, stopOrders} from './parts/register-orders.js';
import {createRequestLog} from './request-log.js';
import {moveStreamsFromLeavingEndpoints} from './parts/leaving-endpoints.js';
import {drain, listen} from './servers.js';
import {TOKENS} from './tokens.js';

const BANS_RETRY_INTERVAL_MS = 2_000;

/** A running chivewick host. */
export interface Daemon {
  readonly container: DependencyContainer;
  /**
   * Stops gracefully: readiness fails immediately, requests in progress
   * complete, calls settle, and ledger partitions and limit allocations are
   * handed over. Later calls wait for the first one.
   */
  stop(): Promise<void>;
}

/**
 * Starts a chivewick host.
 *
 * @example
 * const daemon = await startDaemon(settings);
 * process.once('SIGTERM', () => daemon.stop());
 */
export async function startDaemon(
  settings: HostSettings,
  log: Logger = createLogger({label: 'daemon', level: settings.log.level}),
): Promise<Daemon> {
  const c = rootContainer.createChildContainer();
  const stopTracing = startTracing(settings);
  await registerInstances(c, settings, log);
  registerParts(c);
  followHostList(c);
  await c.resolve(TOKENS.lists).start();
  void loadBans(c);
  registerGauges(c);
  const stopMovingStreams = moveStreamsFromLeavingEndpoints(c);
  startOrders(c);
  const state: HostState = {stopping: false, refusing: false};
  const servers = await startServers(c, state);
  const {firm, host} = settings;
  log.event('daemonStarted', {firm, host, pid: process.pid});
  let stopped: Promise<void> | undefined;
  return {
    container: c,
    stop() {
      stopped ??= stopDaemon(c, state, servers)
        .finally(stopMovingStreams)
        .then(stopTracing);
      return stopped;
    },
  };
}

async function registerInstances(
  c: DependencyContainer,
  settings: HostSettings,
  log: Logger,
): Promise<void> {
  const self = id<HostId>(settings.host);
  c.registerInstance(TOKENS.self, self);
  c.registerInstance(TOKENS.settings, settings);
  c.registerInstance(TOKENS.log, log);
  c.registerInstance(TOKENS.metrics, createMetrics());
  const {listen: address, secret, hosts} = settings.peers;
  const peers = await createPeers({
    firm: id(settings.firm),
    self,
    listen: address,
    secret,
    addresses: new Map(
      Object.entries(hosts).map(([host, at]) => [id<HostId>(host), at]),
    ),
    log: log.child('peers'),
  });
  c.registerInstance(TOKENS.peers, peers);
}

function followHostList(c: DependencyContainer): void {
  const self = c.resolve(TOKENS.self);
  const peers = c.resolve(TOKENS.peers);
  c.resolve(TOKENS.hostList).onChange(entries => {
    for (const entry of entries) {
      if (entry.kind !== 'host' || entry.id === self) continue;
      peers.setAddress(id(entry.id), entry.address);
    }
    c.resolve(TOKENS.membership).setListedHosts(listedHosts(c));
    c.resolve(TOKENS.routes).update(entries);
  });
}

/** Loads the active bans; retries, as the platform may be down at start. */
async function loadBans(c: DependencyContainer): Promise<void> {
  const quarantine = c.resolve(TOKENS.quarantine);
  while (!(await quarantine.start()).ok) {
    await sleep(BANS_RETRY_INTERVAL_MS, undefined, {ref: false});
  }
}

interface Servers {
  readonly callers: Server;
  readonly operators: Server;
}

async function startServers(
  c: DependencyContainer,
  state: HostState,
): Promise<Servers> {
  const settings = c.resolve(TOKENS.settings);
  const requests = createRequestLog();
  const callers = createCallersServer(callersPorts(c, state, requests));
  const operators = createOperatorsServer(operatorsOptions(c, state, requests));
  await listen(operators, settings.operators.listen);
  await listen(callers, settings.callers.listen);
  return {callers, operators};
}

async function stopDaemon(
  c: DependencyContainer,
  state: HostState,
  servers: Servers,
): Promise<void> {
  const log = c.resolve(TOKENS.log);
  log.event('shutdownStarted');
  state.stopping = true;
  await sleep(c.resolve(TOKENS.settings).shutdown.unreadyMs);
  await drain(servers.callers);
  state.refusing = true;
  await stopOrders(c);
  await c.resolve(TOKENS.ledger).handover();
  await c.resolve(TOKENS.limits).handover();
  await c.resolve(TOKENS.membership).leave();
  await closeParts(c);
  servers.operators.closeAllConnections();
  await drain(servers.operators);
  log.event('shutdownFinished');
}

async function closeParts(c: DependencyContainer): Promise<void> {
  await c.resolve(TOKENS.pipeline).close();
  await c.resolve(TOKENS.quarantine).close();
  await c.resolve(TOKENS.lists).close();
  await c.resolve(TOKENS.ledger).close();
  await c.resolve(TOKENS.limits).close();
  await c.resolve(TOKENS.admission).close();
  await c.resolve(TOKENS.routes).close();
  await c.resolve(TOKENS.hostList).close();
  await c.resolve(TOKENS.membership).close();
  await c.resolve(TOKENS.peers).close();
  await c.resolve(TOKENS.objectApi).close();
}
