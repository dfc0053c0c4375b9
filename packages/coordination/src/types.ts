import type {EndpointId, FailureDomain} from '@chivewick/common';

/** Load that streams put on one endpoint. */
export interface EndpointLoad {
  readonly endpoint: EndpointId;
  /** Requests in progress. */
  readonly running: number;
  /** KV cache that they hold, in tokens times layers. */
  readonly tokenLayers: number;
  /** Those that begin there and take one of its slots; unknown from an older version. */
  readonly starting?: number;
}

/** Use of the pipe between two failure domains, in either direction. */
export interface DomainPipe {
  readonly from: FailureDomain;
  readonly to: FailureDomain;
  /** Fraction of time that it is busy. */
  readonly utilization: number;
}

/** A stage of a granted path, with the number of layers that it runs. */
export interface GrantedStage {
  readonly endpoint: EndpointId;
  readonly layers: number;
}

/** A path in use by a host, as the host itself reports it. */
export interface Grant {
  /** Unique within one life of the host; increases with each request for a path. */
  readonly id: number;
  /** Tokens of the prompt and the expected answer. */
  readonly tokens: number;
  readonly stages: readonly GrantedStage[];
}
