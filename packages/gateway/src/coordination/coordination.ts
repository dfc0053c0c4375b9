import type {
  EndpointId,
  HostId,
  Logger,
  Random,
  ServiceName,
} from '@chivewick/common';
import {
  createContacts,
  createRequestLimits,
  type RequestLimits,
} from '@chivewick/coordination';
import type {Stage} from '@chivewick/engines';
import {
  choosePath,
  layersWithoutCapacity,
  sampleFraction,
  type PathRequest,
} from '../choose-path.js';
import {
  acceptsRequests,
  type EndpointState,
  type EndpointTable,
} from '../endpoint-table.js';
import type {Fleet, FleetHost} from '../fleet.js';
import type {PipeUsage} from '../pipe-usage.js';
import type {RetryAllowance} from '../retry-allowance.js';
import {
  createQuarantine,
  isReplaced,
  type CheckRun,
  type Quarantine,
} from '../quarantine/index.js';
import type {RoutingConfig} from '../types.js';
import {
  createRepairAsker,
  type RepairChoice,
  type RepairNeed,
} from './ask-repair.js';
import {createCoordinator, engineServices} from './coordinator.js';
import {openDatagrams, type Handlers} from './datagrams.js';
import {createDomainRetries} from './domain-retries.js';
import {
  applyDomainSummary,
  applySuspicions,
  createDomainSummary,
  suspectReported,
} from './domain-summary.js';
import {createGossip} from './gossip.js';
import {createHeldPaths, type HeldPaths} from './held-paths.js';
import {
  METHODS,
  parseAsk,
  parseCoordinatorSummary,
  parseDomainSummary,
  parseEvidence,
  parseLimits,
  parseRelease,
  parseReport,
  parseSuspected,
  type CoordinatorSummary,
  type DomainSummary,
  type HostReport,
  type PathAnswer,
} from './messages.js';
import {createPathAsker, type PathNeed, type PathWork} from './path-asker.js';
import {createRanks, type Ranks} from './ranks.js';
import {createRequestStarts} from './request-starts.js';

/**
 * Interval of a host's reports for each host of its failure domain, so that a
 * coordinator gets 40 reports a second, and its bounds. A standby knows the load
 * within this time, and a host that repairs a path knows that of the others.
 */
const REPORT_MS_PER_HOST = 25;
const MIN_REPORT_INTERVAL_MS = 250;
const MAX_REPORT_INTERVAL_MS = 1_000;
/**
 * Paths in one report: a path of five stages takes 300 bytes, a datagram carries 64
 * KB, and one that is too large would not be sent at all.
 */
const MAX_REPORTED_PATHS = 150;
/** Interval of the summaries between coordinators; far shorter than a stream. */
const SUMMARY_INTERVAL_MS = 250;
/** Delay over which ended paths are gathered into one message. */
const RELEASE_DELAY_MS = 100;
/** A summary older than this says nothing about the present load. */
const SUMMARY_VALID_MS = 3_000;

/** A path, with the id under which it is reported until it is released. */
export type PathChoice =
  | (Extract<PathAnswer, {kind: 'path'}> & {readonly id: number})
  | Extract<PathAnswer, {kind: 'no_capacity' | 'no_retry'}>;

/** This host's part in choosing paths together with the other hosts. */
export interface Coordination {
  readonly held: HeldPaths;
  readonly ranks: Pick<Ranks, 'isCandidate' | 'isCoordinator' | 'readerRole'>;
  readonly quarantine: Quarantine;
  readonly limits: RequestLimits;
  /**
   * Counts a plain request that starts on the first of some endpoints whose limits allow
   * it; undefined if none does now.
   */
  takeStart(endpoints: readonly EndpointId[]): Promise<EndpointId | undefined>;
  /** Asks the coordinator for a path; without one, this host chooses by itself. */
  choosePath(need: PathNeed): Promise<PathChoice>;
  /** Asks the coordinator for the repair of a path; may leave it to this host. */
  askRepair(need: RepairNeed): Promise<RepairChoice>;
  /** Parameters of a choice that this host makes by itself. */
  localRequest(work: PathWork): PathRequest;
  /** Whether a retry to a service was recently available. */
  mayRetry(service: ServiceName): boolean;
  /** Whether this host probes an endpoint for all hosts. */
  isResponsible(state: EndpointState): boolean;
  /** Time since another host last reported that it holds the order lease. */
  sinceHolderSeenMs(): number;
  close(): void;
}

