/** A small fleet of engine stand-ins for the recovery bench. */
import {
  createSilentLogger,
  fail,
  id,
  ok,
  type EndpointId,
  type ModelName,
  type PlanName,
  type RequestId,
  type Result,
  type WorkspaceId,
} from '@chivewick/common';
import {createEngineApi, type Route, type Stage} from '@chivewick/engines';
import {
  createPipeline,
  type PipelineRequest,
  type PipelineRoutes,
} from '@chivewick/pipeline';
import {createEngineStandIn, type EngineStandIn} from '@chivewick/stand-ins';

export const STAGES = 3;
const REPLICAS = 2;
const LAYERS = 24;
export const STAGE_LAYERS = LAYERS / STAGES;
/** Cost of a layer in a decode step, in microseconds. */
export const DECODE_US = 500;
/** Cost of a layer for one prefilled token, in microseconds. */
export const PREFILL_US = 20;

const MODEL = {
  model: id<ModelName>('rota-draft'),
  version: 'v1',
  layers: LAYERS,
  adapters: [],
};

/** Engines, a pipeline and a way to choose routes explicitly. */
export interface BenchFleet {
  readonly engines: readonly (readonly EngineStandIn[])[];
  readonly api: ReturnType<typeof createEngineApi>;
  readonly pipeline: ReturnType<typeof createPipeline>;
  readonly routes: PipelineRoutes;
  /** The route whose stages use these replicas. */
  routeOf(replicas: readonly number[]): Route;
  /** Clears all faults and restarts killed engines. */
  repair(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts two engines for each of three stages, all on loopback.
 *
 * @example
 * const fleet = await createBenchFleet();
 */
export async function createBenchFleet(): Promise<BenchFleet> {
  const engines = await Promise.all(
    Array.from({length: STAGES}, (_, stage) =>
      Promise.all(
        Array.from({length: REPLICAS}, (_, replica) =>
          startEngine(stage, replica),
        ),
      ),
    ),
  );
  const api = createEngineApi();
  const stageOf = (stage: number, replica: number): Stage => ({
    endpoint: id<EndpointId>(engines[stage][replica].endpoint),
    address: engines[stage][replica].address,
    from: stage * STAGE_LAYERS,
    to: (stage + 1) * STAGE_LAYERS,
  });
  const routeOf = (replicas: readonly number[]) =>
    replicas.map((replica, stage) => stageOf(stage, replica));
  const routes = createRoutes(engines, routeOf);
  const startPipeline = () =>
    createPipeline({
      engines: api,
      routes,
      log: createSilentLogger(),
    });
  return {
    engines,
    api,
    routes,
    pipeline: startPipeline(),
    routeOf,
    async repair() {
      for (const engine of engines.flat()) {
        if (engine.faults().crash) await engine.restart();
        engine.setFaults({freeze: false, linkDelayMs: 0, leaving: false});
      }
    },
    async close() {
      await api.close();
      await Promise.all(engines.flat().map(engine => engine.close()));
    },
  };
}

function startEngine(stage: number, replica: number): Promise<EngineStandIn> {
  return createEngineStandIn({
    endpoint: `s${stage}r${replica}`,
    from: stage * STAGE_LAYERS,
    to: (stage + 1) * STAGE_LAYERS,
    decodeUs: DECODE_US,
    prefillUs: PREFILL_US,
    // No prefix cache, so that every request pays for its own prefill.
    cacheTokens: 0,
  });
}

function createRoutes(
  engines: readonly (readonly EngineStandIn[])[],
  routeOf: (replicas: readonly number[]) => Route,
): PipelineRoutes {
  return {
    choose({exclude, prefer}): Result<Route> {
      const preferred = new Set<string>(prefer?.map(stage => stage.endpoint));
      const replicas = engines.map(group => {
        const available = group.filter(
          ({endpoint}) => !exclude.has(id(endpoint)),
        );
        const match = available.find(({endpoint}) => preferred.has(endpoint));
        return group.indexOf(match ?? available[0]);
      });
      if (replicas.includes(-1)) return fail('no_route', 'no engine is left');
      return ok(routeOf(replicas));
    },
    observe: () => {},
    endpoints: () => [],
  };
}

let requests = 0;

/**
 * A request with a prompt of `promptBytes` bytes.
 *
 * @example
 * const request = benchRequest(512, 30);
 */
export function benchRequest(
  promptBytes: number,
  maxTokens: number,
): PipelineRequest {
  requests += 1;
  const number = `${requests} `;
  return {
    id: id<RequestId>(`bench-${requests}`),
    grant: {
      workspace: id<WorkspaceId>('bench'),
      plan: id<PlanName>('bench'),
      models: new Map([[MODEL.model, MODEL]]),
      services: new Map(),
      priority: 1,
      concurrency: 1,
      tokensPerSecond: 1,
    },
    model: MODEL,
    adapter: '',
    prompt: number.padEnd(promptBytes, 'x'),
    maxTokens,
    priority: 1,
  };
}
