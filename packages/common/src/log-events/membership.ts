import type {LogEvent} from './types.js';

/** Events 400 to 499: peer hosts. */
export const MEMBERSHIP_EVENTS = {
  peerSuspected: {
    number: 400,
    level: 'warn',
    message: 'peer host is suspected dead',
  },
  peerDead: {
    number: 401,
    level: 'warn',
    message: 'peer host is considered dead',
  },
  peerAlive: {number: 402, level: 'info', message: 'peer host is alive'},
  peerLeft: {number: 403, level: 'info', message: 'peer host has left'},
  suspicionRefuted: {
    number: 404,
    level: 'warn',
    message: 'this host was suspected and has refuted it',
  },
  peerConnected: {
    number: 410,
    level: 'debug',
    message: 'connection to a peer host is open',
  },
  peerDisconnected: {
    number: 411,
    level: 'debug',
    message: 'connection to a peer host has closed',
  },
  peerRefused: {
    number: 412,
    level: 'warn',
    message: 'connection of a peer host refused',
  },
} as const satisfies Record<string, LogEvent>;
