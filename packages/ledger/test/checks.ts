import assert from 'node:assert/strict';
import type {SentCall, Harness} from './harness/index.js';

/** The result that the caller received: `answered`, or whether the call ran. */
export function reportedResult(call: SentCall): string {
  const {outcome} = call;
  if (outcome === undefined) return 'no answer';
  return outcome.kind === 'answered' ? 'answered' : outcome.err.ran;
}

/**
 * Checks the results of a finished scenario against the service's own count of
 * runs. No key ran twice; every key that was reported as answered or run did
 * run; no call that received `not_run` ran; and no key ran if all its callers
 * received `not_run`.
 */
export function checkRuns(harness: Harness): void {
  const keys = new Set(harness.sent.map(call => call.key));
  for (const key of keys) {
    const runs = harness.service.runs.get(key) ?? 0;
    const calls = harness.sent.filter(call => call.key === key);
    const results = calls.map(reportedResult);
    const details = `key ${key} ran ${runs} times; callers received ${results.join(', ')}`;
    assert.ok(runs <= 1, details);
    for (const call of calls.filter(sent => reportedResult(sent) === 'not_run'))
      assert.ok(
        !harness.service.traces.has(call.trace),
        `${details}; ${call.trace} ran`,
      );
    if (results.some(result => result === 'answered' || result === 'ran'))
      assert.equal(runs, 1, details);
    if (results.every(result => result === 'not_run'))
      assert.equal(runs, 0, details);
  }
}
