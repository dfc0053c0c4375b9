import {failure, type Failure} from '@chivewick/common';

/** Counts the sends of one request and keeps the failure to report. */
export interface Attempts {
  /** Number of times that the request was sent. */
  readonly sends: number;
  /** Number of sends after which the request may have run. */
  readonly runs: number;
  /** Number of sends that an endpoint refused without running the request. */
  readonly refusals: number;
  sent(): void;
  /**
   * Records that an endpoint refused the request without running it; returns the
   * failure to report.
   */
  refused(reason: string): Failure;
  /**
   * Records that the request may have run but got no usable response; returns the
   * failure to report.
   */
  mayHaveRun(reason: string): Failure;
  /** The failure to report; undefined if no send has failed. */
  readonly failure: Failure | undefined;
}

/**
 * Creates the counts of a request that has not been sent. A refusal after a run does
 * not hide the run: the failure stays `outcome_unknown`.
 *
 * @example
 * const attempts = createAttempts(300);
 * attempts.sent();
 * attempts.refused('answered 503').kind; // 'overloaded'
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
      const refusal = failure('overloaded', reason, {retryAfterMs});
      return (last = runs > 0 && last !== undefined ? last : refusal);
    },
    mayHaveRun(reason) {
      runs += 1;
      return (last = failure('outcome_unknown', reason));
    },
    get failure() {
      return last;
    },
  };
}
