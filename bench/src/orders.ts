/**
 * Measures the time until a model that lost the only copy of a layer range is
 * fully covered again, while the other ranges of the lost failure domain also
 * need replicas.
 */
import {
  createRandom,
  createSilentLogger,
  id,
  type ModelGrant,
} from '@chivewick/common';
import {createEngineApi} from '@chivewick/engines';
import {
  createOrders,
  planEngines,
  type OrdersEndpoint,
  type OrdersTiming,
  type Plan,
} from '@chivewick/orders';
import {createObjectApi} from '@chivewick/platform';
import {
  createEngineStandIn,
  createObjectApiStandIn,
  createWeightStoreStandIn,
  type EngineStandIn,
} from '@chivewick/stand-ins';
import {createWeightStore} from '@chivewick/weight-store';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Bench} from './bench.js';

const LAYERS = 24;
const RANGE_LAYERS = 6;
const LOADS_PER_SECOND = 4;
/** Duration of a load on the engine, after the response of the weight store. */
const LOAD_MS = 200;
const POLL_MS = 250;
const LOST_AFTER_MS = 1_000;
const TIMEOUT_MS = 25_000;
const STEP_MS = 10;
const MS_PER_SECOND = 1_000;
const SEED = 1;

const TIMING: Partial<OrdersTiming> = {
  pollMs: POLL_MS,
  lostAfterMs: LOST_AFTER_MS,
  loadsPerSecond: LOADS_PER_SECOND,
  writesPerSecond: 200,
};

interface StartedEngine {
  readonly standIn: EngineStandIn;
  readonly endpoint: OrdersEndpoint;
}

type Planner = typeof planEngines;

/**
 * Loads in the order of models, layers and endpoints, regardless of which
 * layers are missing.
 */
const inListOrder: Planner = (models, engines): Plan => {
  const plan = planEngines(models, engines);
  const position = new Map(models.map(({model}, at) => [model, at]));
  const rows = [...plan.targets].sort(
    ([a, {desired: x}], [b, {desired: y}]) =>
      position.get(x.model)! - position.get(y.model)! ||
      x.layers.from - y.layers.from ||
      (a < b ? -1 : 1),
  );
  const targets = rows.map(
    ([endpoint, target], rank) => [endpoint, {...target, rank}] as const,
  );
  return {...plan, targets: new Map(targets)};
};

const POLICIES: Record<string, Planner> = {
  need: planEngines,
  'list-order': inListOrder,
};

async function startEngine(
  name: string,
  domain: string,
  held: {model: string; from: number; to: number},
): Promise<StartedEngine> {
  const standIn = await createEngineStandIn({
    ...held,
    endpoint: name,
    version: held.model === '' ? '' : 'v1',
    failureDomain: domain,
    loadMs: LOAD_MS,
  });
  const endpoint: OrdersEndpoint = {
    id: id(name),
    address: standIn.address,
    failureDomain: id(domain),
    state: 'live',
  };
  return {standIn, endpoint};
}

function grants(models: number): ModelGrant[] {
  return Array.from({length: models}, (_, at) => ({
    model: id<ModelGrant['model']>(`model-${at}`),
    version: 'v1',
    layers: LAYERS,
    adapters: [],
  }));
}

/**
 * Starts two replicas of each range, but one of the first range of the last
 * model.
 */
async function startEngines(
  models: readonly ModelGrant[],
): Promise<StartedEngine[]> {
  const started: Promise<StartedEngine>[] = [];
  for (const {model} of models)
    for (let from = 0; from < LAYERS; from += RANGE_LAYERS)
      for (const domain of ['a', 'b']) {
        const alone = model === models.at(-1)!.model && from === 0;
        if (alone && domain === 'a') continue;
        const held = {model, from, to: from + RANGE_LAYERS};
        started.push(startEngine(`${domain}-${model}-${from}`, domain, held));
      }
  return Promise.all(started);
}

interface Outcome {
  readonly coveredMs: number;
  readonly allMs: number;
  readonly refused: number;
  readonly loads: number;
}

