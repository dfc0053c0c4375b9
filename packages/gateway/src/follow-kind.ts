import {pause, type Logger} from '@chivewick/common';
import type {ObjectChange, ObjectFeed, StoredObject} from '@chivewick/platform';

/** Waits between attempts at an unavailable store double up to the longest. */
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 800;
/** Wait of a poll that is to confirm the state at once. */
const CONFIRM_WAIT_MS = 1;

export interface FollowOptions {
  readonly kind: string;
  readonly feed: ObjectFeed;
  readonly log: Logger;
  readonly signal: AbortSignal;
  /** Length of one long poll. */
  readonly waitMs: number;
  /** Pause after changes, so that several come in one answer. */
  readonly gatherMs: number;
  readonly onListing: (objects: readonly StoredObject[]) => void;
  readonly onChanges: (changes: readonly ObjectChange[]) => void;
  /** Told when a poll is about to be sent; returns who hears its answer. */
  readonly onPoll?: () => (waitedMs: number) => void;
  /** Told of each failed call, before the next attempt. */
  readonly onUnavailable?: () => void;
}

export interface Follower {
  /** Confirms the state now, by a poll that does not wait. */
  refresh(): void;
}

/**
 * Keeps up with all objects of a kind: lists them once, then polls for changes
 * from the listed version, and lists again when the history is gone.
 *
 * @example
 * followKind({kind: 'lists', feed, log, signal, waitMs: 2_000, gatherMs: 0, onListing, onChanges});
 */
export function followKind(options: FollowOptions): Follower {
  const {kind, feed, log, signal} = options;
  let version: number | undefined;
  let failures = 0;
  let poll = new AbortController();
  let isConfirming = false;

  async function listOnce(): Promise<boolean> {
    const heard = options.onPoll?.();
    const listing = await feed.listKind(kind);
    if (!listing.ok) return failed(listing.err.message);
    version = listing.value.version;
    options.onListing(listing.value.objects);
    heard?.(0);
    return true;
  }

  async function pollOnce(since: number): Promise<boolean> {
    poll = new AbortController();
    const waitMs = isConfirming ? CONFIRM_WAIT_MS : options.waitMs;
    const heard = options.onPoll?.();
    const signals = AbortSignal.any([poll.signal, signal]);
    const batch = await feed.changes(kind, since, waitMs, signals);
    if (batch.kind === 'history_lost') {
      log.event('feedHistoryLost', {kind, since});
      version = undefined;
      return true;
    }
    if (batch.kind === 'unavailable') {
      const isCutShort = poll.signal.aborted && isConfirming;
      return isCutShort || failed(batch.message);
    }
    version = batch.version;
    if (batch.changes.length > 0) options.onChanges(batch.changes);
    isConfirming = false;
    heard?.(batch.changes.length > 0 ? 0 : waitMs);
    if (batch.changes.length > 0) await pause(options.gatherMs, signal);
    return true;
  }

  function failed(message: string): false {
    failures += 1;
    isConfirming = false;
    if (failures === 1 && !signal.aborted) {
      log.event('storeLost', {kind, message, version});
    }
    options.onUnavailable?.();
    return false;
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const good = await (version === undefined
        ? listOnce()
        : pollOnce(version));
      if (good) {
        if (failures > 0) log.event('storeRegained', {kind, failures, version});
        failures = 0;
        continue;
      }
      const waitMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
      await pause(waitMs, signal);
    }
  }

  void run();
  return {
    refresh() {
      if (isConfirming || failures > 0) return;
      isConfirming = true;
      poll.abort();
    },
  };
}
