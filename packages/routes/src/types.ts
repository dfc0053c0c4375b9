import type {
  EndpointId,
  FailureDomain,
  ModelName,
  Result,
  WorkspaceId,
} from '@chivewick/common';
import type {EngineStatus, Route} from '@chivewick/engines';

/** One entry of the host list. Only endpoints, and this host itself, are used. */
export interface HostListEntry {
  readonly id: string;
  readonly kind: 'host' | 'endpoint' | 'service';
  readonly name?: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly state: 'live' | 'leaving';
}

/** Requirements for a route. */
export interface RouteRequest {
  readonly model: ModelName;
  readonly version: string;
  /** Number of layers of the model. */
  readonly layers: number;
  /** Adapter name, or the empty string for the base model. */
  readonly adapter: string;
  readonly prompt: string;
  /** Endpoints that must not be part of the route. */
  readonly exclude: ReadonlySet<EndpointId>;
  /** Maximum number of tokens to generate; determines the KV cache needed. */
  readonly maxTokens?: number;
  /** Prefix-cache blocks are not shared between workspaces. */
  readonly workspace?: WorkspaceId;
  /** In a recovery, the route whose endpoints already hold KV of the session. */
  readonly prefer?: Route;
}

/** An event that a request or call on this host observed on an endpoint or route. */
export type Observation =
  | {
      readonly kind: 'started' | 'finished';
      readonly endpoint: EndpointId;
      /** Prompt of the started request, whose blocks are likely to be cached. */
      readonly prompt?: string;
      readonly workspace?: WorkspaceId;
      readonly adapter?: string;
      /** KV positions that the request reserves or frees. */
      readonly tokens?: number;
    }
  | {
      readonly kind: 'failed' | 'slow' | 'leaving';
      readonly endpoint: EndpointId;
    }
  | {
      /** Smoothed interval between tokens of a stream on a route. */
      readonly kind: 'pace';
      readonly route: Route;
      readonly intervalMs: number;
    };

/** State of an endpoint in the route table of this host. */
export interface EndpointView {
  readonly id: EndpointId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly usable: boolean;
  readonly leaving: boolean;
  readonly failed: boolean;
  /** Number of requests of this host in progress on the endpoint. */
  readonly ownRunning: number;
  readonly status?: EngineStatus;
}

/** The endpoints known to this host, and the choice of routes over them. */
export interface RouteTable {
  /** Applies a newer host list in place of the previous one. */
  update(entries: readonly HostListEntry[]): void;
  /** Chooses a route; fails with `no_route` if the endpoints do not cover all layers. */
  choose(req: RouteRequest): Result<Route>;
  observe(observation: Observation): void;
  endpoints(): readonly EndpointView[];
  /** Stops all polling; resolves when no poll is in progress. */
  close(): Promise<void>;
}
