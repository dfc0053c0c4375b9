import {LOG_EVENTS, type LogEventName} from './log-events/index.js';
import type {Logger} from './logger.js';

/** Interval between reports of dropped lines; keeps them few. */
const REPORT_INTERVAL_MS = 1_000;
/** Levels that are exempt from the limit because their lines are rare. */
const UNLIMITED_LEVELS: ReadonlySet<string> = new Set(['warn', 'error']);

/** Rate limit of a log. */
export interface LogRateLimit {
  readonly linesPerS: number;
  /** Maximum number of lines written in a burst. */
  readonly burst: number;
}

/**
 * Limits the rate of a log. Lines over the limit are dropped and counted, except
 * warnings and errors; at most once a second, a `linesDropped` line reports how
 * many were dropped.
 *
 * @example
 * const log = createBoundedLogger(createLogger({label: 'host'}), {linesPerS: 200, burst: 1_000});
 */
export function createBoundedLogger(
  root: Logger,
  {linesPerS, burst}: LogRateLimit,
  now: () => number = () => performance.now(),
): Logger {
  let tokens = burst;
  let refilledAtMs = now();
  let dropped = 0;
  let reportedAtMs = now();

  function mayWrite(name: LogEventName): boolean {
    const nowMs = now();
    const refill = ((nowMs - refilledAtMs) / 1_000) * linesPerS;
    tokens = Math.min(burst, tokens + refill);
    refilledAtMs = nowMs;
    if (dropped > 0 && nowMs - reportedAtMs >= REPORT_INTERVAL_MS) {
      root.event('linesDropped', {dropped, linesPerS});
      dropped = 0;
      reportedAtMs = nowMs;
    }
    if (UNLIMITED_LEVELS.has(LOG_EVENTS[name].level)) return true;
    if (tokens < 1) {
      dropped += 1;
      return false;
    }
    tokens -= 1;
    return true;
  }

  const wrap = (log: Logger): Logger => ({
    event(name, fields) {
      if (mayWrite(name)) log.event(name, fields);
    },
    child: label => wrap(log.child(label)),
  });
  return wrap(root);
}
