import type {LogEvent} from './types.js';

/** Events 1000 to 1099: hosts that forward requests unchanged. */
export const GATEWAY_EVENTS = {
  gatewayStarted: {number: 1000, level: 'info', message: 'gateway started'},
  gatewayStopping: {
    number: 1001,
    level: 'info',
    message: 'gateway is stopping',
  },
  gatewayStopped: {number: 1002, level: 'info', message: 'gateway stopped'},
  settingsReloaded: {number: 1003, level: 'info', message: 'settings reloaded'},
  readinessChanged: {
    number: 1004,
    level: 'info',
    message: 'readiness changed',
  },
  requestServed: {number: 1010, level: 'info', message: 'request served'},
  requestNotServed: {
    number: 1011,
    level: 'info',
    message: 'request not served',
  },
  requestResent: {
    number: 1012,
    level: 'info',
    message: 'request sent to another endpoint',
  },
  pathChosen: {number: 1013, level: 'info', message: 'pipeline path chosen'},
  pathChanged: {
    number: 1014,
    level: 'info',
    message: 'pipeline path changed mid-stream',
  },
  callerLeft: {number: 1015, level: 'info', message: 'caller disconnected'},
  inputRejected: {
    number: 1016,
    level: 'info',
    message: 'caller input is not a valid request',
  },
  storeLost: {number: 1020, level: 'warn', message: 'store unavailable'},
  storeRegained: {number: 1021, level: 'info', message: 'store available'},
  feedHistoryLost: {
    number: 1022,
    level: 'warn',
    message: 'store no longer has the change history; listing again',
  },
  configAdopted: {
    number: 1023,
    level: 'info',
    message: 'routing configuration adopted',
  },
  objectUnreadable: {
    number: 1024,
    level: 'warn',
    message: 'unreadable store object ignored',
  },
  storeEraChanged: {
    number: 1025,
    level: 'warn',
    message: 'store has been restored from an older copy',
  },
  storeEraInvalid: {
    number: 1026,
    level: 'warn',
    message: 'store states no valid era, or an earlier one',
  },
  feedOutdated: {
    number: 1027,
    level: 'info',
    message: 'contents of the store not used because they are outdated',
  },
  configOutdated: {
    number: 1028,
    level: 'warn',
    message: 'configuration of an older copy of the store not adopted',
  },
  entryOutdated: {
    number: 1029,
    level: 'warn',
    message: 'entry of an older copy of the store not used',
  },
  endpointChanged: {
    number: 1030,
    level: 'info',
    message: 'endpoint registered or changed',
  },
  endpointGone: {number: 1031, level: 'info', message: 'endpoint removed'},
  endpointSuspected: {
    number: 1032,
    level: 'warn',
    message: 'endpoint suspected to be down',
  },
  coordinationFailed: {
    number: 1033,
    level: 'warn',
    message: 'message to or from another host failed',
  },
  crashRecorded: {
    number: 1034,
    level: 'warn',
    message: 'endpoint crashed while a request was about to begin',
  },
  fingerprintBanned: {
    number: 1035,
    level: 'warn',
    message: 'requests that crash endpoints are rejected',
  },
  fingerprintUnbanned: {
    number: 1036,
    level: 'info',
    message: 'requests are accepted again after a success',
  },
  endpointLeaving: {
    number: 1037,
    level: 'info',
    message: 'endpoint states that it is about to stop',
  },
  endpointPaused: {
    number: 1038,
    level: 'info',
    message: 'endpoint asks for no requests for a while',
  },
  endpointUnreachable: {
    number: 1039,
    level: 'warn',
    message: 'endpoint cannot be reached; connecting through other hosts',
  },
  endpointReachable: {
    number: 1041,
    level: 'info',
    message: 'endpoint can be reached again, or is no longer used',
  },
  retryGranted: {
    number: 1042,
    level: 'info',
    message: 'coordinator granted a retry',
  },
  fingerprintRejected: {
    number: 1043,
    level: 'info',
    message: 'request rejected because requests like it crash endpoints',
  },
  crashNotCounted: {
    number: 1044,
    level: 'info',
    message: 'request that had not really begun ended without a known crash',
  },
  requestEvicted: {
    number: 1050,
    level: 'info',
    message: 'request ended because bodies and responses take too many bytes',
  },
  callerClosed: {
    number: 1051,
    level: 'info',
    message: 'connection of a caller closed to protect this host',
  },
  repairChosen: {
    number: 1055,
    level: 'info',
    message:
      'repair of a path granted or denied by the coordinator, or made locally',
  },
  linesDropped: {
    number: 1040,
    level: 'warn',
    message: 'log lines dropped over the rate limit',
  },
} as const satisfies Record<string, LogEvent>;
