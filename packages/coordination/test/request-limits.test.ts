// Guards against more requests than an endpoint has said that it takes from all hosts
// together, and against limits that hosts forget or keep for too long.
import {id, type EndpointId} from '@chivewick/common';
import {install} from '@sinonjs/fake-timers';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRequestLimits, createStartBudget} from '../src/index.js';

const ENDPOINT = id<EndpointId>('e');
const RUN = {endpoint: ENDPOINT, startedAtMs: 1};
/** Starts that an endpoint with a limit bears in any 4 s. */
const allowed = (perSecond: number) => 1.5 * perSecond * 4 + 5;

test('limits: the holders together keep a limit in any four seconds', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 40}),
      fc.float({min: 0, max: 40, noNaN: true}),
      fc.array(fc.integer({min: 0, max: 400}), {minLength: 10, maxLength: 60}),
      (count, perSecond, pauses) => {
        const clock = install({toFake: ['performance']});
        try {
          const holders = Array.from({length: count}, (_, n) => `domain-${n}`);
          const budgets = holders.map(self =>
            createStartBudget({
              self,
              holders: () => holders,
              perSecond: () => perSecond,
            }),
          );
          const starts: number[] = [];
          for (const pauseMs of pauses) {
            clock.tick(pauseMs);
            // Every holder has more requests than it may start.
            for (const budget of budgets)
              while (budget.take(ENDPOINT)) starts.push(performance.now());
          }
          for (const from of starts) {
            const within = starts.filter(at => at >= from && at < from + 4_000);
            assert.ok(within.length <= allowed(perSecond));
          }
        } finally {
          clock.uninstall();
        }
      },
    ),
    {numRuns: 300},
  );
});

test('limits: the holders together use what a limit allows', () => {
  const clock = install({toFake: ['performance']});
  try {
    const holders = ['a', 'b', 'c'];
    const budgets = holders.map(self =>
      createStartBudget({self, holders: () => holders, perSecond: () => 10}),
    );
    let starts = 0;
    for (let n = 0; n < 1_000; n++) {
      clock.tick(10);
      for (const budget of budgets) if (budget.take(ENDPOINT)) starts += 1;
    }
    assert.ok(starts >= 95 && starts <= 115, `${starts} starts in 10 s`);
  } finally {
    clock.uninstall();
  }
});

test('limits: an endpoint without a limit takes any request', () => {
  const budget = createStartBudget({
    self: 'a',
    holders: () => ['a', 'b'],
    perSecond: () => undefined,
  });
  for (let n = 0; n < 100; n++) assert.equal(budget.take(ENDPOINT), true);
});

function start() {
  const clock = {nowMs: 100_000};
  let changes = 0;
  const limits = createRequestLimits(
    () => (changes += 1),
    () => clock.nowMs,
  );
  return {limits, clock, changes: () => changes};
}

test('limits: a limit holds until a later response states none', () => {
  const {limits, clock} = start();
  limits.observe(RUN, 5);
  clock.nowMs += 100;
  limits.observe(RUN, undefined);
  assert.equal(limits.of(RUN), 5, 'responses that cross end no limit');
  clock.nowMs += 1_000;
  limits.observe(RUN, undefined);
  assert.equal(limits.of(RUN), undefined);
});

test('limits: a restart ends a limit, and what is told of the earlier run is not used', () => {
  const {limits, clock} = start();
  limits.observe(RUN, 5);
  const told = limits.report();
  const restarted = {...RUN, startedAtMs: 2};
  assert.equal(limits.of(restarted), undefined);
  clock.nowMs += 10;
  limits.observe(restarted, 7);
  limits.merge(told.map(limit => ({...limit, msAgo: 5_000})));
  assert.equal(limits.of(restarted), 7);
});

test('limits: hosts agree, whatever the order of messages', () => {
  const first = start();
  const second = start();
  first.limits.observe(RUN, 5);
  const early = first.limits.report();
  first.clock.nowMs += 2_000;
  first.limits.observe(RUN, undefined);
  second.clock.nowMs += 2_000;
  const late = first.limits.report();
  second.limits.merge(late);
  second.limits.merge(early.map(limit => ({...limit, msAgo: 2_000})));
  assert.equal(second.limits.of(RUN), undefined);
});

test('limits: the largest report fits a datagram', () => {
  const {limits} = start();
  for (let n = 0; n < 2_000; n++)
    limits.observe(
      {endpoint: id<EndpointId>(`i-${n}-7f3a91c2`), startedAtMs: 1796421234567},
      13.123456789,
    );
  assert.ok(Buffer.byteLength(JSON.stringify(limits.report())) < 60_000);
});

test('limits: a host that is told a limit keeps it, and tells it once', () => {
  const first = start();
  const second = start();
  first.limits.observe(RUN, 5);
  second.limits.merge(first.limits.report());
  second.limits.merge(first.limits.report());
  assert.equal(second.limits.of(RUN), 5);
  assert.equal(second.changes(), 1);
  second.clock.nowMs += 60_000;
  assert.equal(second.limits.of(RUN), undefined);
  assert.deepEqual(second.limits.report(), []);
});
