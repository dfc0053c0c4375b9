import {createAdmission} from '@chivewick/admission';
import {
  createRandom,
  id,
  type FailureDomain,
  type HostId,
  type ServiceName,
} from '@chivewick/common';
import {createEngineApi} from '@chivewick/engines';
import {createHostList} from '@chivewick/host-list';
import {createLedger} from '@chivewick/ledger';
import {createLimits} from '@chivewick/limits';
import {createLists} from '@chivewick/lists';
import {createMembership} from '@chivewick/membership';
import {createPipeline} from '@chivewick/pipeline';
import {createObjectApi} from '@chivewick/platform';
import {createQuarantine} from '@chivewick/quarantine';
import {createRetryBudget} from '@chivewick/retries';
import {createRouteTable} from '@chivewick/routes';
import {createServiceApi} from '@chivewick/services';
import {
  instanceCachingFactory,
  type DependencyContainer,
  type InjectionToken,
} from 'tsyringe';
import {createHops} from '../observability/hops.js';
import {TOKENS} from '../tokens.js';
import {registerOrders} from './register-orders.js';
import {createLookups} from './lookups.js';
import {pipelineRoutes} from './pipeline-routes.js';
import {createTrialTracker} from './trial-tracker.js';

type Factory<T> = (container: DependencyContainer) => T;

/**
 * Registers a factory for each part. Each part is created once, on first use, so
 * that a test can register a replacement for any of them.
 */
export function registerParts(container: DependencyContainer): void {
  const register = <T>(token: InjectionToken<T>, create: Factory<T>) =>
    container.register(token, {useFactory: instanceCachingFactory(create)});
  register(TOKENS.random, () => createRandom());
  register(TOKENS.engines, () => createEngineApi());
  register(TOKENS.retryBudget, () => createRetryBudget());
  register(TOKENS.services, () => createServiceApi());
  registerPlatform(register);
  registerPeers(register);
  registerModels(register);
  registerCalls(register);
  registerOrders(container);
}

type Register = <T>(token: InjectionToken<T>, create: Factory<T>) => void;

function registerPlatform(register: Register): void {
  register(TOKENS.objectApi, c => {
    const metrics = c.resolve(TOKENS.metrics);
    return createObjectApi({
      address: c.resolve(TOKENS.settings).platform.objectApi,
      onCall: (operation, outcome) =>
        metrics.platformCalls.inc({operation, outcome}),
    });
  });
  register(TOKENS.hostList, c => {
    const {platform} = c.resolve(TOKENS.settings);
    return createHostList({
      address: platform.hostList,
      refreshMs: platform.hostListRefreshMs,
      log: c.resolve(TOKENS.log).child('host-list'),
    });
  });
}

function registerPeers(register: Register): void {
  register(TOKENS.membership, c =>
    createMembership({
      self: c.resolve(TOKENS.self),
      peers: c.resolve(TOKENS.peers),
      random: c.resolve(TOKENS.random),
      log: c.resolve(TOKENS.log).child('membership'),
    }),
  );
  register(TOKENS.lists, c => {
    const settings = c.resolve(TOKENS.settings);
    return createLists({
      self: c.resolve(TOKENS.self),
      firm: id(settings.firm),
      failureDomain: id(settings.failureDomain),
      platform: c.resolve(TOKENS.objectApi),
      peers: c.resolve(TOKENS.peers),
      membership: c.resolve(TOKENS.membership),
      domainOf: host => domainOf(c, host),
      log: c.resolve(TOKENS.log).child('lists'),
    });
  });
}

