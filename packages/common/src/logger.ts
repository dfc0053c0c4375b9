import {pino, type DestinationStream} from 'pino';
import {LOG_EVENTS, type LogEventName} from './log-events/index.js';

/** Writes numbered log events; each package uses a child with its own label. */
export interface Logger {
  event(name: LogEventName, fields?: Record<string, unknown>): void;
  child(label: string): Logger;
}

const REDACTED_PATHS = [
  'key',
  'authorization',
  '*.key',
  '*.authorization',
  'headers.authorization',
  'token',
  'secret',
];

/**
 * Creates the root logger: one JSON line per event, secrets redacted.
 *
 * @example
 * const log = createLogger({label: 'daemon', level: 'info'});
 * log.event('daemonStarted', {host: 'nav-a-1'});
 */
export function createLogger(options: {
  label: string;
  level?: string;
  destination?: DestinationStream;
}): Logger {
  const root = pino(
    {
      level: options.level ?? 'info',
      redact: {paths: REDACTED_PATHS, censor: '[redacted]'},
      base: undefined,
      timestamp: pino.stdTimeFunctions.isoTime,
    },
    options.destination ?? pino.destination(1),
  );
  return wrap(root, options.label);
}

/**
 * A logger that writes nothing, for tests and benchmarks.
 *
 * @example
 * const pipeline = createPipeline({log: createSilentLogger()});
 */
export function createSilentLogger(): Logger {
  const silent: Logger = {event: () => {}, child: () => silent};
  return silent;
}

function wrap(root: pino.Logger, label: string): Logger {
  return {
    event(name, fields = {}) {
      const {number, level, message} = LOG_EVENTS[name];
      root[level]({event: number, label, ...fields}, message);
    },
    child: childLabel => wrap(root, childLabel),
  };
}
