/** Model engine stand-in with the HTTP protocol of the design page, section 4.2. */
import {randomUUID} from 'node:crypto';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Agent} from 'undici';
import {createRandom} from '@chivewick/common';
import {LOOPBACK_HOST} from '../common/loopback.js';
import {NO_FAULTS, type EngineFaults} from './faults.js';
import {createEngineApp, setFaults} from './http.js';
import {createPrefixCache} from './prefix-cache.js';
import {freeSession} from './stage.js';
import {recordLoad, type Engine, type EngineOptions} from './state.js';

/** A running engine stand-in. */
export interface EngineStandIn {
  /** `ip:port`. */
  readonly address: string;
  readonly endpoint: string;
  /** Sets faults without HTTP. */
  setFaults(faults: Partial<EngineFaults>): void;
  faults(): Readonly<EngineFaults>;
  /** Ids of the sessions that the engine holds. */
  sessions(): string[];
  /** Number of layer computations so far; each is one layer at one position. */
  computed(): number;
  /** Number of steps started so far. */
  steps(): number;
  /** Resets all connections and drops all sessions. */
  crash(): void;
  /** Starts again at the same address after a crash. */
  restart(): Promise<void>;
  close(): Promise<void>;
}

const DEFAULTS: EngineOptions = {
  endpoint: 'engine',
  model: 'rota-draft',
  version: 'v1',
  adapters: [],
  from: 0,
  to: 24,
  role: 'serve',
  accelerator: 'a',
  failureDomain: 'a',
  decodeUs: 100,
  prefillUs: 5,
  maxBatch: 16,
  kvTotal: 65_536,
  cacheTokens: 16_384,
  fencing: true,
  sampleByEpoch: false,
  loadMs: 0,
  weights: '',
  graceMs: 15_000,
  port: 0,
  seed: 1,
};

const SWEEP_INTERVAL_MS = 1000;

/**
 * Starts an engine on loopback. The crash fault calls `onCrash`, so that an engine
 * in its own process can exit.
 *
 * @example
 * const engine = await createEngineStandIn({endpoint: 'e1', from: 0, to: 8});
 * engine.setFaults({freeze: true});
 * await engine.close();
 */
export async function createEngineStandIn(
  options: Partial<EngineOptions> & {onCrash?: () => void} = {},
): Promise<EngineStandIn> {
  const {onCrash, ...overrides} = options;
  const engine = createState({...DEFAULTS, ...overrides});
  let server = await listen(engine, engine.options.port);
  const {port} = server.address() as AddressInfo;
  const sweeper = setInterval(() => sweep(engine), SWEEP_INTERVAL_MS).unref();
  const stop = () => {
    engine.stopped = true;
    engine.stopController.abort();
    for (const resume of engine.freezeWaiters.splice(0)) resume();
    for (const session of engine.sessions.values()) {
      clearTimeout(session.head?.graceTimer);
      session.head?.abort.abort();
    }
    engine.sessions.clear();
    server.close();
    server.closeAllConnections();
  };
  engine.crash = () => {
    onCrash?.();
    stop();
  };
  return {
    address: `${LOOPBACK_HOST}:${port}`,
    endpoint: engine.options.endpoint,
    setFaults: faults => setFaults(engine, faults),
    faults: () => engine.faults,
    sessions: () => [...engine.sessions.keys()],
    computed: () => engine.computed,
    steps: () => engine.steps,
    crash: () => engine.crash(),
    async restart() {
      Object.assign(engine.faults, {crash: false, freeze: false});
      engine.instance = randomUUID();
      engine.stopController = new AbortController();
      engine.cache = createPrefixCache(
        engine.options.cacheTokens,
        engine.faults,
      );
      engine.stopped = false;
      server = await listen(engine, port);
    },
    async close() {
      clearInterval(sweeper);
      stop();
      await engine.agent.destroy();
    },
  };
}

function createState(options: EngineOptions): Engine {
  const faults = {...NO_FAULTS};
  const {model, version, adapters, from, to, role} = options;
  return {
    options,
    faults,
    loaded: {model, version, adapters, from, to, role},
    loading: false,
    fence: 0,
    instance: randomUUID(),
    stopped: false,
    stopController: new AbortController(),
    sessions: new Map(),
    cache: createPrefixCache(options.cacheTokens, faults),
    agent: new Agent({headersTimeout: 0, bodyTimeout: 0}),
    random: createRandom(options.seed),
    running: 0,
    queue: [],
    loads: [],
    freezeWaiters: [],
    steps: 0,
    computed: 0,
    crash: () => {},
  };
}

async function listen(engine: Engine, port: number): Promise<Server> {
  const app = createEngineApp(engine);
  const handler = app.handler.bind(app) as unknown as RequestListener;
  const server = createServer(handler);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK_HOST, resolve);
  });
  return server;
}

/**
 * Frees the sessions of a later stage whose head did not use them within the grace
 * period, for example after a crash of the head.
 */
function sweep(engine: Engine): void {
  const minLastUsedMs = performance.now() - engine.options.graceMs;
  for (const session of [...engine.sessions.values()])
    if (session.head === undefined && session.lastUsedMs < minLastUsedMs)
      freeSession(engine, session);
  recordLoad(engine);
}
