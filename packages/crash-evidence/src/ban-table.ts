import {dropOldest} from './drop-oldest.js';
import type {Ban, Fingerprint, Rejection} from './types.js';

/**
 * Separate crashes after which a suspicion counts as proven. All but the first are those
 * of single requests that were let through after a pause, so chance is ruled out.
 */
const PROVEN_CRASHES = 3;
/**
 * The same if fingerprints with so many explain all crashes of late, of which there are at
 * least a few. They do not explain engines that are killed one after the other,
 * unless most requests share them: such a fingerprint has succeeded before.
 */
const PROVEN_CRASHES_IF_ALL = 2;
/**
 * Time after the last crash in which requests with a suspected fingerprint are rejected;
 * doubles with each further crash. An engine that has crashed is back by then.
 */
const SUSPECTED_MS = 3_000;
/**
 * The same if suspected fingerprints explain all crashes of late: another crash is likely,
 * and costs more than the wait of the few requests that may be sound.
 */
const EXPLAINED_PAUSE_MS = 20_000;
/**
 * Time by which the hosts let requests through one after the other, in an order that
 * differs by fingerprint: a crash is known everywhere by then.
 */
const TRIAL_STEP_MS = 400;
const MAX_TRIAL_STEPS = 8;
/**
 * The same as `SUSPECTED_MS` for a proven one, of which one host lets one request through;
 * doubles up to `MAX_TRIAL_DOUBLINGS` times.
 */
const TRIAL_MS = 60_000;
const MAX_TRIAL_DOUBLINGS = 6;
/**
 * Time after a request that was let through in which no host lets another one through,
 * unless that one has ended. An engine may be silent for seconds before it crashes: with
 * less, all hosts tried in turn before the first crash was known.
 */
const TRIAL_OUTCOME_MS = 10_000;
/** Time between such requests of a host that end without having shown anything. */
const TRIAL_INTERVAL_MS = 500;
const MAX_BANS = 128;

/** What is known when a ban begins. */
export interface BanStart {
  /** Separate crashes. */
  readonly crashes: number;
  readonly lastCrashAtMs: number;
  /** When a request was let through whose outcome is not known. */
  readonly triedAtMs?: number;
}

/** Suspected and proven fingerprints. */
export interface BanTable {
  has(fingerprint: Fingerprint): boolean;
  isEmpty(): boolean;
  fingerprints(): Fingerprint[];
  add(fingerprint: Fingerprint, start: BanStart): void;
  /** Adds a ban, or what is newer in it; returns whether it was not known. */
  merge(fingerprint: Fingerprint, start: BanStart): boolean;
  /**
   * Counts a crash if the fingerprint is banned.
   *
   * @param lastSeenMs when the endpoint was last known to work on the request.
   */
  addCrash(fingerprint: Fingerprint, atMs: number, lastSeenMs: number): void;
  /** Counts all crashes so far as separate ones. */
  prove(fingerprint: Fingerprint): void;
  /** Ends a ban whose last crash was before a success; returns whether there was one. */
  endBefore(fingerprint: Fingerprint, successAtMs: number): boolean;
  remove(fingerprint: Fingerprint): void;
  /** Drops suspicions whose last crash is older than a time. */
  dropSuspicions(beforeMs: number): void;
  /** Why a request with a fingerprint must not be sent now. */
  rejectionBy(fingerprint: Fingerprint): Rejection | undefined;
  /** Notes that a request with a fingerprint is let through, which keeps others back. */
  startTrial(fingerprint: Fingerprint): void;
  /** Ends the trial of this host, which has shown nothing. */
  endTrial(fingerprint: Fingerprint): void;
  list(): Ban[];
}

interface RecordedBan {
  /** Separate crashes since the last success. */
  crashes: number;
  /** When the last of the separate crashes began. */
  separateAtMs: number;
  lastCrashAtMs: number;
  /** When a host last let a request through whose outcome is not known. */
  triedAtMs: number;
  /** When such a request of this host last ended without having shown anything. */
  endedAtMs: number;
}

/**
 * Creates an empty table.
 *
 * @param options.trialRank see `CrashEvidenceOptions`.
 * @param options.explainsAll whether a fingerprint and others explain all crashes of late.
 * @example
 * const bans = createBanTable({now, trialRank: () => 0, explainsAll: () => false});
 * bans.add(fingerprint, {crashes: 1, lastCrashAtMs: now()});
 * bans.rejectionBy(fingerprint); // {fingerprint, isProven: false, retryAfterMs: 3_000}
 */
