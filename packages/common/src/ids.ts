declare const brand: unique symbol;

/** A string type that the type checker keeps distinct from other string types. */
export type Brand<Name extends string> = string & {readonly [brand]: Name};

export type Firm = Brand<'Firm'>;
export type HostId = Brand<'HostId'>;
export type FailureDomain = Brand<'FailureDomain'>;
export type WorkspaceId = Brand<'WorkspaceId'>;
export type PlanName = Brand<'PlanName'>;
export type EndpointId = Brand<'EndpointId'>;
export type ModelName = Brand<'ModelName'>;
export type ServiceName = Brand<'ServiceName'>;
export type RequestId = Brand<'RequestId'>;

/** Attempt number of a model request; each recovery increments it. */
export type Epoch = number;

/**
 * Casts a checked string to a branded id.
 *
 * @example
 * const host = id<HostId>('nav-a-1');
 */
export function id<T extends Brand<string>>(value: string): T {
  return value as T;
}
