// Guards against store reads that grow with the number of hosts, and against a
// fleet without a lease holder after the last one has become unresponsive. Also guards
// against an engine that is back from a crash and is kept without layers, and against moves that cost more than they help.
import {
  createSilentLogger,
  id,
  ok,
  type EndpointId,
  type FailureDomain,
  type HostId,
  type ModelName,
  type ServiceName,
} from '@chivewick/common';
import {
  createEndpointTable,
  type EndpointRecord,
  type EndpointTable,
  type EngineControl,
  type EngineProfile,
  type RoutingConfig,
} from '@chivewick/gateway';
import type {ObjectStore} from '@chivewick/platform';
import FakeTimers from '@sinonjs/fake-timers';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {startPlacementController} from '../src/placement-controller.js';

let clock: ReturnType<typeof FakeTimers.install>;
beforeEach(() => void (clock = FakeTimers.install()));
afterEach(() => clock.uninstall());

/** What the controller does not use in a test is left out. */
interface Parts {
  readonly mayContend?: boolean;
  readonly table?: EndpointTable;
  readonly control?: Partial<EngineControl>;
  readonly config?: RoutingConfig;
}

function startController(
  sinceHolderSeenMs: () => number,
  {mayContend = true, table, control, config}: Parts = {},
) {
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
  const controller = startPlacementController({
    host: id<HostId>('a'),
    store,
    control: (control ?? {}) as EngineControl,
    table: table ?? ({} as EndpointTable),
    config: () => config,
    sinceHolderSeenMs,
    mayContend: () => mayContend,
    log: createSilentLogger(),
    signal: closing.signal,
    randomFraction: () => 0.5,
  });
  return {controller, reads: () => reads, close: () => closing.abort()};
}

test('placement: the store is not read while the holder sends messages', async () => {
  const {controller, reads, close} = startController(() => 800);
  await clock.tickAsync(60_000);
  assert.equal(reads(), 0);
  assert.equal(controller.fence(), undefined);
  close();
});

test('placement: the lease of an unresponsive holder is acquired', async () => {
  const {controller, close} = startController(() => performance.now());
  await clock.tickAsync(20_000);
  assert.equal(controller.fence(), 5);
  close();
});

test('placement: hosts that coordinate no failure domain do not read the lease', async () => {
  const {controller, reads, close} = startController(() => Infinity, {
    mayContend: false,
  });
  await clock.tickAsync(60_000);
  assert.equal(reads(), 0);
  assert.equal(controller.fence(), undefined);
  close();
});

const SERVICE = id<ServiceName>('model');
const PROFILE: EngineProfile = {
  model: id<ModelName>('m'),
  loadS: 14,
  loadsAtOnce: 5,
  layers: 80,
  layerMb: 1_000,
  stepMs: 1,
  perSequenceMs: 0.01,
  contextMsPerThousand: 0,
  prefillTokensPerS: 100_000,
  tokenBytes: 1_000_000,
  activationBytes: 1_000,
  linkMbps: 1_000,
  pipeMbps: 1_000,
  slots: 100,
  typicalPromptTokens: 700,
  typicalOutputTokens: 200,
  kinds: new Map([['card', {memoryMb: 40_000, pace: 1, readFactor: 1}]]),
  delays: [],
};
const CONFIG: RoutingConfig = {
  version: 1,
  routes: [],
  services: new Map([
    [SERVICE, {name: SERVICE, healthPath: '/health', engine: PROFILE}],
  ]),
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

const engine = (
  name: string,
  address: string,
  from?: number,
): EndpointRecord => ({
  id: id<EndpointId>(name),
  service: SERVICE,
  address,
  failureDomain: id<FailureDomain>('a'),
  slots: 100,
  state: 'ready',
  startedAtMs: 1,
  writes: 1,
  storeVersion: 1,
  accelerator: 'card',
  layers: from === undefined ? undefined : {from, to: from + 20},
});

/** A controller that soon holds the lease, and three engines for each quarter. */
async function startPlacing() {
  const table = createEndpointTable(createSilentLogger(), () => 2_000);
  for (const name of ['a', 'b', 'c'])
    for (const from of [0, 20, 40, 60])
      table.upsert(engine(`${name}${from}`, `${name}:${from}`, from));
  const ordered: string[] = [];
  const {close} = startController(() => performance.now(), {
    table,
    config: CONFIG,
    control: {
      report: () => Promise.resolve({orderCount: 0, slowness: 1, stalled: []}),
      place({id: endpoint}) {
        ordered.push(endpoint);
        return Promise.resolve({kind: 'accepted'});
      },
    },
  });
  await clock.tickAsync(20_000);
  return {table, ordered, close};
}

test('placement: an engine that is back from a crash gets layers at once, a new one may replace another', async () => {
  const {table, ordered, close} = await startPlacing();
  table.remove(id<EndpointId>('a0'), 2);
  table.upsert(engine('back', 'a:0'));
  table.upsert(engine('new', 'd:0'));
  await clock.tickAsync(1_000);
  assert.deepEqual(ordered, ['back']);
  await clock.tickAsync(2_000);
  assert.deepEqual(ordered, ['back', 'new']);
  close();
});

test('placement: no engine moves while crashed ones may be back sooner', async () => {
  const {table, ordered, close} = await startPlacing();
  for (const name of ['a0', 'b0']) table.remove(id<EndpointId>(name), 2);
  await clock.tickAsync(3_500);
  assert.deepEqual(ordered, []);
  await clock.tickAsync(1_500);
  assert.equal(ordered.length, 1);
  close();
});
