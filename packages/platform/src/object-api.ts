import type {Result} from '@chivewick/common';

/** One object in the platform's store. */
export interface StoredObject<T = unknown> {
  readonly key: string;
  /** Store-wide version; increases with every write to any object. */
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
  /** The response was lost: the write may have taken effect, or still may. */
  | {readonly kind: 'unknown'; readonly message: string};

/** A change reported by a watch; `value` is undefined after a deletion. */
export interface ObjectChange {
  readonly key: string;
  readonly version: number;
  readonly value?: unknown;
}

/** The platform's object API, independent of its wire format. */
export interface ObjectApi {
  /** Reads an object; undefined if it does not exist. */
  get(key: string): Promise<Result<StoredObject | undefined>>;
  /**
   * Lists the objects whose key starts with the prefix. With `mayBeStale`, the
   * list may be seconds old but costs the platform less.
   */
  list(
    prefix: string,
    options?: {mayBeStale?: boolean},
  ): Promise<Result<readonly StoredObject[]>>;
  /** Writes if the object has the expected version; never retries. */
  put(
    key: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Promise<WriteOutcome>;
  /** Removes the object if it has the expected version; never retries. */
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

/** The subset of the object API that leases and registrations need. */
export type ObjectStore = Pick<ObjectApi, 'get' | 'list' | 'put'>;
