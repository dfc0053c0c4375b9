import {id} from '@chivewick/common';
import {createWeightStoreStandIn} from '@chivewick/stand-ins';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createWeightStore} from '../src/index.js';

const RANGE = {model: id<never>('rota-draft'), version: 'v1', from: 0, to: 8};

// Guards against a rate-limited load that fails without a retry delay.
test('a rate-limited load fails with a retry delay', async () => {
  const standIn = await createWeightStoreStandIn({loadsPerSecond: 0.1});
  const weights = createWeightStore({address: standIn.address});
  const first = await weights.load(RANGE);
  const second = await weights.load(RANGE);
  await weights.close();
  await standIn.close();
  assert.deepEqual(first, {ok: true, value: {bytes: 8_000_000}});
  assert.equal(second.ok, false);
  assert.equal(second.err.kind, 'overloaded');
  assert.ok((second.err.retryAfterMs ?? 0) > 0);
});

// Guards against an outage that is reported as missing weights.
test('an outage and a closed store are reported as endpoint failures', async () => {
  const standIn = await createWeightStoreStandIn({});
  const weights = createWeightStore({address: standIn.address});
  standIn.faults.outage = true;
  const outage = await weights.load(RANGE);
  await standIn.close();
  const closed = await weights.load(RANGE);
  await weights.close();
  for (const result of [outage, closed]) {
    assert.equal(!result.ok && result.err.kind, 'endpoint_failed');
  }
});
