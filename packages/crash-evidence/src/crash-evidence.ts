import {createBanTable} from './ban-table.js';
import {dropOldest} from './drop-oldest.js';
import {
  findCause,
  isExplained,
  lastSeenMs,
  SETTLE_MS,
  type RecordedCrash,
} from './find-cause.js';
import {isRequestFingerprint} from './fingerprints.js';
import type {
  Ban,
  EndpointRun,
  EvidenceReport,
  Fingerprint,
  Rejection,
  SuspectRequest,
} from './types.js';

/** Time for which a crash counts. */
const CRASH_TTL_MS = 10 * 60_000;
/** Time for which a crash is repeated in reports, as messages may be lost. */
const REPORTED_MS = 10_000;
/** Crashes of late, of which a cause may explain all; fewer may be chance. */
const MIN_EXPLAINED = 3;
const EXPLAINED_MS = 30_000;
/**
 * Time over which crashes that are all near a fingerprint count as two separate ones: it
 * is longer than one disruption takes.
 */
const SEPARATE_MS = 1_000;
/**
 * Crashes over at least that time which prove fingerprints that explain all of late, also
 * without a pause between them: engines that are silent before they end crash in a row
 * after the first ban.
 */
const MIN_PROVING = 5;

// Bounds on the memory and on the size of a report, which has to fit a datagram.
const MAX_CRASHES = 128;
const MAX_REPORTED_CRASHES = 16;
/** Bytes of the crashes in a report; a datagram carries 64 KB and the rest of it. */
const MAX_CRASH_BYTES = 36_000;
const MAX_REQUESTS = 16;
const MAX_SUCCESSES = 4_096;
const MAX_ENDED_BANS = 128;

/** Evidence on which requests crash endpoints, from this and other hosts. */
export interface CrashEvidence {
  /** Records the crash of an endpoint while a request was about to begin there. */
  recordCrash(run: EndpointRun, request: SuspectRequest): void;
  /**
   * Records that a response to a request with these parts was written. `request` is only
   * called if crashes or bans are known.
   */
  recordSuccess(
    parts: readonly Fingerprint[],
    request?: () => Fingerprint,
  ): void;
  /**
   * Why a request must not be sent now; undefined if it may be sent. `request` is only
   * called if a whole request is banned.
   */
  expectRejection(
    parts: readonly Fingerprint[],
    request: () => Fingerprint,
  ): Rejection | undefined;
  /** The same for a request that is sent if it is not rejected. */
  rejectionOf(
    parts: readonly Fingerprint[],
    request: () => Fingerprint,
  ): Rejection | undefined;
  /** Ends the wait for a request that was let through and has shown nothing. */
  endTrial(fingerprint: Fingerprint): void;
  /** What other hosts should know; undefined if there is nothing. */
  report(): EvidenceReport | undefined;
  merge(report: EvidenceReport): void;
}

/** Dependencies of the evidence. */
export interface CrashEvidenceOptions {
  /** Called after a change that other hosts should know at once. */
  readonly onChange: () => void;
  readonly onBan?: (ban: Ban) => void;
  readonly onUnban?: (fingerprint: Fingerprint) => void;
  /** Called by `rejectionOf` for a request that is let through in spite of a ban. */
  readonly onTrial?: (fingerprint: Fingerprint) => void;
  /**
   * Position of this host among those of the fleet that may let a request with a
   * fingerprint through; 0 on one host.
   */
  readonly trialRank: (fingerprint: Fingerprint) => number;
  /** Monotonic clock, in milliseconds. */
  readonly now?: () => number;
}

type MutableCrash = RecordedCrash & {
  readonly requests: Map<Fingerprint, SuspectRequest>;
};

/**
 * Creates empty evidence; see `findCause` for what leads to a ban. A ban starts as a
 * suspicion, which ends by itself after some seconds, and becomes proven if the requests
 * that are let through afterwards crash endpoints too. It ends with the first success.
 *
 * @example
 * const evidence = createCrashEvidence({onChange: announce, trialRank: () => 0});
 * evidence.recordCrash(run, {request, parts});
 * if (evidence.rejectionOf(parts, () => request) !== undefined) reject();
 */
