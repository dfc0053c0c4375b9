/**
 * Time until a model whose only copy of a layer range was lost is fully
 * covered again, while a lost failure domain's other ranges need replicas.
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
const WIDTH = 6;
const LOADS_PER_SECOND = 4;
/** Duration of a load on the engine, after the weight store's answer. */
const LOAD_MS = 200;
const POLL_MS = 250;
const LOST_MS = 1_000;
const LIMIT_MS = 25_000;
const STEP_MS = 10;
const MS_PER_SECOND = 1_000;
const SEED = 1;

const TIMING: Partial<OrdersTiming> = {
  pollMs: POLL_MS,
  lostAfterMs: LOST_MS,
  loadsPerSecond: LOADS_PER_SECOND,
  writesPerSecond: 200,
};

interface Placed {
  readonly standIn: EngineStandIn;
  readonly endpoint: OrdersEndpoint;
}

type Planner = typeof planEngines;

/** Loads in the order of models, layers and endpoints, whatever is lacking. */
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

async function place(
  name: string,
  domain: string,
  held: {model: string; from: number; to: number},
): Promise<Placed> {
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

/** Two replicas of each range, but one of the last model's first range. */
async function placeAll(models: readonly ModelGrant[]): Promise<Placed[]> {
  const placed: Promise<Placed>[] = [];
  for (const {model} of models)
    for (let from = 0; from < LAYERS; from += WIDTH)
      for (const domain of ['a', 'b']) {
        const alone = model === models.at(-1)!.model && from === 0;
        if (alone && domain === 'a') continue;
        const held = {model, from, to: from + WIDTH};
        placed.push(place(`${domain}-${model}-${from}`, domain, held));
      }
  return Promise.all(placed);
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
  let placed = await placeAll(granted);
  let endpoints = placed.map(({endpoint}) => endpoint);
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
  // The holder needs to have read and claimed every engine.
  await sleep(2 * MS_PER_SECOND);
  const startMs = performance.now();
  const kept = placed.filter(({endpoint}) => endpoint.failureDomain === 'a');
  const lost = placed.filter(p => !kept.includes(p));
  await Promise.all(lost.map(({standIn}) => standIn.close()));
  const empty = await Promise.all(
    lost.map((_, at) => place(`new-${at}`, 'b', {model: '', from: 0, to: 0})),
  );
  placed = [...kept, ...empty];
  endpoints = placed.map(({endpoint}) => endpoint);
  const elapsed = () => performance.now() - startMs;
  /** Layers of a model that an engine serves. */
  const covered = async () => {
    const layers = new Set<number>();
    for (const {endpoint} of placed) {
      const status = await engines.status(endpoint.address, MS_PER_SECOND);
      if (!status.ok || status.value.model !== last) continue;
      const {from, to} = status.value.layers;
      for (let layer = from; layer < to; layer++) layers.add(layer);
    }
    return layers.size === LAYERS;
  };
  while (!(await covered()) && elapsed() < LIMIT_MS) await sleep(STEP_MS);
  const coveredMs = elapsed();
  const loading = () =>
    orders.status().pending > 0 || weightStandIn.counts.granted < lost.length;
  while (loading() && elapsed() < LIMIT_MS) await sleep(STEP_MS);
  const allMs = elapsed();
  await orders.close();
  await Promise.all(placed.map(({standIn}) => standIn.close()));
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
    // Without a wait of any kind, one load is needed.
    const bound = LOAD_MS;
    // The loss is noticed and confirmed by status reads, and another load may
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
