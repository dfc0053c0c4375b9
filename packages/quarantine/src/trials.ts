import type {EndpointId, HostId} from '@chivewick/common';

/** Time after which a trial whose end was never reported expires. */
const TRIAL_TTL_MS = 120_000;

/** A request to run as the only suspect on some endpoints. */
export interface TrialRequest {
  readonly fingerprint: string;
  /** Endpoints of the route; if absent, the trial excludes all other trials. */
  readonly endpoints?: readonly EndpointId[];
}

/** Trials granted by this host as their coordinator. */
export interface TrialTable {
  /** Grants a trial unless a granted one shares an endpoint or the fingerprint. */
  begin(trial: TrialRequest, host: HostId): boolean;
  end(fingerprint: string, host: HostId): void;
}

/**
 * Creates the table of trials. No two suspects run on one endpoint at the same
 * time, so a second crash identifies exactly one of them. A suspect runs only
 * once at a time, so that a resent request crashes one more endpoint and not
 * several.
 *
 * @example
 * if (trials.begin({fingerprint, endpoints}, host)) return {granted: true};
 */
export function createTrialTable(now: () => number = Date.now): TrialTable {
  const grantedTrials = new Map<
    string,
    TrialRequest & {host: HostId; at: number}
  >();

  function conflicts(one: TrialRequest, other: TrialRequest): boolean {
    if (one.endpoints === undefined || other.endpoints === undefined)
      return true;
    return one.endpoints.some(endpoint => other.endpoints?.includes(endpoint));
  }

  return {
    begin(trial, host) {
      const {fingerprint} = trial;
      expire();
      if (grantedTrials.has(fingerprint)) return false;
      for (const other of grantedTrials.values())
        if (conflicts(trial, other)) return false;
      grantedTrials.set(fingerprint, {...trial, host, at: now()});
      return true;
    },
    end(fingerprint, host) {
      if (grantedTrials.get(fingerprint)?.host === host)
        grantedTrials.delete(fingerprint);
    },
  };

  function expire(): void {
    for (const [fingerprint, {at}] of grantedTrials)
      if (now() - at > TRIAL_TTL_MS) grantedTrials.delete(fingerprint);
  }
}
