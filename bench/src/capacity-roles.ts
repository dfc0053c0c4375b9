import {
  createRandom,
  id,
  ok,
  sha256,
  type EndpointId,
  type FailureDomain,
  type RequestId,
} from '@chivewick/common';
import {createEngineApi, type EngineApi} from '@chivewick/engines';
import {
  resolveGrants,
  type EntitlementsList,
  type PlansList,
} from '@chivewick/lists';
import {createPipeline} from '@chivewick/pipeline';
import {createRouteTable, type HostListEntry} from '@chivewick/routes';
import {createEngineStandIn} from '@chivewick/stand-ins';
import {setTimeout as sleep} from 'node:timers/promises';
import {cpuUs, heapOf} from './capacity-measure.js';
import {grantOf, log, SELF, type Measurement} from './capacity-support.js';

/** Measures streams that each wait for their second token. */
export async function measureStreams(size: number): Promise<Measurement> {
  const stop = new AbortController();
  const engines = {
    open: oneTokenThenStall,
    cancel: () => Promise.resolve(ok(undefined)),
  } as unknown as EngineApi;
  const stage = {endpoint: id<EndpointId>('e1'), address: 'x', from: 0, to: 24};
  const pipeline = createPipeline({
    engines,
    routes: {choose: () => ok([stage]), observe: () => {}, endpoints: () => []},
    log,
    limits: {minStallMs: 60_000, initialStallMs: 60_000, silenceMs: 120_000},
  });
  const {bytes, held} = await heapOf(async () => {
    const iterators = Array.from({length: size}, (_, at) =>
      pipeline
        .run(modelRequest(at), AbortSignal.any([stop.signal]))
        [Symbol.asyncIterator](),
    );
    await Promise.all(iterators.map(iterator => iterator.next()));
    return iterators;
  });
  stop.abort();
  await Promise.all(held.map(iterator => iterator.return?.()));
  await pipeline.close();
  return {heapBytes: bytes};
}

async function* oneTokenThenStall(
  req: {epoch: number; prompt: string},
  signal: AbortSignal,
) {
  const position = req.prompt.length;
  yield {type: 'token', epoch: req.epoch, position, token: 300, text: 'a '};
  await sleep(120_000, undefined, {signal}).catch(() => {});
}

function modelRequest(at: number) {
  const grant = grantOf(`workspace-${at % 10}`);
  const [model] = grant.models.values();
  return {
    id: id<RequestId>(`req_${at}`),
    grant,
    model,
    adapter: '',
    prompt: 'p'.repeat(400),
    maxTokens: 400,
    priority: 1,
  };
}

/** Measures one poll of every endpoint; the engine runs in the same process. */
export async function measureEndpoints(size: number): Promise<Measurement> {
  const engine = await createEngineStandIn({endpoint: 'e1', from: 0, to: 8});
  const api = createEngineApi();
  let polls = 0;
  let bytes = 0;
  const engines: EngineApi = {
    ...api,
    async status(address, timeoutMs) {
      const [engineAddress, name] = address.split('#');
      const status = await api.status(engineAddress, timeoutMs);
      polls += 1;
      if (!status.ok) return status;
      bytes += JSON.stringify(status.value).length;
      return ok({...status.value, endpoint: id<EndpointId>(name)});
    },
  };
  const entries = Array.from({length: size}, (_, at): HostListEntry => ({
    id: `e${at}`,
    kind: 'endpoint',
    address: `${engine.address}#e${at}`,
    failureDomain: id<FailureDomain>('d1'),
    state: 'live',
  }));
  const {bytes: heap, held: table} = await heapOf(async () => {
    const routes = createRouteTable({
      self: SELF,
      engines,
      random: createRandom(1),
      log,
      pollIntervalMs: 100,
    });
    routes.update(entries);
    await sleep(300);
    return routes;
  });
  polls = 0;
  bytes = 0;
  const us = await cpuUs(() => sleep(1_000).then(() => {}));
  const rounds = polls / size;
  await table.close();
  await engine.close();
  return {heapBytes: heap, cpuUs: us / rounds, wireBytes: bytes / rounds};
}

/** Measures resolving both lists, as a host does on each adoption. */
export async function measureLists(size: number): Promise<Measurement> {
  const {plans, entitlements} = listsOf(size);
  const runs = 50;
  const {bytes, held} = await heapOf(() =>
    Promise.resolve(
      Array.from({length: runs}, () => resolveGrants(plans, entitlements)),
    ),
  );
  const us = await cpuUs(() => {
    for (let run = 0; run < runs; run++) resolveGrants(plans, entitlements);
    return Promise.resolve();
  });
  const wireBytes = JSON.stringify({plans, entitlements}).length;
  return {heapBytes: bytes / held.length, cpuUs: us / runs, wireBytes};
}

function listsOf(size: number): {
  plans: PlansList;
  entitlements: EntitlementsList;
} {
  const workspaces = Object.fromEntries(
    Array.from({length: size}, (_, at) => [
      `workspace-${at}`,
      {plan: `plan-${at % 10}`, keys: [sha256(`a${at}`), sha256(`b${at}`)]},
    ]),
  );
  const models = Object.fromEntries(
    Array.from({length: 6}, (_, at) => [
      `model-${at}`,
      {version: 'v1', layers: 80, adapters: ['a', 'b']},
    ]),
  );
  const plan = {
    models: Object.keys(models),
    services: ['bookings'],
    priority: 1,
    concurrency: 8,
    tokensPerSecond: 400,
  };
  const names = Array.from({length: 10}, (_, at) => [`plan-${at}`, plan]);
  return {
    plans: {workspaces},
    entitlements: {
      models,
      services: {bookings: {repeatable: true, nonRepeatablePaths: ['/slots']}},
      plans: Object.fromEntries(names) as EntitlementsList['plans'],
    },
  };
}
