import {DAEMON_EVENTS} from './daemon.js';
import {GATEWAY_EVENTS} from './gateway.js';
import {LEDGER_EVENTS} from './ledger.js';
import {LIMITS_EVENTS} from './limits.js';
import {LISTS_EVENTS} from './lists.js';
import {MEMBERSHIP_EVENTS} from './membership.js';
import {OPERATORS_EVENTS} from './operators.js';
import {ORDERS_EVENTS} from './orders.js';
import {PIPELINE_EVENTS} from './pipeline.js';
import {PLACEMENT_EVENTS} from './placement.js';
import {PLATFORM_EVENTS} from './platform.js';
import {ROUTES_EVENTS} from './routes.js';

export type {LogEvent} from './types.js';

/** Every numbered log event of the system. */
export const LOG_EVENTS = {
  ...DAEMON_EVENTS,
  ...OPERATORS_EVENTS,
  ...PLATFORM_EVENTS,
  ...LISTS_EVENTS,
  ...MEMBERSHIP_EVENTS,
  ...PIPELINE_EVENTS,
  ...LEDGER_EVENTS,
  ...LIMITS_EVENTS,
  ...ROUTES_EVENTS,
  ...ORDERS_EVENTS,
  ...GATEWAY_EVENTS,
  ...PLACEMENT_EVENTS,
};

export type LogEventName = keyof typeof LOG_EVENTS;
