import type {LogEvent} from './types.js';

/** Events 100 to 149: daemon lifecycle and requests of callers. */
export const DAEMON_EVENTS = {
  daemonStarted: {number: 100, level: 'info', message: 'daemon started'},
  daemonReady: {number: 101, level: 'info', message: 'daemon is ready'},
  shutdownStarted: {
    number: 102,
    level: 'info',
    message: 'graceful shutdown started',
  },
  shutdownFinished: {
    number: 103,
    level: 'info',
    message: 'graceful shutdown finished',
  },
  settingsInvalid: {
    number: 104,
    level: 'error',
    message: 'settings are invalid',
  },
  requestRefused: {number: 110, level: 'info', message: 'request refused'},
  requestFinished: {number: 111, level: 'info', message: 'request finished'},
} as const satisfies Record<string, LogEvent>;
