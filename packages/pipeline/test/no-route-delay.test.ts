// Guards against a request given up before the silence that callers accept is over.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {delayBeforeChoice} from '../src/recover.js';

for (const silenceMs of [300, 1_000, 10_000])
  test(`recovery: without a route, choices go on for ${silenceMs} ms`, () => {
    let silentMs = 0;
    for (let choices = 0; ; choices++) {
      const delayMs = delayBeforeChoice(choices, silentMs, silenceMs);
      if (delayMs === 0) break;
      assert.ok(delayMs <= 500, `a delay of ${delayMs} ms`);
      silentMs += delayMs;
    }
    assert.equal(silentMs, silenceMs);
  });
