import type {LogEvent} from './types.js';

/** Events 600 to 699: non-idempotent calls. */
export const LEDGER_EVENTS = {
  partitionTaken: {
    number: 600,
    level: 'info',
    message: 'partition ownership acquired',
  },
  partitionLost: {
    number: 601,
    level: 'warn',
    message: 'partition ownership lost',
  },
  partitionReleased: {
    number: 602,
    level: 'info',
    message: 'partition released to another host',
  },
  ledgerWriteUnresolved: {
    number: 603,
    level: 'warn',
    message: 'object API did not respond to a ledger write; retrying it',
  },
  segmentSealed: {
    number: 604,
    level: 'info',
    message: 'finished calls sealed into a segment',
  },
  callOutcomeUnknown: {
    number: 605,
    level: 'warn',
    message: 'outcome of a non-idempotent call is unknown',
  },
  lateReportAccepted: {
    number: 606,
    level: 'info',
    message: 'unknown outcome settled by a late report',
  },
  lateReportDropped: {
    number: 607,
    level: 'warn',
    message: 'no owner accepted a late report in time',
  },
  segmentNotRemoved: {
    number: 608,
    level: 'warn',
    message: 'expired segment could not be removed',
  },
} as const satisfies Record<string, LogEvent>;
