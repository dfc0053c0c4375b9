import type {Failure} from '@chivewick/common';

/** A request to a service. */
export interface ServiceCall {
  readonly method: string;
  /** Path relative to the service, with a leading slash and the query string. */
  readonly path: string;
  readonly contentType?: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
  readonly traceparent?: string;
}

/** The complete response of a service, whatever its status. */
export interface ServiceResponse {
  /** HTTP status code. */
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/**
 * The outcome of a call to a service. `not_sent` means that no byte of the
 * request reached the endpoint; `unknown` that the call may have run.
 */
export type ServiceOutcome =
  | {readonly kind: 'answered'; readonly answer: ServiceResponse}
  | {readonly kind: 'not_sent'; readonly err: Failure}
  | {readonly kind: 'unknown'; readonly err: Failure};

/** Client for plain services, independent of the wire format. */
export interface ServiceApi {
  call(
    address: string,
    call: ServiceCall,
    options: {timeoutMs: number; signal?: AbortSignal},
  ): Promise<ServiceOutcome>;
}
