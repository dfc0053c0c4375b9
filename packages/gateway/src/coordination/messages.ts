import type {EndpointId, HostId, ServiceName} from '@chivewick/common';
import type {
  DomainPipe,
  EndpointLoad,
  Grant,
  Grantor,
  HeldGrants,
  RequestLimit,
  RetryCount,
  RetryRun,
} from '@chivewick/coordination';
import {
  parseEvidenceReport,
  type EvidenceReport,
} from '@chivewick/crash-evidence';
import type {Stage} from '@chivewick/engines';
import type {FleetHost} from '../fleet.js';

/** Methods of the messages between the hosts of a fleet. */
export const METHODS = {
  choosePath: 'path.choose',
  release: 'path.release',
  report: 'host.report',
  domainSummary: 'domain.summary',
  coordinatorSummary: 'coordinator.summary',
  suspected: 'endpoint.suspected',
  down: 'endpoint.down',
  evidence: 'crash.evidence',
  limits: 'request.limits',
  start: 'request.start',
} as const;

/** The repair of a path that is in use. */
export interface RepairAsk {
  /** Id under which the path was granted. */
  readonly id: number;
  readonly stages: readonly Stage[];
  /** Endpoints of the path that must be replaced. */
  readonly replaced: readonly EndpointId[];
}

/** A request for a path; it also ends earlier grants of the host. */
export interface PathAsk {
  readonly host: HostId;
  /** Id of the grant, if one is made. */
  readonly id: number;
  readonly service: ServiceName;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Endpoints that must not be on the path. */
  readonly exclude: readonly EndpointId[];
  /** Endpoints that have just refused a request as full. */
  readonly full: readonly EndpointId[];
  /** Whether the request has already been sent to an endpoint. */
  readonly isRetry: boolean;
  readonly released: readonly number[];
  /** Coordinators that have just answered `not_ready`. */
  readonly notReady?: readonly HostId[];
  /** Set if a path is to be repaired; older versions grant a whole path instead. */
  readonly repair?: RepairAsk;
}

/** Result of a request for a path. */
export type PathAnswer =
  | {
      readonly kind: 'path';
      readonly stages: readonly Stage[];
      /** The coordinator's run; unset if this host has chosen by itself. */
      readonly grantor?: Grantor;
      /** Set if this is the repair that was asked for. */
      readonly isRepair?: boolean;
      /** Expected time until the replacements have read the prompt. */
      readonly readMs?: number;
    }
  /** Some layers have no endpoint with capacity; `layers` names them. */
  | {
      readonly kind: 'no_capacity';
      readonly layers: string;
      readonly mayFree: boolean;
      /** Set if a repair was denied. */
      readonly isRepair?: boolean;
    }
  | {readonly kind: 'no_retry'}
  /** The coordinator has started recently and does not know the load yet. */
  | {readonly kind: 'not_ready'};

/** Paths that a host uses, and endpoints that do not respond to it. */
export interface HostReport extends HeldGrants {
  readonly from: FleetHost;
  /** Set if the host holds the order lease. */
  readonly isLeaseHolder: boolean;
  /** Epoch time of the start of the host's process, in milliseconds. */
  readonly startedAtMs?: number;
  readonly retries?: readonly RetryCount[];
  /** Version of the configuration that the sender has in effect. */
  readonly configVersion?: number;
}

/** What a coordinator tells the hosts of its failure domain. */
export interface DomainSummary {
  readonly from: HostId;
  /** Loads of all hosts on the endpoints that the domain uses. */
  readonly loads: readonly EndpointLoad[];
  readonly suspected: readonly EndpointId[];
  /** Services for which a retry is available. */
  readonly retryable: readonly ServiceName[];
  /** For a host that has just started: what other runs have counted. */
  readonly retryRuns?: readonly RetryRun[];
  readonly holderSeenMsAgo: number;
  /** Version of the configuration that the sender has in effect. */
  readonly configVersion?: number;
}

/** What a coordinator tells the coordinators of other failure domains. */
export interface CoordinatorSummary {
  readonly from: HostId;
  readonly loads: readonly EndpointLoad[];
  readonly started: number;
  readonly pipes: readonly DomainPipe[];
  /** Endpoints of its own failure domain that do not respond to it. */
  readonly suspected: readonly EndpointId[];
  readonly holderSeenMsAgo: number;
  /** Version of the configuration that the sender has in effect. */
  readonly configVersion?: number;
}

