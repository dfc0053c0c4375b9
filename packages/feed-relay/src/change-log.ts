import {
  markClocks,
  RUNTIME_CLOCKS,
  type ClockMark,
  type Clocks,
} from '@chivewick/common';
import {
  eraOf,
  type ChangeBatch,
  type Listing,
  type ObjectChange,
  type StoredObject,
} from '@chivewick/platform';

/**
 * Objects of a kind whose last change is kept for hosts that are behind; a host that is
 * further behind lists all objects again. A change shares its value with the listing, so
 * that only the keys of removed objects take memory of their own.
 */
const MAX_CHANGES = 1_000;

/** What this host knows of one kind of objects, kept for other hosts. */
export interface ChangeLog {
  /**
   * Marks the start of a call for the objects. The returned functions record its
   * result.
   */
  begin(): {
    listed(listing: Listing): void;
    polled(batch: ChangeBatch): void;
  };
  /** All objects; undefined before the first listing. */
  listing(): Listing | undefined;
  /** Version up to which the log is complete; 0 before the first listing. */
  version(): number;
  /** Time since the last confirmation; undefined if there is none that is valid. */
  confirmedAgeMs(): number | undefined;
  /**
   * Changes after a version. Waits up to `waitMs` for the next result of a call if
   * there are none yet. `confirmedAfterMs` is counted from the call of this function.
   */
  changes(
    since: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<ChangeBatch>;
}

/** A change, and the version of the store up to which its batch was complete. */
interface RecordedChange {
  readonly change: ObjectChange;
  readonly asOf: number;
}

interface Confirmation {
  readonly mark: ClockMark;
  readonly afterMs: number;
}

/**
 * Creates an empty log. Its contents are as old as its last confirmation, which is
 * passed on with each answer, so that no host takes old contents for new ones. A
 * confirmation from before a suspension of this process is void.
 *
 * @example
 * const call = log.begin();
 * call.polled(await feed.changes(kind, since, 500, signal));
 */
export function createChangeLog(clocks: Clocks = RUNTIME_CLOCKS): ChangeLog {
  let objects: Map<string, StoredObject> | undefined;
  let version = 0;
  /** Version after which `recent` is complete. */
  let recentSince = 0;
  /**
   * The last change of each object, in the order of the changes. Earlier versions of an
   * object are dropped: a configuration may have hundreds of versions of a megabyte.
   */
  let recent = new Map<string, RecordedChange>();
  let confirmation: Confirmation | undefined;
  let failure: string | undefined;
  const waiting = new Set<() => void>();

  function wake(): void {
    for (const resume of [...waiting]) resume();
  }

  function confirm(mark: ClockMark, afterMs: number): void {
    confirmation = {mark, afterMs};
    failure = undefined;
  }

  function listed(mark: ClockMark, listing: Listing): void {
    // A slow listing may be older than what polls have brought since.
    if (objects === undefined || listing.version >= version) {
      objects = new Map(listing.objects.map(object => [object.key, object]));
      version = listing.version;
      recentSince = version;
      recent = new Map();
      confirm(mark, listing.confirmedAfterMs);
    }
    wake();
  }

  function polled(mark: ClockMark, batch: ChangeBatch): void {
    if (batch.kind === 'unavailable') failure = batch.message;
    if (batch.kind === 'changes') {
      for (const change of batch.changes) apply(change, batch.version);
      version = Math.max(version, batch.version);
      confirm(mark, batch.confirmedAfterMs);
    }
    wake();
  }

  /**
   * Batches are ordered by their versions and not by those of the objects, because a
   * removed object may have the version of its last write.
   */
  function apply(change: ObjectChange, asOf: number): void {
    const {key, value} = change;
    if (value === undefined) objects?.delete(key);
    else objects?.set(key, {...change, value});
    recent.delete(key);
    recent.set(key, {change, asOf});
    if (recent.size <= MAX_CHANGES) return;
    const [[oldestKey, oldest]] = recent;
    recent.delete(oldestKey);
    recentSince = oldest.asOf;
  }

  /** Time from `atMs` to the last confirmation; negative if it was before. */
  function confirmedAfterMs(atMs: number): number | undefined {
    if (confirmation === undefined || confirmation.mark.hasDrifted())
      return undefined;
    const {mark, afterMs} = confirmation;
    const confirmedAtMs = Math.min(mark.atMs + afterMs, clocks.monotonicMs());
    return confirmedAtMs - atMs;
  }

  function answer(since: number, askedAtMs: number): ChangeBatch {
    const afterMs = confirmedAfterMs(askedAtMs);
    if (objects === undefined || afterMs === undefined)
      return {kind: 'unavailable', message: failure ?? 'not confirmed yet'};
    // Nothing that this host reads can be new to the one that asks.
    if (eraOf(since) > eraOf(version))
      return {kind: 'unavailable', message: 'of an earlier era'};
    if (since < recentSince) return {kind: 'history_lost'};
    return {
      kind: 'changes',
      changes: [...recent.values()]
        .filter(({asOf}) => asOf > since)
        .map(({change}) => change),
      version: Math.max(version, since),
      confirmedAfterMs: afterMs,
    };
  }

  return {
    begin() {
      const mark = markClocks(clocks);
      return {
        listed: listing => listed(mark, listing),
        polled: batch => polled(mark, batch),
      };
    },
    listing() {
      const afterMs = confirmedAfterMs(clocks.monotonicMs());
      if (objects === undefined || afterMs === undefined) return undefined;
      return {
        objects: [...objects.values()],
        version,
        confirmedAfterMs: afterMs,
      };
    },
    version: () => version,
    confirmedAgeMs() {
      const afterMs = confirmedAfterMs(clocks.monotonicMs());
      return afterMs === undefined ? undefined : -afterMs;
    },
    async changes(since, waitMs, signal) {
      const askedAtMs = clocks.monotonicMs();
      const first = answer(since, askedAtMs);
      const hasNews = first.kind !== 'changes' || first.changes.length > 0;
      if (hasNews || waitMs <= 0) return first;
      await new Promise<void>(resolve => {
        const done = () => {
          clearTimeout(timer);
          waiting.delete(done);
          signal?.removeEventListener('abort', done);
          resolve();
        };
        const timer = setTimeout(done, waitMs);
        waiting.add(done);
        signal?.addEventListener('abort', done);
      });
      return answer(since, askedAtMs);
    },
  };
}
