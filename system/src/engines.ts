/** Engine stand-ins of a cluster. */
import type {ProcessGroup, Running} from './processes.js';
import {readJson, postJson} from './http.js';

/** Model that the engines hold. */
export const MODEL = {name: 'rota-draft', version: 'v1', layers: 24};

/** Failure domains of the hosts and engines. */
export const DOMAINS = ['nav-a', 'nav-b', 'rio-a'];

/** Layer range, speed and failure domain of one engine. */
export interface EngineSpec {
  readonly from: number;
  readonly to: number;
  readonly accelerator: string;
  /** Cost of a decode step in microseconds per layer. */
  readonly decodeUs: number;
  /** Index into `DOMAINS`. */
  readonly domain: number;
}

/** Eight engines, none of which holds all layers of the model. */
export const ENGINES: readonly EngineSpec[] = [
  {from: 0, to: 8, accelerator: 'gpu-large', decodeUs: 400, domain: 0},
  {from: 8, to: 16, accelerator: 'gpu-large', decodeUs: 400, domain: 0},
  {from: 16, to: 24, accelerator: 'gpu-large', decodeUs: 400, domain: 1},
  {from: 0, to: 8, accelerator: 'gpu-small', decodeUs: 600, domain: 1},
  {from: 8, to: 16, accelerator: 'gpu-small', decodeUs: 600, domain: 2},
  {from: 16, to: 24, accelerator: 'gpu-small', decodeUs: 600, domain: 2},
  {from: 0, to: 12, accelerator: 'gpu-large', decodeUs: 450, domain: 2},
  {from: 12, to: 24, accelerator: 'gpu-large', decodeUs: 450, domain: 0},
];

/** A running engine stand-in. */
export interface Engine {
  readonly id: string;
  readonly address: string;
  readonly spec: EngineSpec;
  readonly running: Running;
  /** Number of sessions in progress; 0 if the engine does not respond. */
  sessions(): Promise<number>;
  /** Sets faults of the stand-in. */
  setFaults(faults: object): Promise<void>;
}

/**
 * Starts one engine stand-in as a process.
 *
 * @example
 * const engine = await startEngine(group, 'engine-1', ENGINES[0]);
 */
export async function startEngine(
  group: ProcessGroup,
  id: string,
  spec: EngineSpec,
): Promise<Engine> {
  const {domain, ...rest} = spec;
  const flags = {
    ...rest,
    endpoint: id,
    model: MODEL.name,
    version: MODEL.version,
    adapters: 'formal',
    prefillUs: 20,
    failureDomain: DOMAINS[domain],
  };
  const args = Object.entries(flags).flatMap(([k, v]) => [`--${k}`, String(v)]);
  const {running, address} = await group.startStandIn(id, 'engine', args);
  return {
    id,
    address,
    spec,
    running,
    async sessions() {
      const status = await readJson<{load: {running: number}}>(
        `http://${address}/engine/status`,
      );
      return status?.load.running ?? 0;
    },
    setFaults: faults => postJson(`http://${address}/faults`, faults),
  };
}

/**
 * Returns the live engines that have a session in progress, ordered by layer.
 *
 * @example
 * const [head] = await busyEngines(cluster.engines);
 */
export async function busyEngines(
  engines: readonly Engine[],
): Promise<Engine[]> {
  const live = engines.filter(({running}) => running.alive());
  const counts = await Promise.all(live.map(engine => engine.sessions()));
  return live
    .filter((_, at) => counts[at] > 0)
    .sort((a, b) => a.spec.from - b.spec.from);
}
