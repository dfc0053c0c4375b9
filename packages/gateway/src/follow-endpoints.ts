import type {EndpointId, Logger} from '@chivewick/common';
import {
  nameOfKey,
  type ObjectFeed,
  type StoredObject,
} from '@chivewick/platform';
import type {EndpointTable} from './endpoint-table.js';
import {followKind} from './follow-kind.js';
import {createFreshness} from './freshness.js';
import type {EndpointRecord} from './types.js';

/**
 * Duration of a long poll for endpoints. A stalled connection must be detected within
 * the 3 s after the last failed call, during which a removed entry may have expired.
 */
const POLL_MS = 2_000;
/** Time over which endpoint changes are batched; well below the drain bound. */
const BATCH_MS = 200;
/** Time in which a request for which an endpoint was chosen reaches it. */
const SEND_MS = 200;
/** Time after a disturbance of this host in which the drain bound does not hold for it. */
const UNBOUND_MS = 3_000;

/** Options of `followEndpoints`. */
export interface FollowEndpointsOptions {
  readonly kind: string;
  readonly feed: ObjectFeed;
  /** Start of the last call to the store for a kind that failed, if any did. */
  readonly failedAtMs: (kind: string) => number | undefined;
  readonly table: Pick<
    EndpointTable,
    'replaceAll' | 'upsert' | 'remove' | 'storeUnavailable'
  >;
  readonly drainMs: () => number;
  /** The records in an object; none if it is unreadable. */
  readonly read: (object: StoredObject) => readonly EndpointRecord[];
  /** Called after each listing and after changes. */
  readonly onChanged: () => void;
  readonly after: Promise<void>;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/**
 * Keeps a table of endpoints as the store has them.
 *
 * @example
 * followEndpoints({kind: 'endpoints', feed, failedAtMs, table, drainMs, read, onChanged, after, log, signal});
 */
export function followEndpoints(options: FollowEndpointsOptions): void {
  const {kind, feed, table, drainMs, read, onChanged} = options;
  const freshness = createFreshness();

  /**
   * Time until which an endpoint may be used whose entry is missing: it may have been
   * removed as soon as the contents were last confirmed, which may be long ago if the
   * hosts that this one asks were behind.
   */
  function usableUntilMs(): number {
    const confirmedAtMs = performance.now() - freshness.ageMs();
    const failedAtMs = options.failedAtMs(kind) ?? -Infinity;
    return Math.max(
      confirmedAtMs + drainMs() - SEND_MS,
      failedAtMs + UNBOUND_MS,
    );
  }

  followKind({
    kind,
    feed,
    after: options.after,
    log: options.log,
    signal: options.signal,
    waitMs: POLL_MS,
    batchMs: BATCH_MS,
    onListing({objects, version}) {
      table.replaceAll(objects.flatMap(read), version, usableUntilMs());
      onChanged();
    },
    onChanges(changes) {
      for (const {key, version, value} of changes) {
        if (value === undefined)
          table.remove(nameOfKey(key) as EndpointId, version, usableUntilMs());
        else read({key, version, value}).forEach(table.upsert);
      }
      onChanged();
    },
    onPoll: () => freshness.poll(),
    onUnavailable: () => table.storeUnavailable(),
  });
}
