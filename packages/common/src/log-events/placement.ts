import type {LogEvent} from './types.js';

/** Events 1100 to 1199: placement of layers on engines. */
export const PLACEMENT_EVENTS = {
  layersOrdered: {
    number: 1100,
    level: 'info',
    message: 'engine ordered to hold layers',
  },
  layersOrderFailed: {
    number: 1101,
    level: 'warn',
    message: 'order to hold layers was not confirmed',
  },
  placementFenced: {
    number: 1102,
    level: 'warn',
    message: 'order refused because of its fencing number',
  },
} as const satisfies Record<string, LogEvent>;