export function createBanTable(options: {
  readonly now: () => number;
  readonly trialRank: (fingerprint: Fingerprint) => number;
  readonly explainsAll: (
    fingerprint: Fingerprint,
    others: readonly Fingerprint[],
    lastCrashMs: number,
  ) => boolean;
  readonly onBan?: (ban: Ban) => void;
}): BanTable {
  const {now} = options;
  const bans = new Map<Fingerprint, RecordedBan>();

  function add(fingerprint: Fingerprint, start: BanStart): void {
    const {crashes, lastCrashAtMs} = start;
    bans.set(fingerprint, {
      crashes,
      separateAtMs: lastCrashAtMs,
      lastCrashAtMs,
      triedAtMs: start.triedAtMs ?? -Infinity,
      endedAtMs: -Infinity,
    });
    dropOldest(bans, MAX_BANS);
    options.onBan?.({fingerprint, crashes, msAgo: now() - lastCrashAtMs});
  }

  /** Whether bans with so many separate crashes, one of them, explain all of late. */
  function explainsAll(
    fingerprint: Fingerprint,
    entry: RecordedBan,
    minCrashes: number,
  ): boolean {
    if (entry.crashes < minCrashes) return false;
    const others = [...bans]
      .filter(([, {crashes}]) => crashes >= minCrashes)
      .map(([other]) => other);
    return options.explainsAll(fingerprint, others, entry.lastCrashAtMs);
  }

  function isProven(fingerprint: Fingerprint, entry: RecordedBan): boolean {
    return (
      entry.crashes >= PROVEN_CRASHES ||
      explainsAll(fingerprint, entry, PROVEN_CRASHES_IF_ALL)
    );
  }

  /** Time after the last crash in which no request is let through. */
  function pauseMs(
    fingerprint: Fingerprint,
    entry: RecordedBan,
    proven: boolean,
  ): number {
    if (proven) return provenMs(entry.crashes);
    const minMs = explainsAll(fingerprint, entry, 1) ? EXPLAINED_PAUSE_MS : 0;
    return Math.max(minMs, suspectedMs(entry.crashes));
  }

  return {
    has: fingerprint => bans.has(fingerprint),
    isEmpty: () => bans.size === 0,
    fingerprints: () => [...bans.keys()],
    add,
    merge(fingerprint, start) {
      const known = bans.get(fingerprint);
      if (known === undefined) {
        add(fingerprint, start);
        return true;
      }
      known.triedAtMs = Math.max(known.triedAtMs, start.triedAtMs ?? -Infinity);
      // The same crash seems younger by the time that its report was on the way.
      if (start.crashes <= known.crashes) return false;
      known.crashes = start.crashes;
      known.separateAtMs = start.lastCrashAtMs;
      known.lastCrashAtMs = start.lastCrashAtMs;
      return false;
    },
    addCrash(fingerprint, atMs, lastSeenMs) {
      const entry = bans.get(fingerprint);
      if (entry === undefined) return;
      entry.lastCrashAtMs = Math.max(entry.lastCrashAtMs, atMs);
      if (lastSeenMs >= entry.triedAtMs) entry.triedAtMs = -Infinity;
      // Only a request that was sent after the pause was let through.
      if (lastSeenMs - entry.separateAtMs < suspectedMs(entry.crashes)) return;
      entry.crashes += 1;
      entry.separateAtMs = atMs;
    },
    prove(fingerprint) {
      const entry = bans.get(fingerprint);
      if (entry === undefined) return;
      entry.crashes = Math.max(entry.crashes, PROVEN_CRASHES_IF_ALL);
    },
    endBefore(fingerprint, successAtMs) {
      const entry = bans.get(fingerprint);
      if (entry === undefined || successAtMs <= entry.lastCrashAtMs)
        return false;
      return bans.delete(fingerprint);
    },
    remove: fingerprint => void bans.delete(fingerprint),
    dropSuspicions(beforeMs) {
      for (const [fingerprint, {crashes, lastCrashAtMs}] of bans)
        if (crashes < PROVEN_CRASHES && lastCrashAtMs < beforeMs)
          bans.delete(fingerprint);
    },
    rejectionBy(fingerprint) {
      const entry = bans.get(fingerprint);
      if (entry === undefined) return undefined;
      const proven = isProven(fingerprint, entry);
      const waitMs = pauseMs(fingerprint, entry, proven);
      const outcomeMs = proven ? waitMs : TRIAL_OUTCOME_MS;
      const freeAtMs = Math.max(
        entry.lastCrashAtMs + waitMs,
        entry.triedAtMs + outcomeMs,
        entry.endedAtMs + TRIAL_INTERVAL_MS,
      );
      let leftMs = freeAtMs - now();
      if (leftMs <= 0) {
        const rank = options.trialRank(fingerprint);
        const stepsMs = TRIAL_STEP_MS * Math.min(rank, MAX_TRIAL_STEPS);
        leftMs = proven && rank > 0 ? waitMs : leftMs + stepsMs;
      }
      if (leftMs <= 0) return undefined;
      return {fingerprint, isProven: proven, retryAfterMs: leftMs};
    },
    startTrial(fingerprint) {
      const entry = bans.get(fingerprint);
      if (entry !== undefined) entry.triedAtMs = now();
    },
    endTrial(fingerprint) {
      const entry = bans.get(fingerprint);
      if (entry === undefined) return;
      entry.triedAtMs = -Infinity;
      entry.endedAtMs = now();
    },
    list: () =>
      [...bans].map(([fingerprint, {crashes, lastCrashAtMs, triedAtMs}]) => ({
        fingerprint,
        crashes,
        msAgo: now() - lastCrashAtMs,
        ...(triedAtMs === -Infinity ? {} : {triedMsAgo: now() - triedAtMs}),
      })),
  };
}

/** Time after the last crash in which a suspected fingerprint is rejected. */
function suspectedMs(crashes: number): number {
  return SUSPECTED_MS * 2 ** (crashes - 1);
}

/** Time after the last crash in which a proven fingerprint is rejected. */
function provenMs(crashes: number): number {
  const doublings = Math.min(
    Math.max(0, crashes - PROVEN_CRASHES),
    MAX_TRIAL_DOUBLINGS,
  );
  return TRIAL_MS * 2 ** doublings;
}
