import type {
  Brand,
  EndpointId,
  FailureDomain,
  ModelName,
  ServiceName,
  WorkspaceId,
} from '@chivewick/common';
import type {LayerRange, Stage} from '@chivewick/engines';

export type RouteName = Brand<'RouteName'>;

/**
 * What may be done again with a request: `repeatable` may run any number of
 * times, `once` at most once, and a `stream` may be continued elsewhere after
 * the events that the caller has, where its route says so.
 */
export type RequestKind = 'repeatable' | 'once' | 'stream';

/** A service that a route sends a part of its requests to. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** A rule of the routing configuration. */
export interface RouteRule {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a request may stay unanswered. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event, that earns full credit. */
  readonly goalMs: number;
  /** Longest pause between two events of a stream that is still on time. */
  readonly gapGoalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Endpoints that one request may be sent to. */
  readonly maxEndpoints: number;
  /** Whether requests need no key. */
  readonly open: boolean;
  readonly resumable: boolean;
}

/** A kind of accelerator. */
export interface AcceleratorKind {
  readonly memoryMb: number;
  /** Factor on the time of decoding steps. */
  readonly pace: number;
  /** Factor on the time of reading prompts. */
  readonly readFactor: number;
}

/** Times, sizes and memory of the model engines of a service. */
export interface EngineProfile {
  readonly model: ModelName;
  /** Time to load the whole model, in seconds. */
  readonly loadS: number;
  readonly loadsAtOnce: number;
  readonly layers: number;
  readonly layerMb: number;
  readonly stepMs: number;
  readonly perSequenceMs: number;
  /** For each 1,000 tokens of context of a sequence. */
  readonly contextMsPerThousand: number;
  readonly readTokensPerS: number;
  /** Memory of one token over all layers, in bytes. */
  readonly tokenBytes: number;
  readonly activationBytes: number;
  readonly linkMbps: number;
  /** Shared by everything that passes between two failure domains. */
  readonly pipeMbps: number;
  readonly slots: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly kinds: ReadonlyMap<string, AcceleratorKind>;
  readonly delays: readonly DomainDelay[];
}

/** One-way delay between two failure domains, in milliseconds. */
export interface DomainDelay {
  readonly from: FailureDomain;
  readonly to: FailureDomain;
  readonly delayMs: number;
}

/** A service; those with an engine profile run models in pipelines. */
export interface ServiceRule {
  readonly name: ServiceName;
  readonly healthPath: string;
  readonly engine?: EngineProfile;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The workspace that a key belongs to. */
export interface Workspace {
  readonly id: WorkspaceId;
  /** Takes precedence over the priority of a route. */
  readonly priority?: number;
}

/** A version of the whole routing configuration. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  readonly services: ReadonlyMap<ServiceName, ServiceRule>;
  readonly limits: CallerLimits;
  /** Undefined where requests carry no keys. */
  readonly workspaceOfKey?: ReadonlyMap<string, Workspace>;
}

/** An endpoint as it registers itself. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly service: ServiceName;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Unix time of its start in milliseconds; tells incarnations apart. */
  readonly startedAtMs: number;
  readonly accelerator?: string;
  /** Undefined while it holds no layers. */
  readonly layers?: LayerRange;
}

/** Bounds that the deployment sets on this host. */
export interface HostBounds {
  /** A leaving endpoint gets no request after this time. */
  readonly drainMs: number;
  /** Time between the stop signal and the forced end. */
  readonly graceMs: number;
  /** Time after which a removed key must not be used any more. */
  readonly revokeMs: number;
  /** Whether that holds even for hosts that cannot reach the store. */
  readonly strictRevocation: boolean;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Second sends in a window beyond the ratio, over all hosts. */
  readonly retryExtra: number;
}

/** What a caller's request says of itself, by its headers. */
export interface RequestFacts {
  readonly requestId?: string;
  readonly deadlineMs?: number;
  readonly key?: string;
  readonly lastEventId?: number;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's guess; right at the median, often far off. */
  readonly likelyAnswerTokens?: number;
}

/** What the host tells an endpoint about a request. */
export interface ForwardFacts {
  readonly endpoint: EndpointId;
  readonly workspace?: WorkspaceId;
  readonly deadlineMs: number;
  readonly lastEventId?: number;
  readonly priority?: number;
  /** Stages of the pipeline, in order; undefined for plain services. */
  readonly stages?: readonly Stage[];
}

/** What an endpoint's answer says of itself, by its headers. */
export interface AnswerFacts {
  readonly requestId?: string;
  /** Whether the endpoint signed the answer. */
  readonly signed: boolean;
  /** The endpoint states that the request has not run. */
  readonly notRun: boolean;
  /** Address of the stage that an engine blames. */
  readonly blamedAddress?: string;
  readonly encoded: boolean;
}

type HeaderValue = string | string[] | undefined;
export type Headers = Readonly<Record<string, HeaderValue>>;

/** Translates between HTTP headers and what they mean. */
export interface Dialect {
  readRequest(headers: Headers): RequestFacts;
  /** Headers for the endpoint, as a flat list of names and values. */
  forwardHeaders(rawHeaders: readonly string[], facts: ForwardFacts): string[];
  readAnswer(status: number, headers: Headers): AnswerFacts;
}

/** An engine's own account of itself. */
export interface EngineReport {
  readonly orderCount: number;
  readonly layers?: LayerRange;
  /** Over 1 where the engine is slower than its kind. */
  readonly slowness: number;
  /** Requests that wait for another stage, and that stage's address. */
  readonly stalled: readonly {requestId: string; address: string}[];
}

/** The outcome of an order to an engine. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'done'}
  | {readonly kind: 'conflict'; readonly blamedAddress?: string}
  | {readonly kind: 'fenced'}
  | {readonly kind: 'unknown'; readonly message: string};

/** Calls to an engine beside requests. */
export interface EngineControl {
  /** Undefined where the engine did not answer in time. */
  report(address: string, timeoutMs: number): Promise<EngineReport | undefined>;
  place(
    endpoint: {id: EndpointId; address: string},
    range: LayerRange,
    options: {fence: number; orderCount: number},
  ): Promise<OrderOutcome>;
  repath(
    endpoint: {id: EndpointId; address: string},
    requestId: string,
    stages: readonly Stage[],
    options: {fence?: number},
  ): Promise<OrderOutcome>;
}