export function createCrashEvidence(
  options: CrashEvidenceOptions,
): CrashEvidence {
  const now = options.now ?? (() => performance.now());
  const crashes = new Map<EndpointRun, MutableCrash>();
  /** Time of the last success; the least recent first. */
  const successes = new Map<Fingerprint, number>();
  const bans = createBanTable({
    now,
    trialRank: options.trialRank,
    explainsAll,
    onBan: options.onBan,
  });
  /** When bans ended by a success, which other hosts should know for a while. */
  const endedBans = new Map<Fingerprint, number>();
  /** When all reports on the newest crash have arrived. */
  let settledAtMs = -Infinity;
  let evaluatedAtMs = -Infinity;

  /** Adds a request to a crash; returns whether it was not known. */
  function addSuspect(
    run: EndpointRun,
    atMs: number,
    suspect: SuspectRequest,
  ): boolean {
    let crash = crashes.get(run);
    if (crash === undefined) {
      crash = {run, atMs, requests: new Map()};
      crashes.set(run, crash);
      settledAtMs = Math.max(settledAtMs, atMs + SETTLE_MS);
      dropOldest(crashes, MAX_CRASHES);
    }
    const {requests} = crash;
    if (requests.has(suspect.request)) return false;
    if (requests.size >= MAX_REQUESTS) {
      const unbegun = [...requests.values()].find(({hasBegun}) => !hasBegun);
      if (!suspect.hasBegun || unbegun === undefined) return false;
      requests.delete(unbegun.request);
    }
    requests.set(suspect.request, suspect);
    for (const fingerprint of [suspect.request, ...suspect.parts])
      bans.addCrash(fingerprint, crash.atMs, lastSeenMs(crash, suspect));
    return true;
  }

  /** Records a success; returns whether it changes what the evidence says. */
  function addSuccess(fingerprint: Fingerprint, atMs: number): boolean {
    const knownMs = successes.get(fingerprint) ?? -Infinity;
    if (atMs <= knownMs) return false;
    successes.delete(fingerprint);
    successes.set(fingerprint, atMs);
    dropOldest(successes, MAX_SUCCESSES);
    if (bans.endBefore(fingerprint, atMs)) {
      endedBans.set(fingerprint, now());
      dropOldest(endedBans, MAX_ENDED_BANS);
      options.onUnban?.(fingerprint);
      return true;
    }
    const crashAtMs = lastCrashAtMs(fingerprint);
    if (crashAtMs === undefined) return false;
    return knownMs === -Infinity || (knownMs < crashAtMs && atMs > crashAtMs);
  }

  function lastCrashAtMs(fingerprint: Fingerprint): number | undefined {
    const nearMs = [...crashes.values()]
      .filter(crash => isNear(crash, fingerprint))
      .map(({atMs}) => atMs);
    return nearMs.length > 0 ? Math.max(...nearMs) : undefined;
  }

  /** Starts a suspicion: one disruption may explain all crashes so far. */
  function suspect(fingerprint: Fingerprint): void {
    const lastMs = lastCrashAtMs(fingerprint) ?? now();
    const firstMs = Math.min(...recentCrashes(lastMs).map(({atMs}) => atMs));
    const isSeparate =
      explainsAll(fingerprint, [], lastMs) && lastMs - firstMs >= SEPARATE_MS;
    bans.add(fingerprint, {
      crashes: isSeparate ? 2 : 1,
      lastCrashAtMs: lastMs,
    });
  }

  /** Crashes of the time before another one, and those after it. */
  function recentCrashes(lastMs: number): MutableCrash[] {
    return [...crashes.values()].filter(
      ({atMs}) => atMs > lastMs - EXPLAINED_MS,
    );
  }

  /**
   * Ends the bans of requests that were near crashes which a part explains: repeated on
   * one endpoint after the other, they met the requests with that part again.
   */
  function clearExplained(): void {
    for (const fingerprint of bans.fingerprints())
      if (isRequestFingerprint(fingerprint) && isInnocent(fingerprint))
        bans.remove(fingerprint);
  }

  /** Whether banned parts explain all known crashes that a request was near. */
  function isInnocent(request: Fingerprint): boolean {
    const near = [...crashes.values()].filter(({requests}) =>
      requests.has(request),
    );
    const isBannedPart = (part: Fingerprint) => bans.has(part);
    return (
      near.length > 0 && near.every(crash => isExplained(crash, isBannedPart))
    );
  }

  /** The fingerprint of a request, if it is banned or was near a crash. */
  function suspectedRequest(request?: () => Fingerprint): Fingerprint[] {
    if (request === undefined) return [];
    if (crashes.size === 0 && bans.isEmpty()) return [];
    const fingerprint = request();
    const isNear = [...crashes.values()].some(({requests}) =>
      requests.has(fingerprint),
    );
    return isNear || bans.has(fingerprint) ? [fingerprint] : [];
  }

  /** Bans what the evidence is sufficient for. */
  function evaluate(): void {
    evaluatedAtMs = now();
    const cutoffMs = evaluatedAtMs - CRASH_TTL_MS;
    for (const {run, atMs} of crashes.values())
      if (atMs < cutoffMs) crashes.delete(run);
    bans.dropSuspicions(cutoffMs);
    for (;;) {
      const cause = findCause({
        crashes: [...crashes.values()],
        successes,
        isBanned: fingerprint => bans.has(fingerprint),
        nowMs: evaluatedAtMs,
      });
      if (cause === undefined) break;
      suspect(cause);
    }
    clearExplained();
    proveRepeated();
  }

  /** Proves the bans that explain all crashes of late, where these are many. */
  function proveRepeated(): void {
    const repeated = bans.fingerprints().filter(fingerprint => {
      const nearMs = [...crashes.values()]
        .filter(crash => isNear(crash, fingerprint))
        .map(({atMs}) => atMs);
      const spanMs = Math.max(...nearMs) - Math.min(...nearMs);
      return nearMs.length >= MIN_PROVING && spanMs >= SEPARATE_MS;
    });
    for (const fingerprint of repeated) {
      const lastMs = lastCrashAtMs(fingerprint);
      if (lastMs !== undefined && explainsAll(fingerprint, repeated, lastMs))
        bans.prove(fingerprint);
    }
  }

  /** Whether a fingerprint and others explain all crashes of late. */
  function explainsAll(
    fingerprint: Fingerprint,
    others: readonly Fingerprint[],
    lastCrashMs: number,
  ): boolean {
    // What has succeeded before explains none.
    if (successes.has(fingerprint)) return false;
    const causes = others.filter(other => !successes.has(other));
    const recent = recentCrashes(lastCrashMs);
    return (
      recent.length >= MIN_EXPLAINED &&
      recent.every(crash =>
        [fingerprint, ...causes].some(cause => isNear(crash, cause)),
      )
    );
  }

  /** Takes over another host's ban; returns whether it was not known. */
  function mergeBan(ban: Ban): boolean {
    const {fingerprint, crashes: count, msAgo, triedMsAgo} = ban;
    const lastCrashAtMs = now() - msAgo;
    const triedAtMs = triedMsAgo === undefined ? undefined : now() - triedMsAgo;
    if (!bans.has(fingerprint)) {
      const isCleared =
        (successes.get(fingerprint) ?? -Infinity) > lastCrashAtMs ||
        (isRequestFingerprint(fingerprint) && isInnocent(fingerprint));
      if (isCleared) return false;
    }
    return bans.merge(fingerprint, {
      crashes: count,
      lastCrashAtMs,
      triedAtMs,
    });
  }

  /** The banned fingerprints of a request. */
  function bannedOf(
    parts: readonly Fingerprint[],
    request: () => Fingerprint,
  ): Fingerprint[] {
    const banned = parts.filter(part => bans.has(part));
    if (!bans.fingerprints().some(isRequestFingerprint)) return banned;
    return bans.has(request()) ? [...banned, request()] : banned;
  }

  function expectRejection(
    parts: readonly Fingerprint[],
    request: () => Fingerprint,
  ): Rejection | undefined {
    if (evaluatedAtMs < settledAtMs && now() >= settledAtMs) evaluate();
    for (const fingerprint of bannedOf(parts, request)) {
      const rejection = bans.rejectionBy(fingerprint);
      if (rejection !== undefined) return rejection;
    }
    return undefined;
  }

  return {
    recordCrash(run, request) {
      if (!addSuspect(run, now(), request)) return;
      evaluate();
      options.onChange();
    },
    recordSuccess(parts, request) {
      const changes = [...parts, ...suspectedRequest(request)].map(
        fingerprint => addSuccess(fingerprint, now()),
      );
      if (!changes.includes(true)) return;
      evaluate();
      options.onChange();
    },
    expectRejection,
    rejectionOf(parts, request) {
      const rejection = expectRejection(parts, request);
      if (rejection !== undefined) return rejection;
      const trials = bannedOf(parts, request);
      for (const fingerprint of trials) {
        bans.startTrial(fingerprint);
        options.onTrial?.(fingerprint);
      }
      if (trials.length > 0) options.onChange();
      return undefined;
    },
    endTrial: fingerprint => bans.endTrial(fingerprint),
    report() {
      const atMs = now();
      const recent = newestThatFit(
        [...crashes.values()]
          .filter(crash => atMs - crash.atMs < REPORTED_MS)
          .slice(-MAX_REPORTED_CRASHES),
      );
      const ended = [...endedBans]
        .filter(([, endedAtMs]) => atMs - endedAtMs < REPORTED_MS)
        .map(([fingerprint]) => fingerprint);
      if (recent.length === 0 && ended.length === 0 && bans.isEmpty())
        return undefined;
      const near = new Set(
        recent.flatMap(({requests}) =>
          [...requests.values()].flatMap(({request, parts}) => [
            request,
            ...parts,
          ]),
        ),
      );
      for (const fingerprint of [...bans.fingerprints(), ...ended])
        near.add(fingerprint);
      return {
        crashes: recent.map(({run, requests, atMs: crashAtMs}) => ({
          run,
          requests: [...requests.values()],
          msAgo: atMs - crashAtMs,
        })),
        successes: [...near].flatMap(fingerprint => {
          const successAtMs = successes.get(fingerprint);
          return successAtMs === undefined
            ? []
            : [{fingerprint, msAgo: atMs - successAtMs}];
        }),
        bans: bans.list(),
      };
    },
    merge(report) {
      const atMs = now();
      const changes = [
        ...report.successes.map(({fingerprint, msAgo}) =>
          addSuccess(fingerprint, atMs - msAgo),
        ),
        ...report.crashes.flatMap(({run, requests, msAgo}) =>
          requests.map(request => addSuspect(run, atMs - msAgo, request)),
        ),
        ...report.bans.map(mergeBan),
      ];
      if (!changes.includes(true)) return;
      evaluate();
      options.onChange();
    },
  };
}

