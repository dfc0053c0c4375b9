import {failure, type Failure} from '@chivewick/common';

/** The sends of one request, and the failure to answer with if none succeeds. */
export interface Attempts {
  /** Times that the request was sent. */
  readonly sends: number;
  /** Sends after which the request may have run. */
  readonly runs: number;
  /** Sends that an endpoint refused without running the request. */
  readonly refusals: number;
  sent(): void;
  /** An endpoint refused the request; it has not run there. */
  refused(reason: string): void;
  /** The request may have run without a whole answer. */
  mayHaveRun(reason: string): void;
  /** What is known to have failed, or `other` where nothing was tried. */
  failureOr(other: Failure): Failure;
}

/**
 * Creates the count of a request that has not been sent. A refusal after a run
 * does not hide the run: the failure stays `outcome_unknown`.
 *
 * @example
 * const attempts = createAttempts(300);
 * attempts.sent();
 * attempts.refused('answered 503');
 * attempts.failureOr(tooLate()).kind; // 'overloaded'
 */
export function createAttempts(retryAfterMs: number): Attempts {
  let sends = 0;
  let runs = 0;
  let last: Failure | undefined;
  return {
    get sends() {
      return sends;
    },
    get runs() {
      return runs;
    },
    get refusals() {
      return sends - runs;
    },
    sent() {
      sends += 1;
    },
    refused(reason) {
      if (runs > 0) return;
      last = failure('overloaded', reason, {retryAfterMs});
    },
    mayHaveRun(reason) {
      runs += 1;
      last = failure('outcome_unknown', reason);
    },
    failureOr: other => last ?? other,
  };
}
