import type {LogEvent} from './types.js';

/** Events 200 to 299: the platform's object API and host list. */
export const PLATFORM_EVENTS = {
  objectApiFailed: {
    number: 200,
    level: 'warn',
    message: 'object API call failed',
  },
  hostListStale: {
    number: 201,
    level: 'warn',
    message: 'host list could not be refreshed',
  },
} as const satisfies Record<string, LogEvent>;
