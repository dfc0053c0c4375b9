import type {
  Brand,
  EndpointId,
  FailureDomain,
  ModelName,
  ServiceName,
  WorkspaceId,
} from '@chivewick/common';
import type {LayerRange, Stage} from '@chivewick/engines';
import type {IntakeLimits} from './intake/index.js';

export type RouteName = Brand<'RouteName'>;

/**
 * How often a request may run: `repeatable` any number of times, `once` at most
 * once. A `stream` may be resumed on another endpoint after the last event that
 * the caller has received, if its route is resumable.
 */
export type RequestKind = 'repeatable' | 'once' | 'stream';

/** A service that receives a weighted share of a route's requests. */
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
  /** Maximum time until a request must be answered. */
  readonly timeoutMs: number;
  /** Target time to the response, or to the first event of a stream. */
  readonly goalMs: number;
  /** Maximum gap between two events of a stream that still meets the target. */
  readonly gapGoalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints on which one request may run. */
  readonly maxEndpoints: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may continue on another endpoint. */
  readonly resumable: boolean;
}

/** A kind of accelerator. */
export interface AcceleratorKind {
  readonly memoryMb: number;
  /** Multiplier on the duration of decoding steps. */
  readonly pace: number;
  /** Multiplier on the prefill time. */
  readonly readFactor: number;
}

/** Timing, size and memory parameters of the model engines of a service. */
export interface EngineProfile {
  readonly model: ModelName;
  /** Time to load the whole model, in seconds. */
  readonly loadS: number;
  readonly loadsAtOnce: number;
  readonly layers: number;
  readonly layerMb: number;
  readonly stepMs: number;
  readonly perSequenceMs: number;
  /** Added step time per 1,000 tokens of context of a sequence. */
  readonly contextMsPerThousand: number;
  readonly prefillTokensPerS: number;
  /** KV cache memory of one token across all layers, in bytes. */
  readonly tokenBytes: number;
  readonly activationBytes: number;
  readonly linkMbps: number;
  /** Bandwidth shared by all traffic between two failure domains. */
  readonly pipeMbps: number;
  readonly slots: number;
  readonly typicalPromptTokens: number;
  readonly typicalOutputTokens: number;
  readonly kinds: ReadonlyMap<string, AcceleratorKind>;
  readonly delays: readonly DomainDelay[];
}

/** One-way delay between two failure domains, in milliseconds. */
export interface DomainDelay {
  readonly from: FailureDomain;
  readonly to: FailureDomain;
  readonly delayMs: number;
}

/** A service. One with an engine profile runs its model in pipelines. */
export interface ServiceRule {
  readonly name: ServiceName;
  readonly healthPath: string;
  readonly engine?: EngineProfile;
}

/** Size and time limits on callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The workspace to which a key belongs. */
export interface Workspace {
  readonly id: WorkspaceId;
  /** Overrides the priority of a route. */
  readonly priority?: number;
}

/** One version of the complete routing configuration. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  readonly services: ReadonlyMap<ServiceName, ServiceRule>;
  readonly limits: CallerLimits;
  /** Undefined if requests carry no keys. */
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
  /** Unix time of its start in milliseconds; distinguishes incarnations. */
  readonly startedAtMs: number;
  /** Writes of the entry in this incarnation. */
  readonly writes: number;
  /** Version of the store's object. */
  readonly storeVersion: number;
  readonly accelerator?: string;
  /** Undefined while the endpoint holds no layers. */
  readonly layers?: LayerRange;
}

/** Time and retry bounds that the deployment sets for this host. */
export interface HostBounds {
  /** A draining or removed endpoint gets no request after this time. */
  readonly drainMs: number;
  /** Time within which a new configuration must take effect. */
  readonly configApplyMs: number;
  /** Time between the stop signal and the forced termination. */
  readonly graceMs: number;
  /** Maximum time for which a removed key may still be accepted. */
  readonly revokeMs: number;
  /** Whether `revokeMs` also binds hosts that cannot reach the store. */
  readonly strictRevocation: boolean;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries per window allowed beyond the ratio, over all hosts. */
  readonly retryExtra: number;
  /** What callers may take of the process; without limits if undefined. Read at the start. */
  readonly intake?: IntakeLimits;
}

/** Facts that a caller states in the headers of a request. */
export interface RequestFacts {
  readonly requestId?: string;
  /** Time that the caller allows from the arrival of the request. */
  readonly deadlineMs?: number;
  readonly key?: string;
  readonly lastEventId?: number;
  /** Parts of the prompt that other requests may share, in order. */
  readonly sharedParts?: readonly string[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate; accurate at the median, often far off. */
  readonly expectedOutputTokens?: number;
}

/** Facts about a request that this host forwards to an endpoint. */
export interface ForwardFacts {
  readonly endpoint: EndpointId;
  readonly workspace?: WorkspaceId;
  /** Time left until the deadline. */
  readonly deadlineMs: number;
  readonly lastEventId?: number;
  readonly priority?: number;
  /** Pipeline stages, in order; undefined for plain services. */
  readonly stages?: readonly Stage[];
}

/** Facts that an endpoint states in the headers of a response. */
export interface ResponseFacts {
  readonly requestId?: string;
  /** Whether the endpoint signed the response. */
  readonly signed: boolean;
  /** Whether the endpoint states that the request has not run. */
  readonly notRun: boolean;
  /** Address of the stage that an engine reports as the cause. */
  readonly suspectAddress?: string;
  /** Whether the response has a content encoding other than identity. */
  readonly encoded: boolean;
  /** Whether the endpoint states that it is about to stop. */
  readonly leaving: boolean;
  /** Time for which the endpoint wants no request from this host. */
  readonly retryAfterMs?: number;
  /** Requests per second that the endpoint takes from all hosts together. */
  readonly requestLimit?: number;
}

type HeaderValue = string | string[] | undefined;
export type Headers = Readonly<Record<string, HeaderValue>>;

/** Translates between a deployment's HTTP headers and their meaning. */
export interface Dialect {
  readRequest(headers: Headers): RequestFacts;
  /** Headers for the endpoint, as a flat list of names and values. */
  forwardHeaders(rawHeaders: readonly string[], facts: ForwardFacts): string[];
  readResponse(status: number, headers: Headers): ResponseFacts;
}

/** Status that an engine reports about itself. */
export interface EngineReport {
  /** Start of its process, in milliseconds of epoch time, if it states that. */
  readonly startedAtMs?: number;
  readonly orderCount: number;
  readonly layers?: LayerRange;
  /** Greater than 1 if the engine is slower than is typical of its kind. */
  readonly slowness: number;
  /** Requests that wait for another stage, with the address of that stage. */
  readonly stalled: readonly {requestId: string; address: string}[];
}

/** Outcome of an order sent to an engine. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'done'}
  | {readonly kind: 'conflict'; readonly suspectAddress?: string}
  | {readonly kind: 'fenced'}
  | {readonly kind: 'unknown'; readonly message: string};

/** Control calls to an engine, as opposed to requests. */
export interface EngineControl {
  /** Resolves to undefined if the engine does not respond in time. */
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
