import type {LogEvent} from './types.js';

/** Events 300 to 399: the two lists. */
export const LISTS_EVENTS = {
  listsAdopted: {
    number: 300,
    level: 'info',
    message: 'new list versions are in effect',
  },
  listInvalid: {
    number: 301,
    level: 'error',
    message: 'list version is invalid; the last valid version stays in effect',
  },
  listsTakenFromPeers: {
    number: 302,
    level: 'warn',
    message: 'platform returned no valid lists; using lists of peer hosts',
  },
  listWatchEnded: {
    number: 303,
    level: 'warn',
    message: 'list watch ended; reopening it',
  },
  listsDiffer: {
    number: 304,
    level: 'error',
    message: 'peer host has different content for the same list versions',
  },
  listsUnconfirmed: {
    number: 305,
    level: 'error',
    message:
      'neither the platform nor any peer host responds; lists unconfirmed',
  },
  listsConfirmed: {
    number: 306,
    level: 'info',
    message: 'lists are confirmed again',
  },
  listStoreBehind: {
    number: 307,
    level: 'error',
    message: 'platform holds an earlier list version than the one in effect',
  },
} as const satisfies Record<string, LogEvent>;
