import {LOG_EVENTS, type LogEventName} from './log-events/index.js';
import type {Logger} from './logger.js';

/** Between two lines that say how many were dropped: rare beside the volume. */
const REPORT_MS = 1_000;
/** Levels whose lines are written whatever the volume: they are rare. */
const ALWAYS_WRITTEN: ReadonlySet<string> = new Set(['warn', 'error']);

/** Bounds of the volume of a log. */
export interface LogVolume {
  readonly linesPerS: number;
  /** Lines that may come at once. */
  readonly burst: number;
}

/**
 * Bounds the lines of a log: beyond the volume, lines of ordinary events are
 * dropped and counted, and a line a second says how many.
 *
 * @example
 * const log = createBoundedLogger(createLogger({label: 'host'}), {linesPerS: 200, burst: 1_000});
 */
export function createBoundedLogger(
  root: Logger,
  {linesPerS, burst}: LogVolume,
  now: () => number = () => performance.now(),
): Logger {
  let tokens = burst;
  let filledAtMs = now();
  let dropped = 0;
  let reportedAtMs = now();

  function mayWrite(name: LogEventName): boolean {
    const nowMs = now();
    const filled = ((nowMs - filledAtMs) / 1_000) * linesPerS;
    tokens = Math.min(burst, tokens + filled);
    filledAtMs = nowMs;
    if (dropped > 0 && nowMs - reportedAtMs >= REPORT_MS) {
      root.event('linesDropped', {dropped, linesPerS});
      dropped = 0;
      reportedAtMs = nowMs;
    }
    if (ALWAYS_WRITTEN.has(LOG_EVENTS[name].level)) return true;
    if (tokens < 1) {
      dropped += 1;
      return false;
    }
    tokens -= 1;
    return true;
  }

  const bound = (log: Logger): Logger => ({
    event(name, fields) {
      if (mayWrite(name)) log.event(name, fields);
    },
    child: label => bound(log.child(label)),
  });
  return bound(root);
}