async function measure(models: number, plan: Planner): Promise<Outcome> {
  const granted = grants(models);
  const last = granted.at(-1)!.model;
  const store = await createObjectApiStandIn({});
  const weightStandIn = await createWeightStoreStandIn({
    loadsPerSecond: LOADS_PER_SECOND,
  });
  const engines = createEngineApi();
  const platform = createObjectApi({address: store.address});
  const weights = createWeightStore({address: weightStandIn.address});
  let started = await startEngines(granted);
  let endpoints = started.map(({endpoint}) => endpoint);
  const orders = createOrders({
    self: id('host-1'),
    platform,
    engines,
    weights,
    endpoints: () => endpoints,
    lists: () => ({version: 1, models: granted}),
    live: () => [id('host-1')],
    log: createSilentLogger(),
    random: createRandom(SEED),
    timing: TIMING,
    plan,
  });
  // The lease holder must have read the status of every engine and claimed it.
  await sleep(2 * MS_PER_SECOND);
  const startMs = performance.now();
  const kept = started.filter(({endpoint}) => endpoint.failureDomain === 'a');
  const lost = started.filter(p => !kept.includes(p));
  await Promise.all(lost.map(({standIn}) => standIn.close()));
  const empty = await Promise.all(
    lost.map((_, at) =>
      startEngine(`new-${at}`, 'b', {model: '', from: 0, to: 0}),
    ),
  );
  started = [...kept, ...empty];
  endpoints = started.map(({endpoint}) => endpoint);
  const elapsed = () => performance.now() - startMs;
  /** Whether engines serve all layers of the last model. */
  const isCovered = async () => {
    const layers = new Set<number>();
    for (const {endpoint} of started) {
      const status = await engines.status(endpoint.address, MS_PER_SECOND);
      if (!status.ok || status.value.model !== last) continue;
      const {from, to} = status.value.layers;
      for (let layer = from; layer < to; layer++) layers.add(layer);
    }
    return layers.size === LAYERS;
  };
  while (!(await isCovered()) && elapsed() < TIMEOUT_MS) await sleep(STEP_MS);
  const coveredMs = elapsed();
  const loading = () =>
    orders.status().pending > 0 || weightStandIn.counts.granted < lost.length;
  while (loading() && elapsed() < TIMEOUT_MS) await sleep(STEP_MS);
  const allMs = elapsed();
  await orders.close();
  await Promise.all(started.map(({standIn}) => standIn.close()));
  await Promise.all([engines.close(), platform.close(), weights.close()]);
  await Promise.all([store.close(), weightStandIn.close()]);
  const {granted: loads, refused} = weightStandIn.counts;
  return {coveredMs, allMs, refused, loads};
}

export const bench: Bench = {
  name: 'orders',
  question:
    'How long until a model whose only copy of a range was lost is covered again, at 4 loads/s?',
  async run({small, emit}) {
    const models = small ? 2 : 6;
    // Without any waiting, one load is needed.
    const bound = LOAD_MS;
    // The loss is detected and confirmed by status reads, and another load may
    // have started just before.
    const target = 2 * POLL_MS + MS_PER_SECOND / LOADS_PER_SECOND + LOAD_MS;
    for (const [policy, plan] of Object.entries(POLICIES)) {
      const outcome = await measure(models, plan);
      const line = {seed: SEED, policy, size: models};
      emit({
        ...line,
        figure: Math.round(outcome.coveredMs),
        unit: 'ms until covered',
        bound,
        target,
        met: outcome.coveredMs <= target,
      });
      emit({
        ...line,
        figure: Math.round(outcome.allMs),
        unit: 'ms until every range has its replicas',
        bound: Math.round((outcome.loads / LOADS_PER_SECOND) * MS_PER_SECOND),
      });
      emit({...line, figure: outcome.loads, unit: 'loads'});
      emit({...line, figure: outcome.refused, unit: 'loads refused by limit'});
    }
  },
};
