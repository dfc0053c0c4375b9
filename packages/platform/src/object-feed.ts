import type {Result} from '@chivewick/common';
import type {ObjectChange, StoredObject} from './object-api.js';

/** All objects of one kind, and the store version at which they were read. */
export interface Listing {
  readonly objects: readonly StoredObject[];
  readonly version: number;
  /**
   * Time from the call to the moment for which the result holds, in milliseconds;
   * negative if it is from before the call.
   */
  readonly confirmedAfterMs: number;
}

/** The result of one long poll for changes. */
export type ChangeBatch =
  | {
      readonly kind: 'changes';
      /** Empty when the wait ended without a change. */
      readonly changes: readonly ObjectChange[];
      /** Version to continue from. */
      readonly version: number;
      /** As in `Listing`; the wait, if it ended without a change. */
      readonly confirmedAfterMs: number;
    }
  /** The changes since the version are no longer retained: list again. */
  | {readonly kind: 'history_lost'}
  | {readonly kind: 'unavailable'; readonly message: string};

/** Lists all objects of a kind, and long-polls for their changes. */
export interface ObjectFeed {
  /** Lists all objects of a kind. */
  listKind(kind: string): Promise<Result<Listing>>;
  /**
   * Waits up to `waitMs` for changes of a kind after a version.
   *
   * @example
   * const batch = await feed.changes('lists', 530, 2_000, signal);
   */
  changes(
    kind: string,
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<ChangeBatch>;
}