/** Dependencies of the coordination. */
export interface CoordinationOptions {
  readonly self: FleetHost;
  readonly fleet: Fleet;
  readonly table: EndpointTable;
  /** This host's own counts of requests and retries. */
  readonly allowance: RetryAllowance;
  /** Bounds of the retries of all hosts together. */
  readonly retryBounds: {readonly ratio: number; readonly windowMs: number};
  readonly config: () => RoutingConfig | undefined;
  readonly pipes: PipeUsage;
  readonly random: Random;
  readonly log: Logger;
  readonly isLeaseHolder: () => boolean;
  /** Called after a change of what is known of crashes. */
  readonly onEvidence?: () => void;
  /** Called with the version of the configuration that another host has in effect. */
  readonly onConfigVersion?: (host: HostId, version: number) => void;
  readonly checkRun: CheckRun;
  /** Checks an endpoint that did not respond to another host. */
  readonly verify: (state: EndpointState) => void;
}

/**
 * Starts the coordination: this host reports its paths to the coordinators of its
 * failure domain and asks them for new ones, and coordinates itself if it is
 * asked. Rejects if the address cannot be bound.
 *
 * @example
 * const coordination = await startCoordination({self, fleet, table, ...});
 * const choice = await coordination.choosePath(need);
 */
export async function startCoordination(
  options: CoordinationOptions,
): Promise<Coordination> {
  const {self, fleet, table, log, allowance} = options;
  const contacts = createContacts();
  const ranks = createRanks({self, fleet, contacts});
  const held = createHeldPaths();
  const limits = createRequestLimits(() => gossip.announceLimits());
  const starts = createRequestStarts({
    self,
    fleet,
    table,
    limits,
    ranks,
    contacts,
    datagrams: () => datagrams,
  });
  const retries = createDomainRetries({
    self: self.id,
    allowance,
    bounds: options.retryBounds,
    services: () => engineServices(options.config()),
  });
  const coordinator = createCoordinator({
    ...options,
    self: self.id,
    grantor: retries.grantor,
    retries: retries.pool,
    isAlone: () => ranks.local().length === 1,
    mayGrantRetries: notReady => ranks.isFirstWithout(notReady),
    budget: starts.domainBudget,
    localDomain,
  });
  const quarantine = createQuarantine({
    self: self.id,
    others: () => fleet.others(),
    checkRun: options.checkRun,
    isReplaced: state => isReplaced(table, state),
    log,
    onChange() {
      gossip.announceEvidence();
      options.onEvidence?.();
    },
  });
  const gossip = createGossip({
    self: self.id,
    quarantine: () => quarantine,
    limits: () => limits,
    ranks,
    datagrams: () => datagrams,
    otherCoordinators,
  });
  /** Hosts whose answer to the last report is outstanding. */
  const unanswered = new Set<HostId>();
  let holderSeenAtMs = -Infinity;
  let summary: {value: DomainSummary; atMs: number} | undefined;
  let releaseTimer: NodeJS.Timeout | undefined;

  const handlers: Handlers = {
    [METHODS.choosePath](params) {
      const ask = parseAsk(params);
      return ask === undefined ? undefined : coordinator.answer(ask);
    },
    [METHODS.release](params) {
      const message = parseRelease(params);
      if (message === undefined) return;
      coordinator.grants.release(message.host, message.released);
    },
    [METHODS.report](params) {
      const report = parseReport(params);
      if (report !== undefined) receiveReport(report);
    },
    [METHODS.domainSummary](params) {
      const value = parseDomainSummary(params);
      if (value !== undefined) receiveDomainSummary(value);
    },
    [METHODS.coordinatorSummary](params) {
      const value = parseCoordinatorSummary(params);
      if (value === undefined || value.from === self.id) return;
      seeHolder(value.holderSeenMsAgo);
      hearConfig(value.from, value.configVersion);
      coordinator.remote.replace(value.from, value);
      applySuspicions(table, value);
    },
    [METHODS.suspected](params) {
      coordinator.avoid(parseSuspected(params)?.endpoints ?? []);
    },
    [METHODS.evidence](params) {
      const message = parseEvidence(params);
      if (message !== undefined) quarantine.merge(message.evidence);
    },
    [METHODS.limits](params) {
      const message = parseLimits(params);
      if (message !== undefined) limits.merge(message.limits);
    },
    [METHODS.start]: params => starts.answer(params),
    [METHODS.down](params) {
      for (const endpoint of parseSuspected(params)?.endpoints ?? [])
        suspectReported(table, endpoint);
    },
  };
  const datagrams = await openDatagrams(self.address, handlers, log);
  const ask = createPathAsker({
    self: self.id,
    table,
    held,
    ranks,
    contacts,
    coordinator,
    datagrams: () => datagrams,
  });
  const askRepair = createRepairAsker({
    held: {...held, release},
    ask,
    isEnabled: () => ranks.local().length > 1,
    isUsable: areUsable,
  });
  let reportTimer = setTimeout(sendReports, MIN_REPORT_INTERVAL_MS);
  const summaryTimer = setInterval(sendSummaries, SUMMARY_INTERVAL_MS);
  const unsubscribe = table.onSuspected(announceSuspect);

  /**
   * Tells the coordinators of the own and of the endpoint's failure domain, and as a
   * coordinator the hosts that have streams there.
   */
  function announceSuspect(state: EndpointState): void {
    const {id: endpoint, failureDomain} = state.record;
    const message = {from: self.id, endpoints: [endpoint]};
    const affected = new Set(coordinator.grants.hostsOn(endpoint));
    for (const {id, address} of fleet.others())
      if (affected.has(id)) datagrams.notify(address, METHODS.down, message);
    if (isResponsible(state)) return;
    const targets = new Set([ranks.coordinator()]);
    if (failureDomain !== self.failureDomain)
      for (const host of ranks.of(failureDomain)) targets.add(host);
    for (const {id, address} of targets)
      if (id !== self.id) datagrams.notify(address, METHODS.suspected, message);
  }

  function isResponsible({record}: EndpointState): boolean {
    const hasHosts = fleet.domains().includes(record.failureDomain);
    const isLocal = record.failureDomain === self.failureDomain;
    return ranks.isCoordinator() && (isLocal || !hasHosts);
  }

  function seeHolder(msAgo: number): void {
    holderSeenAtMs = Math.max(holderSeenAtMs, performance.now() - msAgo);
  }

  function hearConfig(host: HostId, version: number | undefined): void {
    if (version !== undefined) options.onConfigVersion?.(host, version);
  }

  function holderSeenMsAgo(): number {
    if (options.isLeaseHolder()) return 0;
    // JSON has no infinity.
    return Math.min(
      Number.MAX_SAFE_INTEGER,
      performance.now() - holderSeenAtMs,
    );
  }

  /** Reports to the coordinators, and probes those that did not respond. */
  function sendReports(): void {
    const intervalMs = REPORT_MS_PER_HOST * ranks.local().length;
    reportTimer = setTimeout(
      sendReports,
      Math.min(
        MAX_REPORT_INTERVAL_MS,
        Math.max(MIN_REPORT_INTERVAL_MS, intervalMs),
      ),
    );
    const paths = held.all();
    const report: HostReport = {
      from: self,
      held: paths.slice(-MAX_REPORTED_PATHS),
      isComplete: paths.length <= MAX_REPORTED_PATHS,
      through: Math.max(0, held.settledThrough()),
      isLeaseHolder: options.isLeaseHolder(),
      configVersion: options.config()?.version,
      ...retries.report(),
    };
    for (const {id, address} of ranks.reportTargets()) {
      if (unanswered.has(id)) contacts.missed(id);
      unanswered.add(id);
      datagrams.notify(address, METHODS.report, report);
    }
    gossip.repeat(ranks.reportTargets());
  }

  function receiveReport(report: HostReport): void {
    const {from} = report;
    fleet.add(from);
    contacts.heard(from.id);
    if (report.isLeaseHolder) seeHolder(0);
    hearConfig(from.id, report.configVersion);
    coordinator.grants.sync(from.id, report);
    retries.receive(report);
    const value = createDomainSummary(table, {
      from: self.id,
      failureDomain: self.failureDomain,
      retryable: retries.retryable(),
      retryRuns: retries.runsFor(report),
      holderSeenMsAgo: holderSeenMsAgo(),
      configVersion: options.config()?.version,
    });
    datagrams.notify(from.address, METHODS.domainSummary, value);
    gossip.repeat([from]);
  }

  function receiveDomainSummary(value: DomainSummary): void {
    contacts.heard(value.from);
    unanswered.delete(value.from);
    seeHolder(value.holderSeenMsAgo);
    hearConfig(value.from, value.configVersion);
    retries.learn(value);
    // Of two coordinators, the one that this host asks knows the load.
    if (value.from !== ranks.coordinator().id) return;
    summary = {value, atMs: performance.now()};
    if (!coordinator.isActive()) applyDomainSummary(table, value);
  }

  function sendSummaries(): void {
    coordinator.grants.expire();
    if (!coordinator.isActive()) return;
    coordinator.applyLoads();
    const nowMs = performance.now();
    const params: CoordinatorSummary = {
      from: self.id,
      loads: coordinator.domainLoads(),
      pipes: coordinator.domainPipes(),
      suspected: table
        .all()
        .filter(state => state.suspectedUntilMs > nowMs && isResponsible(state))
        .map(state => state.record.id),
      started: coordinator.takeStarted(),
      holderSeenMsAgo: holderSeenMsAgo(),
      configVersion: options.config()?.version,
    };
    for (const {address} of otherCoordinators())
      datagrams.notify(address, METHODS.coordinatorSummary, params);
    gossip.repeat(otherCoordinators());
  }

  /**
   * The hosts that should coordinate the other failure domains, and those that do
   * because the others are gone.
   */
  function otherCoordinators(): Set<FleetHost> {
    const reporting = new Set(coordinator.remote.coordinators());
    const targets = new Set(fleet.others().filter(({id}) => reporting.has(id)));
    for (const domain of fleet.domains()) {
      if (domain === self.failureDomain) continue;
      for (const host of ranks.of(domain)) targets.add(host);
    }
    return targets;
  }

  function localDomain(): number | undefined {
    return table
      .all()
      .find(({record}) => record.failureDomain === self.failureDomain)?.domain;
  }

  async function choose(need: PathNeed): Promise<PathChoice> {
    const id = held.nextId();
    const answer = await ask(need, id);
    const choice =
      answer.kind === 'not_ready' || !isUsable(answer)
        ? chooseLocally(need)
        : answer;
    if (choice.kind === 'path') {
      if (need.isRetry) retries.countGranted(need.service, choice.grantor);
      held.set(id, need.promptTokens + need.outputTokens, choice.stages);
      return {...choice, id};
    }
    held.release(id);
    return choice;
  }

  /** Whether this host knows all stages of a path, and that none is leaving. */
  function isUsable(answer: PathAnswer): boolean {
    return answer.kind !== 'path' || areUsable(answer.stages);
  }

  function areUsable(stages: readonly Stage[]): boolean {
    return stages.every(({endpoint, address}) => {
      const state = table.get(endpoint);
      return (
        state !== undefined &&
        acceptsRequests(state, performance.now()) &&
        state.record.address === address
      );
    });
  }

  /** Without a coordinator nothing limits the retries of all hosts together. */
  function chooseLocally(
    need: PathNeed,
  ): Exclude<PathAnswer, {kind: 'not_ready'}> {
    if (need.isRetry) return {kind: 'no_retry'};
    const usable = table.usable(need.service);
    const request = {
      ...localRequest(need),
      mayStart: (endpoint: EndpointId) =>
        starts.hostBudget.isAvailable(endpoint),
    };
    const stages = choosePath(usable, need.profile, request);
    if (stages !== undefined) {
      starts.hostBudget.take(stages[0].endpoint);
      return {kind: 'path', stages};
    }
    const later = {...request, limitedBy: 'nothing' as const};
    return {
      kind: 'no_capacity',
      layers: layersWithoutCapacity(usable, need.profile, request),
      mayFree: choosePath(usable, need.profile, later) !== undefined,
    };
  }

  function localRequest(work: PathWork): PathRequest {
    const {promptTokens, outputTokens, exclude} = work;
    const isKnown =
      coordinator.isActive() ||
      (summary !== undefined &&
        performance.now() - summary.atMs < SUMMARY_VALID_MS);
    return {
      promptTokens,
      outputTokens,
      exclude,
      missingHosts: isKnown ? 0 : fleet.count() - 1,
      sampleFraction: sampleFraction(fleet.count()),
      localDomain: localDomain(),
      random: options.random,
      pipes: options.pipes,
      nowMs: performance.now(),
      limitedBy: 'refusals',
    };
  }

  function release(id: number): void {
    held.release(id);
    releaseTimer ??= setTimeout(flushReleased, RELEASE_DELAY_MS);
  }

  function flushReleased(): void {
    releaseTimer = undefined;
    const released = held.takeReleased();
    const target = ranks.coordinator();
    if (released.length === 0 || target.id === self.id) return;
    const message = {host: self.id, released};
    datagrams.notify(target.address, METHODS.release, message);
  }

  return {
    held: {
      ...held,
      release,
    },
    ranks,
    quarantine,
    limits,
    takeStart: endpoints => starts.take(endpoints),
    choosePath: choose,
    askRepair,
    localRequest,
    mayRetry: service =>
      ranks.isCoordinator()
        ? retries.pool.isAvailable(service)
        : summary?.value.retryable.includes(service) === true,
    isResponsible,
    sinceHolderSeenMs: () => performance.now() - holderSeenAtMs,
    close() {
      unsubscribe();
      clearTimeout(reportTimer);
      clearInterval(summaryTimer);
      clearTimeout(releaseTimer);
      datagrams.close();
    },
  };
}
