import {
  fail,
  id,
  ok,
  type HostId,
  type ModelName,
  type RequestId,
} from '@chivewick/common';
import type {HostVersions, OperatorsOptions} from '@chivewick/operators';
import type {DependencyContainer} from 'tsyringe';
import type {HostState} from '../host-state.js';
import type {RequestLog} from '../request-log.js';
import {TOKENS} from '../tokens.js';
import {findCallOutcome} from './call-lookup.js';

const VERSIONS_TIMEOUT_MS = 1_000;
const VERSIONS_METHOD = 'status.versions';

/** Creates the options of the administration API from the daemon's parts. */
export function operatorsOptions(
  c: DependencyContainer,
  state: HostState,
  requests: RequestLog,
): OperatorsOptions {
  const settings = c.resolve(TOKENS.settings);
  const peers = c.resolve(TOKENS.peers);
  peers.handle(VERSIONS_METHOD, () => ownVersions(c));
  return {
    self: c.resolve(TOKENS.self),
    keys: settings.operators.keys,
    objects: c.resolve(TOKENS.objectApi),
    log: c.resolve(TOKENS.log).child('operators'),
    onListWritten: written => c.resolve(TOKENS.lists).applyWritten(written),
    readiness: () => readiness(c, state),
    metrics: () => c.resolve(TOKENS.metrics).registry.metrics(),
    versions: () => allVersions(c),
    hosts: () => hostRows(c),
    endpoints: () => endpointRows(c),
    routes: model => chooseRoute(c, model),
    request: requestId => Promise.resolve(findRequest(c, requests, requestId)),
    call: (workspace, key) => findCallOutcome(c, workspace, key),
    quarantine: () => Promise.resolve(ok(c.resolve(TOKENS.quarantine).bans())),
  };
}

function findRequest(
  c: DependencyContainer,
  requests: RequestLog,
  requestId: RequestId,
) {
  const hops = c.resolve(TOKENS.hops).find(requestId);
  if (hops === undefined) return requests.find(requestId);
  return {requestId, class: 'draft', outcome: 'in progress', hops};
}

function readiness(c: DependencyContainer, state: HostState) {
  if (state.stopping) return {ready: false, reason: 'shutting down'};
  const lists = c.resolve(TOKENS.lists);
  if (lists.snapshot() === undefined)
    return {ready: false, reason: 'no lists yet'};
  if (!lists.confirmed()) return {ready: false, reason: 'lists unconfirmed'};
  return {ready: true};
}

function ownVersions(c: DependencyContainer): HostVersions {
  const lists = c.resolve(TOKENS.lists);
  return {
    host: c.resolve(TOKENS.self),
    plans: lists.snapshot()?.versions.plans ?? 0,
    entitlements: lists.snapshot()?.versions.entitlements ?? 0,
    confirmed: lists.confirmed(),
    ageMs: 0,
  };
}

async function allVersions(c: DependencyContainer): Promise<HostVersions[]> {
  const self = c.resolve(TOKENS.self);
  const others = c
    .resolve(TOKENS.membership)
    .live()
    .filter(h => h !== self);
  const peerVersions = await Promise.all(
    others.map(host => versionsOf(c, host)),
  );
  return [ownVersions(c), ...peerVersions];
}

async function versionsOf(
  c: DependencyContainer,
  host: HostId,
): Promise<HostVersions> {
  const response = await c
    .resolve(TOKENS.peers)
    .call<HostVersions>(
      host,
      VERSIONS_METHOD,
      {},
      {timeoutMs: VERSIONS_TIMEOUT_MS},
    );
  if (response.ok) return response.value;
  return {
    host,
    plans: 0,
    entitlements: 0,
    confirmed: false,
    ageMs: VERSIONS_TIMEOUT_MS,
  };
}

function hostRows(c: DependencyContainer) {
  const membership = c.resolve(TOKENS.membership);
  return c
    .resolve(TOKENS.hostList)
    .entries()
    .filter(e => e.kind === 'host')
    .map(e => ({
      host: id<HostId>(e.id),
      address: e.address,
      failureDomain: e.failureDomain,
      state:
        e.state === 'live' ? (membership.state(id(e.id)) ?? 'alive') : e.state,
    }));
}

function endpointRows(
  c: DependencyContainer,
): ReturnType<OperatorsOptions['endpoints']> {
  const engines = c
    .resolve(TOKENS.routes)
    .endpoints()
    .map(e => ({
      endpoint: e.id,
      kind: 'endpoint' as const,
      state: e.leaving
        ? 'leaving'
        : e.failed
          ? 'failed'
          : e.usable
            ? 'live'
            : 'unknown',
      failureDomain: e.failureDomain,
      model: e.status?.model,
      layers: e.status?.layers,
      running: e.status?.load.running,
      queued: e.status?.load.queued,
      ownRunning: e.ownRunning,
      accelerator: e.status?.accelerator,
    }));
  const services = c
    .resolve(TOKENS.hostList)
    .entries()
    .filter(e => e.kind === 'service')
    .map(e => ({
      endpoint: id<(typeof engines)[number]['endpoint']>(e.id),
      kind: 'service' as const,
      state: e.state,
      failureDomain: e.failureDomain,
      service: e.name,
    }));
  return [...engines, ...services];
}

function chooseRoute(c: DependencyContainer, model: ModelName) {
  const grants = c.resolve(TOKENS.lists).snapshot()?.grants.values() ?? [];
  for (const grant of grants) {
    const found = [...grant.models.values()].find(m => m.model === model);
    if (found === undefined) continue;
    const {version, layers} = found;
    const request = {model, version, layers, adapter: '', prompt: ''};
    const route = c
      .resolve(TOKENS.routes)
      .choose({...request, exclude: new Set()});
    return Promise.resolve(route);
  }
  return Promise.resolve(
    fail('not_found', `no plan grants the model "${model}"`),
  );
}
