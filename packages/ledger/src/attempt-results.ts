import {failure} from '@chivewick/common';
import {withOutcome, type AttemptResult} from './attempt.js';
import {unknownOutcome} from './record.js';

/**
 * Marks an answer as replayed, for a caller that did not start the call.
 *
 * @example
 * return isActiveRequest ? result : markReplayed(result);
 */
export function markReplayed(result: AttemptResult): AttemptResult {
  if (result.kind !== 'outcome' || result.outcome.kind !== 'answered')
    return result;
  return withOutcome({...result.outcome, replayed: true});
}

/**
 * The key was already used for a request with another digest.
 *
 * @example
 * if (entry.digest !== digest) return keyReused();
 */
export function keyReused(): AttemptResult {
  const err = failure('key_reused', 'this key was used for another request');
  return withOutcome({kind: 'failed', err});
}

/**
 * The platform did not answer in time; the call will not be sent.
 *
 * @example
 * if (found === TIMED_OUT) return platformTimedOut();
 */
export function platformTimedOut(): AttemptResult {
  const message = 'the platform did not commit the call in time';
  const err = failure('platform_unavailable', message);
  return withOutcome({kind: 'failed', err});
}

/**
 * The partition object has no room for another intent.
 *
 * @example
 * if (!partition.hasRoom()) return partitionFull();
 */
export function partitionFull(): AttemptResult {
  const message = 'too many calls of this partition are running';
  const err = failure('overloaded', message, {retryAfterMs: 1_000});
  return withOutcome({kind: 'failed', err});
}

/**
 * The ledger was closed before the call was sent.
 *
 * @example
 * if (staged === 'closed') return execution.finish(ledgerClosed());
 */
export function ledgerClosed(): AttemptResult {
  const err = failure('shutting_down', 'host closed before the call was sent');
  return withOutcome({kind: 'failed', err});
}

/**
 * A call with the same key is still running.
 *
 * @example
 * if (execution.waiters > 0) return callInProgress();
 */
export function callInProgress(): AttemptResult {
  const err = failure('call_in_progress', 'a call with this key is running');
  return withOutcome({kind: 'failed', err});
}

/**
 * Ownership of the partition could not be confirmed in time, so the record may
 * be stale.
 *
 * @example
 * if (owned === TIMED_OUT) return ownershipUnconfirmed();
 */
export function ownershipUnconfirmed(): AttemptResult {
  return withOutcome(
    unknownOutcome('the record could not be confirmed in time'),
  );
}

/**
 * The key has no record. This does not prove that the call never runs, because
 * its request may still be in transit.
 *
 * @example
 * if (entry === undefined) return keyNotRecorded();
 */
export function keyNotRecorded(): AttemptResult {
  const err = failure('not_found', 'no call with this key is recorded', {
    ran: 'unknown',
    hint: 'Send the same request with the same key; it runs at most once.',
  });
  return withOutcome({kind: 'failed', err});
}