/** Ids of grants that a host no longer uses. */
export interface ReleaseMessage {
  readonly host: HostId;
  readonly released: readonly number[];
}

/** Endpoints that do not respond. */
export interface SuspectedMessage {
  readonly from: HostId;
  readonly endpoints: readonly EndpointId[];
}

/** What a host knows of requests that crash endpoints. */
export interface EvidenceMessage {
  readonly from: HostId;
  readonly evidence: EvidenceReport;
}

/** What a host knows of the limits that endpoints have stated. */
export interface LimitsMessage {
  readonly from: HostId;
  readonly limits: readonly RequestLimit[];
}

/** Asks whether a request may start on one of some endpoints, the best first. */
export interface StartAsk {
  readonly endpoints: readonly EndpointId[];
}

/** The endpoint on which the request may start; null if on none now. */
export interface StartAnswer {
  readonly endpoint: EndpointId | null;
}

type Fields = Readonly<Record<string, unknown>>;

// Anyone may send datagrams, so every field is checked before it is used. The
// checks return undefined for a message that does not have the expected shape.

export function parseAsk(value: unknown): PathAsk | undefined {
  const ask = fieldsOf(value);
  const isValid =
    isText(ask['host']) &&
    isText(ask['service']) &&
    [ask['id'], ask['promptTokens'], ask['outputTokens']].every(isCount) &&
    isListOf(ask['exclude'], isText) &&
    isListOf(ask['full'], isText) &&
    isListOf(ask['released'], isCount) &&
    (ask['notReady'] === undefined || isListOf(ask['notReady'], isText)) &&
    (ask['repair'] === undefined || isRepairAsk(ask['repair']));
  return isValid ? (value as PathAsk) : undefined;
}

export function parseAnswer(value: unknown): PathAnswer | undefined {
  const answer = fieldsOf(value);
  const isValid =
    answer['kind'] === 'path'
      ? isListOf(answer['stages'], isStage) &&
        (answer['grantor'] === undefined || isText(answer['grantor'])) &&
        (answer['readMs'] === undefined || isCount(answer['readMs']))
      : ['no_capacity', 'no_retry', 'not_ready'].includes(
          answer['kind'] as string,
        );
  return isValid ? (value as PathAnswer) : undefined;
}

export function parseRelease(value: unknown): ReleaseMessage | undefined {
  const message = fieldsOf(value);
  const isValid =
    isText(message['host']) && isListOf(message['released'], isCount);
  return isValid ? (value as ReleaseMessage) : undefined;
}

export function parseReport(value: unknown): HostReport | undefined {
  const report = fieldsOf(value);
  const from = fieldsOf(report['from']);
  const isValid =
    isText(from['id']) &&
    isText(from['address']) &&
    isText(from['failureDomain']) &&
    isCount(from['cores']) &&
    isCount(report['through']) &&
    typeof report['isComplete'] === 'boolean' &&
    isListOf(report['held'], isGrant) &&
    (report['startedAtMs'] === undefined || isCount(report['startedAtMs'])) &&
    (report['retries'] === undefined ||
      isListOf(report['retries'], isRetryCount)) &&
    isOptionalCount(report['configVersion']);
  return isValid ? (value as HostReport) : undefined;
}

export function parseDomainSummary(value: unknown): DomainSummary | undefined {
  const summary = fieldsOf(value);
  const isValid =
    isText(summary['from']) &&
    isListOf(summary['loads'], isLoad) &&
    isListOf(summary['suspected'], isText) &&
    isListOf(summary['retryable'], isText) &&
    (summary['retryRuns'] === undefined ||
      isListOf(summary['retryRuns'], isRetryRun)) &&
    isCount(summary['holderSeenMsAgo']) &&
    isOptionalCount(summary['configVersion']);
  return isValid ? (value as DomainSummary) : undefined;
}

export function parseCoordinatorSummary(
  value: unknown,
): CoordinatorSummary | undefined {
  const summary = fieldsOf(value);
  const isValid =
    isText(summary['from']) &&
    isListOf(summary['loads'], isLoad) &&
    isListOf(summary['pipes'], isPipe) &&
    isListOf(summary['suspected'], isText) &&
    isCount(summary['started']) &&
    isCount(summary['holderSeenMsAgo']) &&
    isOptionalCount(summary['configVersion']);
  return isValid ? (value as CoordinatorSummary) : undefined;
}

