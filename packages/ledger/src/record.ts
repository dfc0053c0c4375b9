import {failure, hash32, sha256, type HostId} from '@chivewick/common';
import type {ServiceCall} from '@chivewick/services';
import type {CallOutcome} from './ledger-api.js';

/** The outcome of a call as stored in the partition object. */
export type RecordedOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      /** Size of the body in bytes. */
      readonly bytes: number;
      /** Absent if the body was too large to keep. */
      readonly body?: string;
    }
  | {readonly kind: 'unknown'; readonly message: string}
  | {
      readonly kind: 'not_run';
      readonly message: string;
      /** Ids of the calls that received this outcome; they are never started again. */
      readonly calls: readonly string[];
    };

/** An intent to send a call and, once known, the outcome. */
export interface Entry {
  /** Digest of the request; a request with this key and another digest is refused. */
  readonly digest: string;
  /** Term and sequence number of the intent, unique in the partition. */
  readonly intent: string;
  /** The owner that committed the intent; only this host may send the call. */
  readonly host: HostId;
  /** Epoch time of the intent in milliseconds, used for expiry only. */
  readonly at: number;
  readonly outcome?: RecordedOutcome;
}

/** A sealed segment that the partition object refers to. */
export interface SegmentRef {
  /** Last part of the object key: term and sequence number of the sealing. */
  readonly name: string;
  /** Epoch time of its newest entry, in milliseconds. */
  readonly newest: number;
}

/** Value of the object `ledger/{partition}`. */
export interface PartitionValue {
  /** Null after a release. */
  readonly owner: HostId | null;
  /** Incremented by each takeover. */
  readonly term: number;
  /** Lets a writer that received no response see that its write took effect. */
  readonly writeId: string;
  readonly entries: readonly (readonly [id: string, entry: Entry])[];
  readonly segments: readonly SegmentRef[];
}

/** Value of the object `ledger/{partition}/segment/{name}`. */
export interface SegmentValue {
  readonly entries: readonly (readonly [id: string, entry: Entry])[];
}

/**
 * Key of an entry: the caller's key scoped by workspace.
 *
 * @example
 * entryId('san-fermin', 'swap-17');
 */
export function entryId(workspace: string, key: string): string {
  return `${workspace}\n${key}`;
}

/**
 * Partition of an entry, the same on every host.
 *
 * @example
 * partitionOf(entryId('san-fermin', 'swap-17'), 16);
 */
export function partitionOf(id: string, partitions: number): number {
  return hash32(id) % partitions;
}

/**
 * Object key of a partition.
 *
 * @example
 * partitionKey(3); // 'ledger/3'
 */
export function partitionKey(partition: number): string {
  return `ledger/${partition}`;
}

/**
 * Digest of a request: the first 128 bits of SHA-256, in hex.
 *
 * @example
 * requestDigest('bookings', {method: 'POST', path: '/slots', body: '{}'});
 */
export function requestDigest(service: string, call: ServiceCall): string {
  const parts = [service, call.method, call.path, call.body ?? ''];
  return sha256(JSON.stringify(parts)).slice(0, 32);
}

/**
 * Size that an entry adds to its object, in bytes.
 *
 * @example
 * const size = [...entries].reduce((sum, [id, entry]) => sum + entryBytes(id, entry), 0);
 */
export function entryBytes(id: string, entry: Entry): number {
  return Buffer.byteLength(JSON.stringify([id, entry])) + 1;
}

/**
 * Copies an outcome without its body, for an object that is full.
 *
 * @example
 * const small = {...entry, outcome: withoutBody(entry.outcome)};
 */
export function withoutBody(outcome: RecordedOutcome): RecordedOutcome {
  if (outcome.kind !== 'answered') return outcome;
  const {kind, status, contentType, bytes} = outcome;
  return {kind, status, contentType, bytes};
}

/**
 * Converts a recorded outcome to the outcome that a caller receives.
 *
 * @example
 * const outcome = replayedOutcome(entry.outcome);
 */
export function replayedOutcome(outcome: RecordedOutcome): CallOutcome {
  if (outcome.kind === 'not_run') return notRun(outcome.message);
  if (outcome.kind === 'unknown') return unknownOutcome(outcome.message);
  const {status, contentType, body, bytes} = outcome;
  if (body !== undefined)
    return {
      kind: 'answered',
      answer: {status, contentType, body},
      replayed: true,
    };
  const message = `call ran and was answered with status ${status}; the body of ${bytes} bytes was not kept`;
  const hint = 'The call has run; read its result from the service.';
  return {kind: 'failed', err: failure('gone', message, {ran: 'ran', hint})};
}

/**
 * The failure of a call that was never sent.
 *
 * @example
 * return notRun('no endpoint of bookings was reached');
 */
export function notRun(message: string): CallOutcome {
  const hint = 'Nothing ran; the same call may be sent again.';
  const err = failure('endpoint_failed', message, {ran: 'not_run', hint});
  return {kind: 'failed', err};
}

/**
 * The failure of a call that may have run.
 *
 * @example
 * return unknownOutcome('owner crashed before it recorded an outcome');
 */
export function unknownOutcome(message: string): CallOutcome {
  return {kind: 'failed', err: failure('outcome_unknown', message)};
}
