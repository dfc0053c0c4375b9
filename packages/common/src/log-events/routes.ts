import type {LogEvent} from './types.js';

/** Events 800 to 899: routes, retries and quarantine. */
export const ROUTES_EVENTS = {
  breakerOpened: {
    number: 800,
    level: 'warn',
    message: 'circuit breaker opened',
  },
  requestQuarantined: {
    number: 810,
    level: 'error',
    message: 'request quarantined because it crashes endpoints',
  },
  banNotStored: {
    number: 811,
    level: 'warn',
    message: 'ban could not be written to the platform',
  },
  suspectNotAnnounced: {
    number: 812,
    level: 'warn',
    message: 'some hosts did not confirm a request that may crash endpoints',
  },
} as const satisfies Record<string, LogEvent>;