export function parseSuspected(value: unknown): SuspectedMessage | undefined {
  const message = fieldsOf(value);
  const isValid =
    isText(message['from']) && isListOf(message['endpoints'], isText);
  return isValid ? (value as SuspectedMessage) : undefined;
}

export function parseEvidence(value: unknown): EvidenceMessage | undefined {
  const message = fieldsOf(value);
  const isValid =
    isText(message['from']) &&
    parseEvidenceReport(message['evidence']) !== undefined;
  return isValid ? (value as EvidenceMessage) : undefined;
}

export function parseLimits(value: unknown): LimitsMessage | undefined {
  const message = fieldsOf(value);
  const isValid =
    isText(message['from']) && isListOf(message['limits'], isLimit);
  return isValid ? (value as LimitsMessage) : undefined;
}

export function parseStartAsk(value: unknown): StartAsk | undefined {
  const isValid = isListOf(fieldsOf(value)['endpoints'], isText);
  return isValid ? (value as StartAsk) : undefined;
}

export function parseStartAnswer(value: unknown): StartAnswer | undefined {
  const {endpoint} = fieldsOf(value);
  const isValid = endpoint === null || isText(endpoint);
  return isValid ? (value as StartAnswer) : undefined;
}

function fieldsOf(value: unknown): Fields {
  return typeof value === 'object' && value !== null ? (value as Fields) : {};
}

function isText(value: unknown): boolean {
  return typeof value === 'string' && value !== '';
}

function isCount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isOptionalCount(value: unknown): boolean {
  return value === undefined || isCount(value);
}

function isListOf(value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem);
}

function isLoad(value: unknown): boolean {
  const load = fieldsOf(value) as Partial<EndpointLoad>;
  return (
    isText(load.endpoint) &&
    isCount(load.running) &&
    isCount(load.tokenLayers) &&
    (load.starting === undefined || isCount(load.starting))
  );
}

function isLimit(value: unknown): boolean {
  const limit = fieldsOf(value) as Partial<RequestLimit>;
  return (
    isText(limit.endpoint) &&
    isCount(limit.startedAtMs) &&
    isCount(limit.msAgo) &&
    (limit.perSecond === undefined || isCount(limit.perSecond))
  );
}

function isPipe(value: unknown): boolean {
  const pipe = fieldsOf(value) as Partial<DomainPipe>;
  return isText(pipe.from) && isText(pipe.to) && isCount(pipe.utilization);
}

function isGrant(value: unknown): boolean {
  const grant = fieldsOf(value) as Partial<Grant>;
  const isGrantedStage = (stage: unknown) =>
    isText(fieldsOf(stage)['endpoint']) && isCount(fieldsOf(stage)['layers']);
  return (
    isCount(grant.id) &&
    isCount(grant.tokens) &&
    isListOf(grant.stages, isGrantedStage)
  );
}

function isRetryCount(value: unknown): boolean {
  const count = fieldsOf(value) as Partial<RetryCount>;
  const isGranted = (granted: unknown) =>
    isText(fieldsOf(granted)['grantor']) &&
    isCount(fieldsOf(granted)['retries']);
  return (
    isText(count.service) &&
    isCount(count.requests) &&
    isCount(count.share) &&
    isListOf(count.granted, isGranted)
  );
}

function isRetryRun(value: unknown): boolean {
  const run = fieldsOf(value) as Partial<RetryRun>;
  return (
    isText(run.host) &&
    isCount(run.startedAtMs) &&
    isCount(run.msAgo) &&
    isCount(run.knownMs) &&
    isListOf(run.counts, isRetryCount)
  );
}

function isRepairAsk(value: unknown): boolean {
  const repair = fieldsOf(value);
  return (
    isCount(repair['id']) &&
    isListOf(repair['stages'], isStage) &&
    isListOf(repair['replaced'], isText)
  );
}

function isStage(value: unknown): boolean {
  const stage = fieldsOf(value) as Partial<Stage>;
  return (
    isText(stage.endpoint) &&
    isText(stage.address) &&
    isCount(stage.from) &&
    isCount(stage.to)
  );
}
