import type {Result} from '@chivewick/common';

/** One object of the platform's store. */
export interface StoredObject<T = unknown> {
  readonly key: string;
  /** Grows with every write over the whole store. */
  readonly version: number;
  readonly value: T;
}

/**
 * The version that a conditional write expects: a number for an update,
 * `'absent'` for a creation.
 */
export type ExpectedVersion = number | 'absent';

/** The outcome of a conditional write. */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'}
  /** The answer was lost: the write may have taken effect, or may yet. */
  | {readonly kind: 'unknown'; readonly message: string};

/** A change seen by a watch; `value` is undefined after a deletion. */
export interface ObjectChange {
  readonly key: string;
  readonly version: number;
  readonly value?: unknown;
}

/** The platform's object API, whatever its wire format. */
export interface ObjectApi {
  /** Reads an object; undefined where there is none. */
  get(key: string): Promise<Result<StoredObject | undefined>>;
  /**
   * Lists the objects whose key starts with the prefix. With `mayBeStale` the
   * list may be seconds old, and cost the platform less.
   */
  list(
    prefix: string,
    options?: {mayBeStale?: boolean},
  ): Promise<Result<readonly StoredObject[]>>;
  /** Writes under a condition; never retries by itself. */
  put(
    key: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Promise<WriteOutcome>;
  remove(key: string, expected: number): Promise<WriteOutcome>;
  /**
   * Yields changes after a version until the signal aborts or the connection
   * ends; throws `FailureError` when the platform fails.
   */
  watch(
    prefix: string,
    since: number,
    signal: AbortSignal,
  ): AsyncIterable<ObjectChange>;
}

/** The calls of the object API that leases and registrations need. */
export type ObjectStore = Pick<ObjectApi, 'get' | 'list' | 'put'>;
