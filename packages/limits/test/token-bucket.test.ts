import {install} from '@sinonjs/fake-timers';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTokenBucket} from '../src/token-bucket.js';

const MAX_TOKENS = 300;

const step = fc.record({
  ms: fc.nat(3_000),
  tokens: fc.integer({min: 1, max: MAX_TOKENS}),
  rate: fc.constantFrom(undefined, 0, 40, 100),
});

// Guards against rate changes or debt that let more tokens through than the bound.
test('limits: in T seconds a token bucket charges at most T + 1 seconds at the highest rate plus one request', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const clock = install({toFake: ['performance']});
      try {
        const bucket = createTokenBucket();
        bucket.setRate(100);
        let charged = 0;
        const windows: Array<{fromMs: number; charged: number}> = [];
        for (const {ms, tokens, rate} of steps) {
          clock.tick(ms);
          if (rate !== undefined) bucket.setRate(rate);
          const nowMs = clock.performance.now();
          windows.push({fromMs: nowMs, charged});
          if (bucket.take(tokens)) charged += tokens;
          for (const {fromMs, charged: before} of windows) {
            const seconds = (nowMs - fromMs) / 1000;
            const max = 100 * (seconds + 1) + MAX_TOKENS;
            assert.ok(charged - before <= max, `${seconds} s`);
          }
        }
      } finally {
        clock.uninstall();
      }
    }),
    {numRuns: 300, seed: 20_261},
  );
});

// Guards against a wait time after which a request still can't start.
test('limits: a token bucket returns the time until the next request can start and accepts refunds', () => {
  const clock = install({toFake: ['performance']});
  try {
    const bucket = createTokenBucket();
    bucket.setRate(100);
    clock.tick(1_000);
    assert.equal(bucket.take(300), true);
    assert.deepEqual([bucket.take(1), bucket.inDebt()], [false, true]);
    clock.tick(bucket.waitMs());
    assert.equal(bucket.take(50), true);
    assert.equal(bucket.take(1), false);
    bucket.refund(50);
    assert.equal(bucket.take(1), true);
    bucket.setRate(0);
    assert.deepEqual([bucket.take(1), bucket.waitMs()], [false, Infinity]);
  } finally {
    clock.uninstall();
  }
});
