import {id, type HostId, type Logger, rendezvousOrder} from '@chivewick/common';
import {
  createCrashEvidence,
  partFingerprint,
  requestFingerprint,
  type EndpointRun,
  type EvidenceReport,
  type Fingerprint,
  type Rejection,
} from '@chivewick/crash-evidence';
import type {Dialer} from '@chivewick/tunnels';
import {createHash} from 'node:crypto';
import {isLeaving, type EndpointState} from '../endpoint-table.js';
import type {Exchange} from '../exchange.js';

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
  /** Why a request must not be sent now; undefined if it may be sent. */
  rejectionOf(exchange: SuspectExchange): Rejection | undefined;
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
  /** What other hosts should know; undefined if there is nothing. */
  report(): EvidenceReport | undefined;
  merge(report: EvidenceReport): void;
}

/** Dependencies of the quarantine. */
export interface QuarantineOptions {
  readonly self: HostId;
  /** All other hosts that share the endpoints. */
  readonly others: () => readonly {readonly id: HostId}[];
  readonly dialer: Pick<Dialer, 'isDown'>;
  readonly log: Logger;
  /** Called after a change that other hosts should know at once. */
  readonly onChange: () => void;
}

/**
 * Creates the quarantine of this host. A crash is what ends an endpoint's process: a
 * connection that is closed by a live one is not counted.
 *
 * @example
 * if (quarantine.rejectionOf(exchange) !== undefined) return failed(rejected);
 * await quarantine.disconnected(exchange, state, true);
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const {self, log} = options;
  const evidence = createCrashEvidence({
    onChange: options.onChange,
    onBan: ban => log.event('fingerprintBanned', {...ban}),
    onUnban: fingerprint => log.event('fingerprintUnbanned', {fingerprint}),
    trialRank(fingerprint) {
      const hosts = [self, ...options.others().map(host => host.id)];
      return rendezvousOrder(fingerprint, hosts).indexOf(self);
    },
  });

  return {
    rejectionOf: exchange =>
      evidence.rejectionOf(partsOf(exchange), () => digestOf(exchange)),
    succeeded: exchange =>
      evidence.recordSuccess(partsOf(exchange), () => digestOf(exchange)),
    async disconnected(exchange, state, hasBegun) {
      const {id: endpoint, address, startedAtMs} = state.record;
      // The end of a leaving endpoint is planned.
      if (isLeaving(state)) return;
      const request = digestOf(exchange);
      const parts = partsOf(exchange);
      const suspect = {request, hasBegun, parts};
      // Another host is asked too: to one that is cut off, all endpoints look crashed.
      if (!(await options.dialer.isDown(address))) {
        const reason = 'accepts connections';
        log.event('crashNotCounted', {endpoint, startedAtMs, reason, request});
        return;
      }
      log.event('crashRecorded', {endpoint, startedAtMs, ...suspect});
      evidence.recordCrash(
        id<EndpointRun>(`${endpoint}@${startedAtMs}`),
        suspect,
      );
    },
    report: () => evidence.report(),
    merge: report => evidence.merge(report),
  };
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
