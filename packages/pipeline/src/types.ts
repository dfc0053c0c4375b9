/** Public types of the pipeline package. */
import type {
  EndpointId,
  Epoch,
  Failure,
  Logger,
  ModelGrant,
  ModelName,
  Priority,
  RequestId,
  Result,
  WorkspaceGrant,
  WorkspaceId,
} from '@chivewick/common';
import type {EngineApi, Route} from '@chivewick/engines';
import type {Observation} from '@chivewick/routes';

/** One model request, already authenticated and admitted. */
export interface PipelineRequest {
  readonly id: RequestId;
  readonly grant: WorkspaceGrant;
  readonly model: ModelGrant & {readonly model: ModelName};
  /** Adapter name; '' for none. */
  readonly adapter: string;
  readonly prompt: string;
  /** Maximum number of tokens to generate, over all attempts. */
  readonly maxTokens: number;
  readonly priority: Priority;
  /**
   * Fingerprint for quarantine; a hash of workspace, model, adapter and prompt if
   * absent.
   */
  readonly fingerprint?: string;
}

/** Request to resume a stream; the rest is read from the head of the session. */
export interface ResumeRequest {
  readonly id: RequestId;
  readonly grant: WorkspaceGrant;
  readonly fingerprint?: string;
}

export interface TokenEvent {
  readonly type: 'token';
  /** Event id, with which any host can resume the stream after this token. */
  readonly id: string;
  /** Position of the token, counted from the first prompt token. */
  readonly position: number;
  readonly token: number;
  readonly text: string;
}

export interface DoneEvent {
  readonly type: 'done';
  readonly reason: 'stop' | 'length';
  readonly usage: {
    readonly promptTokens: number;
    readonly generatedTokens: number;
  };
}

export interface FailedEvent {
  readonly type: 'failed';
  readonly err: Failure;
}

export type PipelineEvent = TokenEvent | DoneEvent | FailedEvent;

/** Parameters for the choice of a route. */
export interface RouteQuery {
  readonly model: ModelName;
  readonly version: string;
  readonly layers: number;
  readonly adapter: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly workspace: WorkspaceId;
  readonly exclude: ReadonlySet<EndpointId>;
  /** Stages that hold this request's KV; reusing them saves recomputation. */
  readonly prefer?: Route;
}

/** The part of the route table that the pipeline uses. */
export interface PipelineRoutes {
  choose(query: RouteQuery): Result<Route>;
  observe(observation: Observation): void;
  endpoints(): Iterable<{
    readonly endpoint: EndpointId;
    readonly address: string;
  }>;
}

/** The part of quarantine that the pipeline uses. */
export interface PipelineQuarantine {
  /** Reports the requests that were on an endpoint when it crashed. */
  reportCrash(
    endpoint: EndpointId,
    fingerprints: readonly string[],
    /** The subset of `fingerprints` whose requests had produced tokens. */
    progressed: ReadonlySet<string>,
  ): void | Promise<void>;
  /**
   * Whether a request that was on a crashed endpoint may run on these
   * endpoints. Waits while another such request runs on one of them.
   */
  admitRetry(
    fingerprint: string,
    request: RequestId,
    endpoints: readonly EndpointId[],
  ): Result<unknown> | Promise<Result<unknown>>;
  /** Time of the last crash of an endpoint, from `performance.now()`. */
  lastCrashMs?(endpoint: EndpointId): number | undefined;
  /**
   * Releases the endpoints that the request was allowed to use: it has passed
   * the position at which an endpoint crashed, or takes another route.
   */
  releaseEndpoints?(request: RequestId): void;
}

/** Receives the lifecycle of each request, for traces, metrics and status. */
export interface PipelineObserver {
  /** An attempt starts; the previous one has ended. */
  attempt(request: RequestId, epoch: Epoch, route: Route): void;
  /** An endpoint of the current attempt failed, is slow or is leaving. */
  fault(request: RequestId, endpoint: EndpointId, cause: string): void;
  /** Tokens arrive again, after `silenceMs` without any. */
  recovered(request: RequestId, silenceMs: number): void;
}

export interface PipelineOptions {
  readonly engines: EngineApi;
  readonly routes: PipelineRoutes;
  readonly log: Logger;
  readonly observer?: PipelineObserver;
  readonly quarantine?: PipelineQuarantine;
  /** Retry budget shared by all requests; `take` returns false when it is used up. */
  readonly retryBudget?: {take(): boolean};
  readonly limits?: Partial<RecoveryLimits>;
}

/** Limits of fault detection and recovery; times are in milliseconds. */
export interface RecoveryLimits {
  /** Maximum number of recoveries of one request. */
  readonly maxRecoveries: number;
  /** Maximum wait for a route before the first attempt. */
  readonly maxFirstRouteWaitMs: number;
  /** Maximum time without a token before the request fails. */
  readonly silenceMs: number;
  /** Minimum stall limit. */
  readonly minStallMs: number;
  /** Stall limit while no pace is known. */
  readonly initialStallMs: number;
  /** Minimum time allowed for the answer of a stage to a probe. */
  readonly minProbeMs: number;
  /** Maximum time allowed for the answer of a stage to a probe. */
  readonly maxProbeMs: number;
  /**
   * Probes without progress, or consecutive late tokens, after which a stage
   * is treated as slow.
   */
  readonly slowAfterProbes: number;
  /** Time for which a session is kept after its caller disconnects, for a resume. */
  readonly resumeWindowMs: number;
}
