import type {ModelName, PlanName, ServiceName, WorkspaceId} from './ids.js';

/** Request priority; a lower number is served first. */
export type Priority = number;

export interface ModelGrant {
  readonly model: ModelName;
  readonly version: string;
  /** Number of layers of the model; layers are numbered from 0. */
  readonly layers: number;
  readonly adapters: readonly string[];
}

export interface ServiceGrant {
  readonly service: ServiceName;
  /** Whether calls without an idempotency key may be sent more than once. */
  readonly repeatable: boolean;
  /** Paths below which every non-GET call must carry an Idempotency-Key. */
  readonly nonRepeatablePaths: readonly string[];
}

/** What one workspace may use, according to the two lists in effect. */
export interface WorkspaceGrant {
  readonly workspace: WorkspaceId;
  readonly plan: PlanName;
  readonly models: ReadonlyMap<ModelName, ModelGrant>;
  readonly services: ReadonlyMap<ServiceName, ServiceGrant>;
  readonly priority: Priority;
  /** Maximum number of concurrent requests, summed over all hosts. */
  readonly concurrency: number;
  /** Maximum number of generated tokens per second, summed over all hosts. */
  readonly tokensPerSecond: number;
}
