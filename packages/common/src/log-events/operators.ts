import type {LogEvent} from './types.js';

/** Events 150 to 199: the administration API. */
export const OPERATORS_EVENTS = {
  listChangeAccepted: {
    number: 150,
    level: 'info',
    message: 'list change accepted',
  },
  listChangeRefused: {
    number: 151,
    level: 'info',
    message: 'list change refused',
  },
  listChangeUnknown: {
    number: 152,
    level: 'warn',
    message: 'outcome of a list change is unknown',
  },
  administrationKeyRefused: {
    number: 153,
    level: 'warn',
    message: 'administration request with a missing or unknown key refused',
  },
  administrationFailed: {
    number: 154,
    level: 'error',
    message: 'administration request failed inside the host',
  },
} as const satisfies Record<string, LogEvent>;
