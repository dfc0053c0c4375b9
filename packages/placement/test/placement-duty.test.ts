// Guards against reads of the store that grow with the number of hosts, and
// against a fleet that nobody watches after its holder has fallen silent.
import {createSilentLogger, id, ok, type HostId} from '@chivewick/common';
import type {EndpointTable, EngineControl} from '@chivewick/gateway';
import type {ObjectStore} from '@chivewick/platform';
import FakeTimers from '@sinonjs/fake-timers';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {startPlacementDuty} from '../src/placement-duty.js';

let clock: ReturnType<typeof FakeTimers.install>;
beforeEach(() => void (clock = FakeTimers.install()));
afterEach(() => clock.uninstall());

function startDuty(holderHeardMs: () => number) {
  let reads = 0;
  const store: ObjectStore = {
    get() {
      reads += 1;
      return Promise.resolve(
        ok({
          key: 'orders/lease',
          version: 1,
          value: {holder: 'b', session: 's', writeId: 'w', fence: 4, lists: 0},
        }),
      );
    },
    list: () => Promise.resolve(ok([])),
    put: () => Promise.resolve({kind: 'written', version: 2}),
  };
  const closing = new AbortController();
  const duty = startPlacementDuty({
    host: id<HostId>('a'),
    store,
    control: {} as EngineControl,
    table: {} as EndpointTable,
    config: () => undefined,
    holderHeardMs,
    log: createSilentLogger(),
    signal: closing.signal,
    draw: () => 0.5,
  });
  return {duty, reads: () => reads, close: () => closing.abort()};
}

test('placement: while the holder is heard the store is not asked', async () => {
  const {duty, reads, close} = startDuty(() => 800);
  await clock.tickAsync(60_000);
  assert.equal(reads(), 0);
  assert.equal(duty.fence(), undefined);
  close();
});

test('placement: after the holder has fallen silent its lease is taken', async () => {
  const {duty, close} = startDuty(() => performance.now());
  await clock.tickAsync(20_000);
  assert.equal(duty.fence(), 5);
  close();
});
