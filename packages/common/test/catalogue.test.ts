// Guards against two events with one number, against numbers outside the range
// of their area, and against error responses with contradictory fields.
import assert from 'node:assert/strict';
import {STATUS_CODES} from 'node:http';
import {test} from 'node:test';
import {DAEMON_EVENTS} from '../src/log-events/daemon.js';
import {GATEWAY_EVENTS} from '../src/log-events/gateway.js';
import {LEDGER_EVENTS} from '../src/log-events/ledger.js';
import {LIMITS_EVENTS} from '../src/log-events/limits.js';
import {LISTS_EVENTS} from '../src/log-events/lists.js';
import {MEMBERSHIP_EVENTS} from '../src/log-events/membership.js';
import {OPERATORS_EVENTS} from '../src/log-events/operators.js';
import {ORDERS_EVENTS} from '../src/log-events/orders.js';
import {PIPELINE_EVENTS} from '../src/log-events/pipeline.js';
import {PLACEMENT_EVENTS} from '../src/log-events/placement.js';
import {PLATFORM_EVENTS} from '../src/log-events/platform.js';
import {ROUTES_EVENTS} from '../src/log-events/routes.js';
import {ERROR_RESPONSES, LOG_EVENTS, type LogEvent} from '../src/index.js';

const AREAS: readonly {
  from: number;
  /** First number after the range. */
  to: number;
  events: Readonly<Record<string, LogEvent>>;
}[] = [
  {from: 100, to: 150, events: DAEMON_EVENTS},
  {from: 150, to: 200, events: OPERATORS_EVENTS},
  {from: 200, to: 300, events: PLATFORM_EVENTS},
  {from: 300, to: 400, events: LISTS_EVENTS},
  {from: 400, to: 500, events: MEMBERSHIP_EVENTS},
  {from: 500, to: 600, events: PIPELINE_EVENTS},
  {from: 600, to: 700, events: LEDGER_EVENTS},
  {from: 700, to: 800, events: LIMITS_EVENTS},
  {from: 800, to: 900, events: ROUTES_EVENTS},
  {from: 900, to: 1000, events: ORDERS_EVENTS},
  {from: 1000, to: 1100, events: GATEWAY_EVENTS},
  {from: 1100, to: 1200, events: PLACEMENT_EVENTS},
];

test('log events: each number is in the range of its area', () => {
  for (const {from, to, events} of AREAS)
    for (const [name, {number}] of Object.entries(events))
      assert.ok(number >= from && number < to, `${name} ${number}`);
});

test('log events: no number and no name is used twice', () => {
  const numbers = AREAS.flatMap(({events}) =>
    Object.values(events).map(({number}) => number),
  );
  assert.equal(new Set(numbers).size, numbers.length);
  // If two areas used the same name, LOG_EVENTS would hold only the later event.
  assert.equal(Object.keys(LOG_EVENTS).length, numbers.length);
});

test('log events: messages are short and in one form', () => {
  for (const [name, {message}] of Object.entries(LOG_EVENTS))
    assert.match(message, /^[a-z][^\n]{5,99}[^.]$/i, name);
});

for (const [kind, response] of Object.entries(ERROR_RESPONSES)) {
  test(`error kinds: ${kind} has a consistent response`, () => {
    const {status, ran, hint} = response;
    assert.match(kind, /^[a-z]+(_[a-z]+)*$/);
    assert.ok(status >= 400 && STATUS_CODES[status] !== undefined);
    assert.match(hint, /^[A-Z].*\.$/);
    assert.ok(['not_run', 'ran', 'unknown'].includes(ran));
    // A request that is rejected for reasons of its own is rejected before any
    // work.
    const rejectedStatuses = [400, 401, 403, 404, 405, 412, 413, 429, 431];
    if (rejectedStatuses.includes(status)) assert.equal(ran, 'not_run');
    if (status === 503)
      assert.deepEqual([ran, response.retry], ['not_run', true]);
  });
}
