import type {HostId, ServiceName} from '@chivewick/common';
import type {ServiceCall} from '@chivewick/services';
import type {CallOutcome} from './ledger-api.js';

/** A call as sent to the owner of its partition. */
export interface AttemptRequest {
  /** Identifies the caller's request over all its attempts. */
  readonly callId: string;
  readonly id: string;
  readonly digest: string;
  readonly service: ServiceName;
  readonly call: ServiceCall;
  /** Time until which the caller waits, on this host's monotonic clock. */
  readonly deadline: number;
  /** An intent that a former owner may have committed but will never send. */
  readonly abandoned?: string;
}

/** Result of one attempt to run a call on one host. */
export type AttemptResult<T = CallOutcome> =
  | {readonly kind: 'outcome'; readonly outcome: T}
  /** The host does not own the partition, or refused the call; it never runs it. */
  | {
      readonly kind: 'moved';
      /** The owner according to this host, if known. */
      readonly owner?: HostId;
      readonly abandoned?: string;
      /** The host is stopping and acquires no partitions. */
      readonly stopping?: boolean;
    }
  /** The attempt did not reach the host. */
  | {readonly kind: 'unreachable'}
  /** The host may still run the call. */
  | {readonly kind: 'unresolved'};

/**
 * Wraps the outcome of a call.
 *
 * @example
 * return withOutcome(notRun('no endpoint was reached'));
 */
export function withOutcome<T>(outcome: T): AttemptResult<T> {
  return {kind: 'outcome', outcome};
}
