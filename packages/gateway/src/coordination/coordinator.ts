import type {
  EndpointId,
  HostId,
  Logger,
  Random,
  ServiceName,
} from '@chivewick/common';
import {
  createGrantTable,
  createRemoteLoads,
  type DomainPipe,
  type EndpointLoad,
  type Grantor,
  type GrantTable,
  type RemoteLoads,
  type RetryPool,
  type StartBudget,
} from '@chivewick/coordination';
import type {Stage} from '@chivewick/engines';
import {
  choosePath,
  layersWithoutCapacity,
  sampleFraction,
  type PathRequest,
} from '../choose-path.js';
import type {EndpointState, EndpointTable} from '../endpoint-table.js';
import {
  COORDINATOR_AVERAGING_TIME_MS,
  createPipeUsage,
  transferMs,
} from '../pipe-usage.js';
import type {EngineProfile, RoutingConfig} from '../types.js';
import {createRepairGrants} from './grant-repair.js';
import type {PathAnswer, PathAsk} from './messages.js';

/**
 * Time after the start in which a coordinator makes no grants to others, and no retries:
 * hosts report their paths and retries every second, and until then every endpoint
 * seems idle and every retry unused.
 */
const WARM_UP_MS = 1_200;
/** Time for which an endpoint that did not respond to a host is avoided. */
const AVOIDED_MS = 250;
/** Time after a grant during which this host's grants count for other hosts. */
const ACTIVE_MS = 1_000;

/** Grants paths to the hosts of a failure domain. */
export interface Coordinator {
  readonly grants: GrantTable;
  readonly remote: RemoteLoads;
  answer(ask: PathAsk): PathAnswer;
  /** Keeps endpoints that failed at another host off paths until they are checked. */
  avoid(endpoints: readonly EndpointId[]): void;
  /** Whether this host has granted paths recently. */
  isActive(): boolean;
  /** Streams started since the last call. */
  takeStarted(): number;
  /** Loads of the failure domain: granted paths and this host's own streams. */
  domainLoads(): EndpointLoad[];
  /** Use of the pipes by the granted paths. */
  domainPipes(): DomainPipe[];
  /** Makes the table show the load that all other hosts put on the endpoints. */
  applyLoads(): void;
}

/** Dependencies of a coordinator. */
export interface CoordinatorOptions {
  readonly self: HostId;
  readonly table: EndpointTable;
  /** Names this run of the host in the grants of retries. */
  readonly grantor: Grantor;
  readonly retries: RetryPool;
  /**
   * Whether this host coordinates, apart from hosts that are known not to be ready. Two
   * hosts that grant retries know of each other's grants only later.
   */
  readonly mayGrantRetries: (notReady: readonly HostId[]) => boolean;
  /** Whether no other host of the failure domain is known. */
  readonly isAlone: () => boolean;
  /** This failure domain's part of the limits that endpoints have stated. */
  readonly budget: StartBudget;
  readonly config: () => RoutingConfig | undefined;
  /** Index of the local failure domain in the table, if it has an endpoint. */
  readonly localDomain: () => number | undefined;
  readonly random: Random;
  readonly log: Logger;
  /** Checks whether an endpoint that another host avoids is down. */
  readonly verify: (state: EndpointState) => void;
}

/**
 * Creates the coordinator part of a host. Every host has one, and answers whoever
 * asks: which host coordinates is decided by those that ask. Two coordinators of
 * one domain know of each other's grants only through the hosts' reports, which
 * makes choices worse for a second. Retries are granted by one of them.
 *
 * @example
 * const answer = coordinator.answer(ask);
 * if (answer.kind === 'path') send(answer.stages);
 */
