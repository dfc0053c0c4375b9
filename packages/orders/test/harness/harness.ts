import {
  createRandom,
  createSilentLogger,
  id,
  type HostId,
  type ModelGrant,
} from '@chivewick/common';
import type {DesiredEngine} from '@chivewick/engines';
import {inspect, isDeepStrictEqual} from 'node:util';
import {install} from '@sinonjs/fake-timers';
import {
  createOrders,
  type DesiredValue,
  type LeaseValue,
  type Orders,
  type OrdersTiming,
} from '../../src/index.js';
import {
  createFakeEngines,
  type FakeEngine,
  type OnOrder,
} from './fake-engines.js';
import {createFakePlatform} from './fake-platform.js';
import {createGate, type Gate} from './gate.js';

export const TIMING: Partial<OrdersTiming> = {
  leaseMs: 2_000,
  renewMs: 500,
  leaseMarginMs: 200,
  pollMs: 500,
  statusTimeoutMs: 500,
  lostAfterMs: 1_500,
  orderRetryMs: 3_000,
  loadsPerSecond: 10,
};

export const MODEL = id<ModelGrant['model']>('rota-draft');

/** State of an engine that holds layers, by default of the test model. */
export function holding(
  from: number,
  to: number,
  version = 'v1',
  model: string = MODEL,
): DesiredEngine {
  return {
    model: id(model),
    version,
    layers: {from, to},
    adapters: [],
    role: 'serve',
  };
}

export function grant(
  version = 'v1',
  layers = 24,
  model: string = MODEL,
): ModelGrant {
  return {model: id(model), version, layers, adapters: []};
}

/**
 * Runs hosts with orders, fake engines and a fake platform in one process on a
 * fake clock. Records each violation of an invariant at the time it happens.
 */
export function createHarness(options: {hosts?: number; seed?: number} = {}) {
  const clock = install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
  });
  const random = createRandom(options.seed ?? 1);
  const violations: string[] = [];
  const platform = createFakePlatform(random, (key, value) => {
    if (key.startsWith('orders/desired/'))
      checkHolder('desired state', (value as DesiredValue).fence);
  });
  const fakes = createFakeEngines(random, checkOrder, checkSent);
  const engines = () => [...fakes.engines.values()];
  const hosts: {orders: Orders; gate: Gate; id: HostId}[] = [];
  const lists = {version: 1, models: [grant()]};
  const weights = {limited: false, granted: [] as string[]};

  const currentFence = () =>
    platform.get<LeaseValue>('orders/lease')!.value.fence;

  /** Nothing may be sent after another host has acquired the lease. */
  function checkHolder(what: string, fence: number): void {
    const current = currentFence();
    if (fence < current)
      violations.push(`${what} ${fence} sent under ${current}`);
  }

  /** The desired state must be stored before the order is sent. */
  function checkSent(...[engine, desired, fence]: Parameters<OnOrder>): void {
    checkHolder('order', fence);
    const stored = desiredOf(engine);
    if (stored?.fence !== fence || !isDeepStrictEqual(stored.desired, desired))
      violations.push(`order ${fence} to ${engine.id} is not in the store`);
  }

  /**
   * The current lease holder must never move the last engine of granted layers.
   */
  function checkOrder(...[engine, desired, fence]: Parameters<OnOrder>): void {
    if (engine.leaving) violations.push(`order to leaving ${engine.id}`);
    const weightsOf = ({model, version, layers}: DesiredEngine) =>
      JSON.stringify([model, version, layers]);
    const same = weightsOf(engine.state) === weightsOf(desired);
    if (fence < currentFence() || same || !engine.up) return;
    const {layers} = engine.state;
    for (let layer = layers.from; layer < layers.to; layer++)
      if (
        serving(engine, layer) &&
        !engines().some(other => other !== engine && serving(other, layer))
      )
        return void violations.push(
          `last cover of layer ${layer} moved: ${engine.id} fence ${fence}`,
        );
  }

  function serving({up, loading, state, leaving}: FakeEngine, layer: number) {
    const model = lists.models.find(m => m.model === state.model);
    return (
      up &&
      !loading &&
      !leaving &&
      model?.version === state.version &&
      state.layers.from <= layer &&
      layer < state.layers.to
    );
  }

  function startHost(): void {
    const gate = createGate();
    const self = id<HostId>(`host-${hosts.length}`);
    const orders = createOrders({
      self,
      platform: platform.api(gate),
      engines: fakes.api(gate),
      weights: {
        async load({model, version, from, to}) {
          await gate.pass();
          if (weights.limited)
            return {
              ok: false,
              err: {
                kind: 'overloaded',
                message: 'rate limit',
                hint: '',
                ran: 'not_run',
                retryAfterMs: 2_000,
              },
            };
          weights.granted.push(`${model} ${version} ${from}-${to}`);
          return {ok: true, value: {bytes: 1}};
        },
      },
      endpoints: () =>
        engines().map(engine => ({
          id: engine.id,
          address: fakes.addressOf(engine),
          failureDomain: id(engine.domain),
          state: 'live' as const,
        })),
      lists: () => ({version: lists.version, models: [...lists.models]}),
      live: () => hosts.map(host => host.id),
      log: createSilentLogger(),
      random,
      timing: TIMING,
    });
    hosts.push({orders, gate, id: self});
  }

  const desiredOf = (engine: FakeEngine) =>
    platform.get<DesiredValue>(`orders/desired/${engine.id}`)?.value;
  return {
    platform,
    violations,
    hosts,
    lists,
    weights,
    engines,
    add: fakes.add,
    stop: fakes.stop,
    restart: fakes.restart,
    desiredOf,
    start(count: number) {
      for (let n = 0; n < count; n++) startHost();
    },
    run: (ms: number) => clock.tickAsync(ms),
    holder: () => hosts.find(({orders}) => orders.status().holding),
    /** Violations so far, uncovered layers, and engines not in desired state. */
    findProblems(): string[] {
      const problems = [...violations];
      for (const {model, layers} of lists.models)
        for (let layer = 0; layer < layers; layer++)
          if (
            !engines().some(e => e.state.model === model && serving(e, layer))
          )
            problems.push(`${model} layer ${layer} uncovered`);
      for (const engine of engines().filter(e => e.up && !e.leaving)) {
        const {state} = engine;
        const desired = desiredOf(engine)?.desired;
        if (!isDeepStrictEqual(state, desired))
          problems.push(`${engine.id}: ${inspect({state, desired})}`);
      }
      return problems;
    },
    async close() {
      for (const {gate} of hosts) gate.resume();
      platform.faults.outage = false;
      const closed = Promise.all(hosts.map(({orders}) => orders.close()));
      await clock.tickAsync(20_000);
      await closed;
      clock.uninstall();
    },
  };
}

export type Harness = ReturnType<typeof createHarness>;
