import type {Brand} from '@chivewick/common';

/** Identifies a request, or a part that several requests have in common. */
export type Fingerprint = Brand<'Fingerprint'>;

/** Identifies one run of an endpoint, which ends with its crash. */
export type EndpointRun = Brand<'EndpointRun'>;

/** A request whose response had not really begun when its endpoint crashed. */
export interface SuspectRequest {
  /** The same for each repetition of the request. */
  readonly request: Fingerprint;
  /** Whether the endpoint had begun to respond, as it does when it begins to write. */
  readonly hasBegun: boolean;
  /** Parts that it shares with other requests, the most specific last. */
  readonly parts: readonly Fingerprint[];
  /**
   * Time for which the endpoint had been silent to it when the crash was noticed, in
   * milliseconds; 0 if absent.
   */
  readonly silentMs?: number;
}

/** A crash of an endpoint, with the requests that may have caused it. */
export interface Crash {
  readonly run: EndpointRun;
  readonly requests: readonly SuspectRequest[];
  /** Age at the time of the report, in milliseconds. */
  readonly msAgo: number;
}

/** Why a request is not sent. */
export interface Rejection {
  readonly fingerprint: Fingerprint;
  /** Whether it is proven that such requests crash endpoints, or only suspected. */
  readonly isProven: boolean;
  /** Time after which such a request may be sent, in milliseconds. */
  readonly retryAfterMs: number;
}

/** A fingerprint under which requests crash endpoints. */
export interface Ban {
  readonly fingerprint: Fingerprint;
  /** Separate crashes; at a few of them, the ban is no longer a suspicion only. */
  readonly crashes: number;
  /** Age of the last one at the time of the report, in milliseconds. */
  readonly msAgo: number;
  /** Age of the last request that was let through and whose outcome is not known. */
  readonly triedMsAgo?: number;
}

/** What one host tells another; a fact that is told twice has no further effect. */
export interface EvidenceReport {
  readonly crashes: readonly Crash[];
  /** Last successful requests with fingerprints of these crashes. */
  readonly successes: readonly {
    readonly fingerprint: Fingerprint;
    readonly msAgo: number;
  }[];
  readonly bans: readonly Ban[];
}
