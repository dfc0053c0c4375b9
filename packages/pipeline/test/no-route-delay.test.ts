// Guards against failing a request without a route before `silenceMs` has passed.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {routeRetryDelayMs} from '../src/recover.js';

for (const silenceMs of [300, 1_000, 10_000])
  test(`recovery: without a route, retries continue for ${silenceMs} ms`, () => {
    let silentMs = 0;
    for (let retries = 0; ; retries++) {
      const delayMs = routeRetryDelayMs(retries, silentMs, silenceMs);
      if (delayMs === 0) break;
      assert.ok(delayMs <= 500, `a delay of ${delayMs} ms`);
      silentMs += delayMs;
    }
    assert.equal(silentMs, silenceMs);
  });
