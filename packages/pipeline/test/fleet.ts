import {setTimeout as sleep} from 'node:timers/promises';
import {
  createSilentLogger,
  fail,
  id,
  ok,
  type EndpointId,
  type ModelName,
  type RequestId,
  type WorkspaceGrant,
  type WorkspaceId,
  type PlanName,
} from '@chivewick/common';
import {createEngineApi, type EngineApi, type Route} from '@chivewick/engines';
import type {Observation} from '@chivewick/routes';
import {
  createEngineStandIn,
  expectedTokens,
  type EngineOptions,
  type EngineStandIn,
} from '@chivewick/stand-ins';
import {
  createPipeline,
  parseEventId,
  type PipelineEvent,
  type PipelineOptions,
  type PipelineRequest,
  type PipelineRoutes,
  type RecoveryLimits,
} from '../src/index.js';

const LAYERS = 6;
const STAGES = 3;

export const MODEL = {
  model: id<ModelName>('rota-draft'),
  version: 'v1',
  layers: LAYERS,
  adapters: ['formal'],
};

/**
 * Limits that are not reached on a slow machine, where a late answer may count as
 * a fault and use up a recovery. Separate tests cover the default limits.
 */
const LENIENT_LIMITS = {maxRecoveries: 1000, silenceMs: 60_000};

/** Disables stall detection, so that only the fault under test is detected. */
export const NO_STALLS = {minStallMs: 600_000, initialStallMs: 600_000};

/** Creates three stages with replicas, and a pipeline that uses them. */
export async function createFleet(
  options: {
    replicas?: number;
    engine?: Partial<EngineOptions>;
    pipeline?: Partial<PipelineOptions>;
  } = {},
) {
  const layersPerStage = LAYERS / STAGES;
  const replicas = options.replicas ?? 3;
  const engines: EngineStandIn[][] = [];
  for (let stage = 0; stage < STAGES; stage += 1) {
    const made = Array.from({length: replicas}, (_, replica) =>
      createEngineStandIn({
        endpoint: `s${stage}r${replica}`,
        from: stage * layersPerStage,
        to: (stage + 1) * layersPerStage,
        adapters: ['formal'],
        ...options.engine,
      }),
    );
    engines.push(await Promise.all(made));
  }
  const all = engines.flat();
  const observed: Observation[] = [];
  const down = new Set<EndpointId>();
  const routes: PipelineRoutes = {
    choose({exclude, prefer}) {
      const preferred = new Set(prefer?.map(stage => stage.endpoint));
      const route: Route[number][] = [];
      for (const [stage, group] of engines.entries()) {
        const free = group.filter(engine => {
          const endpoint = id<EndpointId>(engine.endpoint);
          return !exclude.has(endpoint) && !down.has(endpoint);
        });
        const pick =
          free.find(engine => preferred.has(id(engine.endpoint))) ?? free[0];
        if (pick === undefined) return fail('no_route', `stage ${stage}`);
        route.push({
          endpoint: id<EndpointId>(pick.endpoint),
          address: pick.address,
          from: stage * layersPerStage,
          to: (stage + 1) * layersPerStage,
        });
      }
      return ok(route);
    },
    observe: observation => void observed.push(observation),
    endpoints: () =>
      all.map(({endpoint, address}) => ({endpoint: id(endpoint), address})),
  };
  const api = createEngineApi({timeoutMs: 1000});
  const host = (
    limits: Partial<RecoveryLimits> = {},
    engines: Partial<EngineApi> = {},
  ) =>
    createPipeline({
      engines: {...api, ...engines},
      routes,
      log: createSilentLogger(),
      ...options.pipeline,
      limits: {...LENIENT_LIMITS, ...options.pipeline?.limits, ...limits},
    });
  return {
    engines,
    all,
    api,
    routes,
    observed,
    down,
    host,
    pipeline: host(),
    async close() {
      await api.close();
      await Promise.all(all.map(engine => engine.close()));
    },
  };
}

/** Started minus finished requests of each endpoint, without the zeros. */
export function unbalancedStarts(observed: readonly Observation[]): number[] {
  const open = new Map<EndpointId, number>();
  for (const observation of observed) {
    if (observation.kind !== 'started' && observation.kind !== 'finished')
      continue;
    const change = observation.kind === 'started' ? 1 : -1;
    open.set(
      observation.endpoint,
      (open.get(observation.endpoint) ?? 0) + change,
    );
  }
  return [...open.values()].filter(count => count !== 0);
}

export type Fleet = Awaited<ReturnType<typeof createFleet>>;

export function grantOf(workspace: string): WorkspaceGrant {
  return {
    workspace: id<WorkspaceId>(workspace),
    plan: id<PlanName>('parish'),
    models: new Map([[MODEL.model, MODEL]]),
    services: new Map(),
    priority: 1,
    concurrency: 8,
    tokensPerSecond: 400,
  };
}

let requests = 0;

export function makeRequest(
  fields: Partial<PipelineRequest> = {},
): PipelineRequest {
  requests += 1;
  return {
    id: id<RequestId>(`req-${requests}`),
    grant: grantOf('san-fermin'),
    model: MODEL,
    adapter: '',
    prompt: `draft the rota of week ${requests}`,
    maxTokens: 12,
    priority: 1,
    ...fields,
  };
}

/** Tokens that a run of the request generates without faults. */
export function undisturbedTokens(
  request: PipelineRequest,
  epochs?: readonly number[],
): number[] {
  const {adapter, prompt, maxTokens} = request;
  return expectedTokens({...MODEL, adapter, prompt, maxTokens, epochs});
}

/** Reads a stream to its end; `onToken` may inject faults between tokens. */
export async function collect(
  events: AsyncIterable<PipelineEvent>,
  onToken: (count: number) => void | Promise<void> = () => {},
) {
  const tokens: number[] = [];
  const positions: number[] = [];
  const epochs: number[] = [];
  let last: PipelineEvent | undefined;
  let lastId = '';
  for await (const event of events) {
    last = event;
    if (event.type !== 'token') continue;
    tokens.push(event.token);
    positions.push(event.position);
    epochs.push(parseEventId(event.id)!.epoch);
    lastId = event.id;
    await onToken(tokens.length);
  }
  return {tokens, positions, epochs, last, lastId};
}

/** Polls until a condition holds; the timeout of the test bounds the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}

/** A signal that never aborts. */
export const NEVER: AbortSignal = new AbortController().signal;
