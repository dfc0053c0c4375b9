import type {LogEvent} from './types.js';

/** Events 700 to 799: limits and admission. */
export const LIMITS_EVENTS = {
  allocationChanged: {
    number: 700,
    level: 'debug',
    message: 'allocation of plan capacity changed',
  },
  rebalanceFailed: {
    number: 701,
    level: 'warn',
    message:
      'rebalancing of plan capacity failed; allocations remain unchanged',
  },
  allocationsDistrusted: {
    number: 702,
    level: 'warn',
    message:
      'process was suspended; allocations are confirmed before the next request starts',
  },
  handoverIncomplete: {
    number: 703,
    level: 'warn',
    message:
      'allocations were not handed over; they are freed when the host is considered dead',
  },
  admissionOverloaded: {
    number: 710,
    level: 'info',
    message: 'requests are being shed before they start',
  },
} as const satisfies Record<string, LogEvent>;
