import type {LogEvent} from './types.js';

/** Events 900 to 999: orders to engines. */
export const ORDERS_EVENTS = {
  orderLeaseTaken: {
    number: 900,
    level: 'info',
    message: 'order lease acquired',
  },
  orderSent: {number: 901, level: 'info', message: 'order sent to engine'},
  orderLeaseLost: {
    number: 902,
    level: 'warn',
    message: 'order lease lost; no more orders are sent',
  },
  orderConfirmed: {
    number: 903,
    level: 'info',
    message: 'engine reached the desired state',
  },
  orderRefused: {
    number: 904,
    level: 'warn',
    message: 'engine refused an order',
  },
  desiredConflict: {
    number: 905,
    level: 'warn',
    message: 'desired state was written by another holder; orders stop',
  },
  weightStoreDelayed: {
    number: 906,
    level: 'info',
    message: 'weight store is at its rate limit; all loads are delayed',
  },
  weightsUnavailable: {
    number: 907,
    level: 'warn',
    message: 'weights could not be loaded',
  },
  layersUncovered: {
    number: 908,
    level: 'warn',
    message: 'layers of granted models are served by no engine',
  },
  layersCovered: {
    number: 909,
    level: 'info',
    message: 'all layers of granted models are served',
  },
} as const satisfies Record<string, LogEvent>;