export function createCoordinator(options: CoordinatorOptions): Coordinator {
  const {self, table, retries, budget, random} = options;
  const startMs = performance.now();
  let grantedAtMs = -Infinity;
  let started = 0;
  const remote = createRemoteLoads();
  const grants = createGrantTable(change => {
    if (isActive()) addToTable(change);
  });
  const pipes = createPipeUsage({
    total({from, to, utilization}) {
      const [a, b] = [table.domainAt(from), table.domainAt(to)];
      if (a === undefined || b === undefined) return utilization;
      return utilization + remote.pipeUtilization(a, b);
    },
    averagingTimeMs: COORDINATOR_AVERAGING_TIME_MS,
  });

  const grantRepair = createRepairGrants(table);

  const isActive = () => performance.now() - grantedAtMs < ACTIVE_MS;

  function addToTable(load: EndpointLoad): void {
    const {endpoint, running, tokenLayers, starting = 0} = load;
    const state = table.get(endpoint);
    if (state === undefined) return;
    state.othersRunning = Math.max(0, state.othersRunning + running);
    state.othersStarting = Math.max(0, state.othersStarting + starting);
    state.othersTokenLayers = Math.max(
      0,
      state.othersTokenLayers + tokenLayers,
    );
  }

  function applyLoads(): void {
    table.clearOthersLoad();
    for (const load of grants.loads()) addToTable(load);
    for (const load of remote.loads()) addToTable(load);
  }

  function answer(ask: PathAsk): PathAnswer {
    grants.release(ask.host, ask.released);
    const isWarm = performance.now() - startMs >= WARM_UP_MS;
    if (!isWarm && ask.host !== self) return {kind: 'not_ready'};
    if (!isActive()) {
      grantedAtMs = performance.now();
      applyLoads();
    }
    // A stage that is down is refused in the same way as a full one. This host
    // probes the stages of its own streams when they stall.
    if (ask.host !== self) ask.full.forEach(check);
    const profile = options.config()?.services.get(ask.service)?.engine;
    if (profile === undefined) return {kind: 'not_ready'};
    if (ask.repair !== undefined) {
      const {repair} = ask;
      const repaired = grantRepair({...ask, repair}, profile, requestOf(ask));
      if (repaired.kind === 'path')
        record({...ask, id: repair.id}, repaired.stages, profile);
      return repaired;
    }
    const knowsRetries = isWarm || options.isAlone();
    if (ask.isRetry && !(knowsRetries && mayRetry(ask)))
      return {kind: 'no_retry'};
    const request = requestOf(ask);
    const usable = table.usable(ask.service);
    const stages = choosePath(usable, profile, request);
    if (stages === undefined) {
      const mayFree = choosePath(usable, profile, {
        ...request,
        limitedBy: 'nothing',
      });
      return {
        kind: 'no_capacity',
        layers: layersWithoutCapacity(usable, profile, request),
        mayFree: mayFree !== undefined,
      };
    }
    if (ask.isRetry) takeRetry(ask);
    budget.take(stages[0].endpoint);
    record(ask, stages, profile);
    return {kind: 'path', stages, grantor: options.grantor};
  }

  function mayRetry({service, notReady}: PathAsk): boolean {
    return (
      options.mayGrantRetries(notReady ?? []) && retries.isAvailable(service)
    );
  }

  function takeRetry({host, service}: PathAsk): void {
    retries.take(service);
    const usage = retries.usage(service);
    options.log.event('retryGranted', {host, service, ...usage});
  }

  function avoid(endpoints: readonly EndpointId[]): void {
    const nowMs = performance.now();
    for (const endpoint of endpoints) {
      const state = table.get(endpoint);
      if (state === undefined) continue;
      state.fullUntilMs = Math.max(state.fullUntilMs, nowMs + AVOIDED_MS);
      check(endpoint);
    }
  }

  function check(endpoint: EndpointId): void {
    const state = table.get(endpoint);
    if (state !== undefined) options.verify(state);
  }

  function record(
    ask: PathAsk,
    stages: readonly Stage[],
    profile: EngineProfile,
  ): void {
    grantedAtMs = performance.now();
    started += 1;
    const tokens = ask.promptTokens + ask.outputTokens;
    // The table counts this host's own streams as they start.
    if (ask.host !== self) {
      grants.add(ask.host, {
        id: ask.id,
        tokens,
        stages: stages.map(({endpoint, from, to}) => ({
          endpoint,
          layers: to - from,
        })),
      });
    }
    for (const [index, stage] of stages.entries()) {
      const from = index > 0 && table.get(stages[index - 1].endpoint)?.domain;
      const to = table.get(stage.endpoint)?.domain;
      if (typeof from === 'number' && to !== undefined && from !== to)
        pipes.record(from, to, transferMs(profile, tokens));
    }
  }

  function requestOf(ask: PathAsk): PathRequest {
    return {
      promptTokens: ask.promptTokens,
      outputTokens: ask.outputTokens,
      // What is full for one host may have capacity for the next, a moment later.
      exclude: new Set([...ask.exclude, ...ask.full]),
      missingHosts: 0,
      sampleFraction: sampleFraction(remote.unseenStarts()),
      localDomain: options.localDomain(),
      random,
      pipes,
      nowMs: performance.now(),
      limitedBy: 'capacity',
      mayStart: endpoint => budget.isAvailable(endpoint),
    };
  }

  return {
    grants,
    remote,
    answer,
    avoid,
    isActive,
    takeStarted() {
      const count = started;
      started = 0;
      return count;
    },
    domainLoads() {
      const loads = new Map(grants.loads().map(load => [load.endpoint, load]));
      for (const state of table.all()) {
        const {record, running, heldTokenLayers, starting} = state;
        if (running === 0 || record.layers === undefined) continue;
        const granted = loads.get(record.id);
        loads.set(record.id, {
          endpoint: record.id,
          running: running + (granted?.running ?? 0),
          tokenLayers: heldTokenLayers + (granted?.tokenLayers ?? 0),
          starting: starting + (granted?.starting ?? 0),
        });
      }
      return [...loads.values()];
    },
    domainPipes: () =>
      pipes.recorded().flatMap(({from, to, utilization}) => {
        const [a, b] = [table.domainAt(from), table.domainAt(to)];
        return a === undefined || b === undefined
          ? []
          : [{from: a, to: b, utilization}];
      }),
    applyLoads,
  };
}

/** Services with engines, for which a coordinator grants retries. */
export function engineServices(
  config: RoutingConfig | undefined,
): ServiceName[] {
  return [...(config?.services.values() ?? [])]
    .filter(service => service.engine !== undefined)
    .map(service => service.name);
}
