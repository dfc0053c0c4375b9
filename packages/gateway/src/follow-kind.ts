import {pause, type Logger} from '@chivewick/common';
import type {Listing, ObjectChange, ObjectFeed} from '@chivewick/platform';

/** Exponential backoff between attempts while the store is unavailable. */
const BASE_RETRY_MS = 100;
const MAX_RETRY_MS = 400;
/** Wait of a poll that should confirm the state immediately. */
const CONFIRM_WAIT_MS = 1;

/** Options of `followKind`; times are in milliseconds. */
export interface FollowOptions {
  readonly kind: string;
  readonly feed: ObjectFeed;
  readonly log: Logger;
  readonly signal: AbortSignal;
  /** Duration of one long poll. */
  readonly waitMs: number;
  /** The first listing waits for this. */
  readonly after: Promise<void>;
  /** Pause after changes, so that several are batched into one response. */
  readonly batchMs: number;
  readonly onListing: (listing: Listing) => void;
  readonly onChanges: (changes: readonly ObjectChange[]) => void;
  /**
   * Called before each listing or poll. The returned function is called if that
   * succeeds, with the time in milliseconds that passed without a change.
   */
  readonly onPoll?: () => (waitedMs: number) => void;
  /** Called after each failed call, before the next attempt. */
  readonly onUnavailable?: () => void;
}

/** A running `followKind`. */
export interface Follower {
  /** Confirms the state immediately, by a poll that does not wait. */
  refresh(): void;
}

/**
 * Follows all objects of a kind: lists them once, then polls for changes since the
 * listed version, and lists them again if the store no longer has that history.
 *
 * @example
 * followKind({kind: 'lists', feed, log, signal, after, waitMs: 2_000, batchMs: 0, onListing, onChanges});
 */
export function followKind(options: FollowOptions): Follower {
  const {kind, feed, log, signal} = options;
  let version: number | undefined;
  let failures = 0;
  let poll = new AbortController();
  let isConfirming = false;

  async function listOnce(): Promise<boolean> {
    const confirm = options.onPoll?.();
    const listing = await feed.listKind(kind);
    if (!listing.ok) return failed(listing.err.message);
    version = listing.value.version;
    options.onListing(listing.value);
    confirm?.(listing.value.confirmedAfterMs);
    return true;
  }

  async function pollOnce(since: number): Promise<boolean> {
    poll = new AbortController();
    const waitMs = isConfirming ? CONFIRM_WAIT_MS : options.waitMs;
    const confirm = options.onPoll?.();
    const signals = AbortSignal.any([poll.signal, signal]);
    const batch = await feed.changes(kind, since, waitMs, signals);
    if (batch.kind === 'history_lost') {
      log.event('feedHistoryLost', {kind, since});
      version = undefined;
      return true;
    }
    if (batch.kind === 'unavailable') {
      const isInterrupted = poll.signal.aborted && isConfirming;
      return isInterrupted || failed(batch.message);
    }
    version = batch.version;
    if (batch.changes.length > 0) options.onChanges(batch.changes);
    isConfirming = false;
    confirm?.(batch.confirmedAfterMs);
    if (batch.changes.length > 0) await pause(options.batchMs, signal);
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
    await options.after;
    while (!signal.aborted) {
      const succeeded = await (version === undefined
        ? listOnce()
        : pollOnce(version));
      if (succeeded) {
        if (failures > 0) log.event('storeRegained', {kind, failures, version});
        failures = 0;
        continue;
      }
      const waitMs = Math.min(MAX_RETRY_MS, BASE_RETRY_MS * 2 ** failures);
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
