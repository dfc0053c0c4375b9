import type {EndpointId, HostId} from '@chivewick/common';

/** Time for which a request stays a suspect after a crash. */
export const SUSPECT_TTL_MS = 10 * 60_000;
/** Time for which a request is banned. */
export const BAN_MS = 60 * 60_000;

/** A crash of an endpoint while a request was on it. */
export interface Crash {
  readonly endpoint: EndpointId;
  readonly host: HostId;
  /** Epoch time in milliseconds. */
  readonly at: number;
  /** Whether the request was the only suspect on the endpoint. */
  readonly trial: boolean;
  /** Whether the request had produced tokens, on this or an earlier endpoint. */
  readonly progressed?: boolean;
}

/** A ban with its evidence, as stored in `quarantine/{fingerprint}`. */
export interface Ban {
  readonly fingerprint: string;
  /** Epoch time in milliseconds. */
  readonly expiresAt: number;
  readonly evidence: readonly Crash[];
}

/** Suspects and bans known to this host. */
export interface SuspectTable {
  /** Records a crash; returns the ban in force or the one that it leads to, if any. */
  recordCrash(fingerprint: string, crash: Crash): Ban | undefined;
  addBan(ban: Ban): void;
  /** The ban in force, if any. */
  ban(fingerprint: string): Ban | undefined;
  isSuspect(fingerprint: string): boolean;
  bans(): readonly Ban[];
}

/**
 * Creates an empty table. A request is banned after a crash in a trial, or after
 * two crashes of different endpoints reported by different hosts. A request that
 * has already produced tokens is banned after its second crash in a trial,
 * because two endpoints that fail shortly after each other must not end streams
 * that had been running well. Crashes outside of a trial that are reported by
 * one host count once: a request on two stages in one rack is not the cause when
 * the rack fails.
 *
 * @example
 * const ban = suspects.recordCrash(fingerprint, {endpoint, host, at: Date.now(), trial: false});
 */
export function createSuspectTable(now: () => number = Date.now): SuspectTable {
  const crashes = new Map<string, Crash[]>();
  const bans = new Map<string, Ban>();

  function recentCrashes(fingerprint: string): Crash[] {
    const unexpired = (crashes.get(fingerprint) ?? []).filter(
      ({at}) => now() - at < SUSPECT_TTL_MS,
    );
    if (unexpired.length > 0) crashes.set(fingerprint, unexpired);
    else crashes.delete(fingerprint);
    return unexpired;
  }

  function ban(fingerprint: string): Ban | undefined {
    const current = bans.get(fingerprint);
    if (current === undefined || current.expiresAt > now()) return current;
    bans.delete(fingerprint);
    return undefined;
  }

  function addBan(newBan: Ban): void {
    const current = ban(newBan.fingerprint);
    if (current !== undefined && current.expiresAt >= newBan.expiresAt) return;
    bans.set(newBan.fingerprint, newBan);
    // When the ban has expired, the request is no longer a suspect.
    crashes.delete(newBan.fingerprint);
  }

  return {
    ban,
    addBan,
    isSuspect: fingerprint => recentCrashes(fingerprint).length > 0,
    bans: () => [...bans.keys()].flatMap(key => ban(key) ?? []),
    recordCrash(fingerprint, crash) {
      const current = ban(fingerprint);
      if (current !== undefined) return current;
      const evidence = [...recentCrashes(fingerprint), crash];
      crashes.set(fingerprint, evidence);
      const isConfirmedElsewhere = evidence.some(
        other => other.host !== crash.host && other.endpoint !== crash.endpoint,
      );
      if (!isConfirmedElsewhere && !provenByTrial(evidence, crash))
        return undefined;
      const newBan = {fingerprint, expiresAt: now() + BAN_MS, evidence};
      addBan(newBan);
      return newBan;
    },
  };
}

function provenByTrial(evidence: readonly Crash[], crash: Crash): boolean {
  if (!crash.trial) return false;
  const trialCount = evidence.filter(({trial}) => trial).length;
  return crash.progressed !== true || trialCount > 1;
}