/**
 * The newest crashes that fit into a report. Of one that does not fit alone, the
 * requests that had begun are kept first: they are the likeliest causes.
 */
function newestThatFit(recent: readonly MutableCrash[]): MutableCrash[] {
  const fitting: MutableCrash[] = [];
  let leftBytes = MAX_CRASH_BYTES;
  for (const crash of [...recent].reverse()) {
    const requests: typeof crash.requests = new Map();
    const ordered = [...crash.requests].sort(
      ([, a], [, b]) => Number(b.hasBegun) - Number(a.hasBegun),
    );
    for (const [fingerprint, suspect] of ordered) {
      leftBytes -= reportedBytes(suspect);
      if (leftBytes < 0) break;
      requests.set(fingerprint, suspect);
    }
    if (requests.size > 0) fitting.unshift({...crash, requests});
    if (leftBytes < 0) break;
  }
  return fitting;
}

/** Bytes of a request in a report, with its parts, and its parts as successes. */
function reportedBytes(suspect: SuspectRequest): number {
  return 2 * JSON.stringify(suspect).length;
}

function isNear({requests}: RecordedCrash, fingerprint: Fingerprint): boolean {
  return [...requests.values()].some(
    ({request, parts}) =>
      request === fingerprint || parts.includes(fingerprint),
  );
}