function registerModels(register: Register): void {
  register(TOKENS.routes, c =>
    createRouteTable({
      self: c.resolve(TOKENS.self),
      engines: c.resolve(TOKENS.engines),
      random: c.resolve(TOKENS.random),
      log: c.resolve(TOKENS.log).child('routes'),
    }),
  );
  register(TOKENS.hops, c => createHops(c.resolve(TOKENS.metrics)));
  register(TOKENS.quarantine, c =>
    createQuarantine({
      platform: c.resolve(TOKENS.objectApi),
      peers: c.resolve(TOKENS.peers),
      secret: c.resolve(TOKENS.settings).peers.secret,
      live: () => c.resolve(TOKENS.membership).live(),
      log: c.resolve(TOKENS.log).child('quarantine'),
    }),
  );
  register(TOKENS.trialTracker, c =>
    createTrialTracker(c.resolve(TOKENS.quarantine)),
  );
  register(TOKENS.pipeline, c =>
    createPipeline({
      engines: c.resolve(TOKENS.engines),
      routes: pipelineRoutes(c.resolve(TOKENS.routes)),
      observer: c.resolve(TOKENS.hops).observer,
      quarantine: c.resolve(TOKENS.trialTracker).port,
      log: c.resolve(TOKENS.log).child('pipeline'),
    }),
  );
  register(TOKENS.admission, c => {
    const {maxRunning} = c.resolve(TOKENS.settings).callers;
    const lists = c.resolve(TOKENS.lists);
    return createAdmission({
      capacity: () => maxRunning,
      weight: workspace =>
        lists.snapshot()?.grants.get(workspace)?.concurrency ?? 1,
      log: c.resolve(TOKENS.log).child('admission'),
    });
  });
}

function registerCalls(register: Register): void {
  register(TOKENS.limits, c => {
    const lists = c.resolve(TOKENS.lists);
    return createLimits({
      self: c.resolve(TOKENS.self),
      platform: c.resolve(TOKENS.objectApi),
      peers: c.resolve(TOKENS.peers),
      live: () => c.resolve(TOKENS.membership).live(),
      listed: () => listedHosts(c),
      maxRequestMs: c.resolve(TOKENS.settings).limits.maxRequestMs,
      lists: () => {
        const snapshot = lists.snapshot();
        if (snapshot === undefined) return undefined;
        const {plans, entitlements} = snapshot.versions;
        return {version: plans + entitlements, grants: snapshot.grants};
      },
      random: c.resolve(TOKENS.random),
      log: c.resolve(TOKENS.log).child('limits'),
    });
  });
  register(TOKENS.lookups, c => {
    const admission = c.resolve(TOKENS.admission);
    return createLookups({
      services: c.resolve(TOKENS.services),
      addresses: service => serviceAddresses(c, service),
      budget: c.resolve(TOKENS.retryBudget),
      idle: () => admission.status().every(row => row.waiting === 0),
      random: c.resolve(TOKENS.random),
      log: c.resolve(TOKENS.log).child('lookups'),
    });
  });
  register(TOKENS.ledger, c =>
    createLedger({
      self: c.resolve(TOKENS.self),
      platform: c.resolve(TOKENS.objectApi),
      peers: c.resolve(TOKENS.peers),
      services: c.resolve(TOKENS.services),
      live: () => c.resolve(TOKENS.membership).live(),
      endpoints: service => serviceAddresses(c, service),
      settings: {partitions: c.resolve(TOKENS.settings).ledger.partitions},
      log: c.resolve(TOKENS.log).child('ledger'),
    }),
  );
}

/** Addresses of a service's live endpoints, this failure domain first. */
export function serviceAddresses(
  c: DependencyContainer,
  service: ServiceName,
): string[] {
  const {failureDomain} = c.resolve(TOKENS.settings);
  const domainRank = (domain: string) => (domain === failureDomain ? 0 : 1);
  return c
    .resolve(TOKENS.hostList)
    .entries()
    .filter(e => e.kind === 'service' && e.name === service)
    .filter(e => e.state === 'live')
    .sort((a, b) => domainRank(a.failureDomain) - domainRank(b.failureDomain))
    .map(e => e.address);
}

function domainOf(
  c: DependencyContainer,
  host: HostId,
): FailureDomain | undefined {
  const entries = c.resolve(TOKENS.hostList).entries();
  return entries.find(e => e.kind === 'host' && e.id === host)?.failureDomain;
}

/** Ids of the hosts on the platform's host list, without endpoints. */
export function listedHosts(c: DependencyContainer): HostId[] {
  const entries = c.resolve(TOKENS.hostList).entries();
  return entries.filter(e => e.kind === 'host').map(e => id<HostId>(e.id));
}
