import {id, type HostId, type Logger, rendezvousOrder} from '@chivewick/common';
import {
  createCrashEvidence,
  partFingerprint,
  requestFingerprint,
  type EndpointRun,
  type EvidenceReport,
  type Fingerprint,
  type Rejection,
  type SuspectRequest,
} from '@chivewick/crash-evidence';
import {createHash} from 'node:crypto';
import type {EndpointState} from '../endpoint-table.js';
import type {Exchange} from '../exchange.js';
import {createRunWatch, type CheckRun} from './run-watch.js';

/** Parts of a prompt that are considered; the first ones are the most shared. */
const MAX_PARTS = 16;
/** Hexadecimal digits of a request's digest; far more than two requests may share. */
const DIGEST_DIGITS = 20;

/** What the quarantine knows of a request. */
export type SuspectExchange = Pick<
  Exchange,
  'req' | 'facts' | 'service' | 'workspace' | 'body'
>;

/** Keeps requests that crash endpoints from being sent to more of them. */
export interface Quarantine {
  /** Why a request would not be sent now; undefined if it may be sent. */
  expectRejection(exchange: SuspectExchange): Rejection | undefined;
  /**
   * The same for a request that is sent at once if it is not rejected. One that is let
   * through in spite of a suspicion keeps others back until its outcome is known.
   */
  rejectionOf(exchange: SuspectExchange): Rejection | undefined;
  /** Notices that a request is over, with any outcome. */
  finished(exchange: SuspectExchange): void;
  /** Records that a response was written, so that its request crashes no endpoint. */
  succeeded(exchange: SuspectExchange): void;
  /**
   * Records that an endpoint closed the connection of a request that had just begun or
   * was about to. Resolves once it is known whether the endpoint has crashed.
   *
   * @param hasBegun whether the endpoint had begun to respond.
   */
  disconnected(
    exchange: SuspectExchange,
    state: EndpointState,
    hasBegun: boolean,
  ): Promise<void>;
  /**
   * Records that a request was given up because its endpoint was silent, which may end
   * later.
   */
  gaveUp(
    exchange: SuspectExchange,
    state: EndpointState,
    hasBegun: boolean,
  ): void;
  /** Notices that endpoints were added or replaced. */
  endpointsChanged(): void;
  /** What other hosts should know; undefined if there is nothing. */
  report(): EvidenceReport | undefined;
  merge(report: EvidenceReport): void;
}

/** Dependencies of the quarantine. */
export interface QuarantineOptions {
  readonly self: HostId;
  /** All other hosts that share the endpoints. */
  readonly others: () => readonly {readonly id: HostId}[];
  readonly checkRun: CheckRun;
  /** Whether another run of an endpoint is known to stand in its place. */
  readonly isReplaced: (state: EndpointState) => boolean;
  readonly log: Logger;
  /** Called after a change that other hosts should know at once. */
  readonly onChange: () => void;
}

/** A request that may have ended a run of an endpoint. */
interface Suspect extends SuspectRequest {
  /** Identifies the request, which itself has its whole body. */
  readonly key: object;
}

/**
 * Creates the quarantine of this host. A crash is what ends an endpoint's process, however
 * late that is noticed: a connection that is closed by a live one is not counted.
 *
 * @example
 * if (quarantine.rejectionOf(exchange) !== undefined) return failed(rejected);
 * await quarantine.disconnected(exchange, state, true);
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const {self, log} = options;
  const evidence = createCrashEvidence({
    onChange: options.onChange,
    onTrial: fingerprint => started.push(fingerprint),
    onBan: ban => log.event('fingerprintBanned', {...ban}),
    onUnban: fingerprint => log.event('fingerprintUnbanned', {fingerprint}),
    trialRank(fingerprint) {
      const hosts = [self, ...options.others().map(host => host.id)];
      return rendezvousOrder(fingerprint, hosts).indexOf(self);
    },
  });

  /** Fingerprints that requests are sent in spite of, until their outcome is known. */
  const trials = new Map<SuspectExchange, Fingerprint[]>();
  let started: Fingerprint[] = [];
  const watch = createRunWatch<Suspect>({
    checkRun: options.checkRun,
    isReplaced: options.isReplaced,
    onEnded: recordCrash,
  });

  const keys = new WeakMap<SuspectExchange, object>();

  function keyOf(exchange: SuspectExchange): object {
    const key = keys.get(exchange) ?? {};
    keys.set(exchange, key);
    return key;
  }

  function suspectOf(exchange: SuspectExchange, hasBegun: boolean): Suspect {
    const request = digestOf(exchange);
    const key = keyOf(exchange);
    return {key, request, hasBegun, parts: partsOf(exchange)};
  }

  function recordCrash(
    {record}: EndpointState,
    {request, hasBegun, parts}: Suspect,
    silentMs: number,
  ): void {
    const {id: endpoint, startedAtMs} = record;
    const suspect = {request, hasBegun, parts};
    log.event('crashRecorded', {endpoint, startedAtMs, silentMs, ...suspect});
    const run = id<EndpointRun>(`${endpoint}@${startedAtMs}`);
    evidence.recordCrash(run, {...suspect, silentMs: Math.round(silentMs)});
  }

  return {
    expectRejection: exchange =>
      evidence.expectRejection(partsOf(exchange), () => digestOf(exchange)),
    rejectionOf(exchange) {
      started = [];
      const digest = () => digestOf(exchange);
      const rejection = evidence.rejectionOf(partsOf(exchange), digest);
      if (started.length > 0) trials.set(exchange, started);
      return rejection;
    },
    finished(exchange) {
      const ended = trials.get(exchange);
      if (ended === undefined) return;
      trials.delete(exchange);
      const key = keyOf(exchange);
      // The endpoint may still crash.
      if (watch.has(suspect => suspect.key === key)) return;
      for (const fingerprint of ended) evidence.endTrial(fingerprint);
    },
    succeeded(exchange) {
      const key = keyOf(exchange);
      watch.forget(suspect => suspect.key === key);
      evidence.recordSuccess(partsOf(exchange), () => digestOf(exchange));
    },
    async disconnected(exchange, state, hasBegun) {
      const suspect = suspectOf(exchange, hasBegun);
      const status = await watch.check(state, suspect);
      if (status !== 'ended') logUncounted(state, status);
    },
    gaveUp(exchange, state, hasBegun) {
      watch.add(state, suspectOf(exchange, hasBegun));
      logUncounted(state, 'silent');
    },
    endpointsChanged: () => watch.endpointsChanged(),
    report: () => evidence.report(),
    merge: report => evidence.merge(report),
  };

  function logUncounted({record}: EndpointState, status: string): void {
    const {id: endpoint, startedAtMs} = record;
    log.event('crashNotCounted', {endpoint, startedAtMs, status});
  }
}

function partsOf({facts, service}: SuspectExchange): Fingerprint[] {
  return (facts.sharedParts ?? [])
    .slice(0, MAX_PARTS)
    .map(part => partFingerprint(service.name, part));
}

/** Repetitions have the same caller, path and body, and another request id. */
function digestOf({req, workspace, body}: SuspectExchange): Fingerprint {
  const digest = createHash('sha256')
    .update(JSON.stringify([workspace?.id, req.method, req.url]))
    .update(body ?? '')
    .digest('hex');
  return requestFingerprint(digest.slice(0, DIGEST_DIGITS));
}
