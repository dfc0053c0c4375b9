import {fail, id, ok, type EndpointId, type Random} from '@chivewick/common';
import type {DesiredEngine, EngineApi, EngineStatus} from '@chivewick/engines';
import {delay, type Gate} from './gate.js';

export interface FakeEngine {
  readonly id: EndpointId;
  readonly domain: string;
  readonly fencing: boolean;
  up: boolean;
  leaving: boolean;
  sessions: number;
  /** Additional duration of a status read. */
  statusMs: number;
  state: DesiredEngine;
  loading: boolean;
  /** Highest fencing number seen since the last start. */
  fence: number;
  instance: number;
  /** Number of orders that made it load weights. */
  loads: number;
  /** Number of orders refused for an old fencing number. */
  refused: number;
}

/** Called for an order before it takes effect. */
export type OnOrder = (
  engine: FakeEngine,
  desired: DesiredEngine,
  fence: number,
) => void;

const LOAD_MS = 700;
const TIMEOUT_MS = 500;
const ADDRESS_PORT = ':9000';

export const EMPTY_STATE: DesiredEngine = {
  model: id(''),
  version: '',
  layers: {from: 0, to: 0},
  adapters: [],
  role: 'serve',
};

/**
 * Creates in-memory engines on the test clock; an address contains the engine
 * ID.
 */
export function createFakeEngines(
  random: Random,
  onOrder: OnOrder,
  onSend: OnOrder,
) {
  const engines = new Map<string, FakeEngine>();
  const latency = () => delay(1 + random.int(4));
  const find = (address: string) => engines.get(address);

  function statusOf(engine: FakeEngine): EngineStatus {
    const {id: endpoint, state, sessions} = engine;
    return {
      ...structuredClone(state),
      endpoint,
      instance: String(engine.instance),
      accelerator: 'a',
      failureDomain: id(engine.domain),
      state: engine.leaving ? 'leaving' : 'live',
      fencing: engine.fencing,
      load: {
        running: sessions,
        queued: 0,
        kvFree: 100 - sessions,
        kvTotal: 100,
        ageMs: 0,
      },
      decodeUs: 100,
      prefillUs: 5,
    };
  }

  async function apply(engine: FakeEngine, desired: DesiredEngine) {
    const {instance, state} = engine;
    const same =
      JSON.stringify([state.model, state.version, state.layers]) ===
      JSON.stringify([desired.model, desired.version, desired.layers]);
    if (!same) {
      engine.loading = true;
      engine.loads++;
      await delay(LOAD_MS);
      if (engine.instance !== instance) return;
      engine.loading = false;
    }
    engine.state = structuredClone(desired);
  }

  const failUnreachable = async () => {
    await delay(TIMEOUT_MS);
    return fail('endpoint_failed', 'no answer');
  };
  return {
    engines,
    add(overrides: Pick<FakeEngine, 'domain' | 'state'> & Partial<FakeEngine>) {
      const engine: FakeEngine = {
        id: id(`e${engines.size}`),
        fencing: true,
        up: true,
        leaving: false,
        sessions: 0,
        statusMs: 0,
        loading: false,
        fence: 0,
        instance: engines.size * 1_000,
        loads: 0,
        refused: 0,
        ...overrides,
      };
      engines.set(engine.id + ADDRESS_PORT, engine);
      return engine;
    },
    addressOf: (engine: FakeEngine) => engine.id + ADDRESS_PORT,
    /** Stops the engine; `restart` starts it with nothing loaded. */
    stop: (engine: FakeEngine) =>
      Object.assign(engine, {up: false, loading: false, fence: 0}),
    restart: (engine: FakeEngine) =>
      Object.assign(engine, {
        up: true,
        state: EMPTY_STATE,
        instance: engine.instance + 1,
      }),
    api: (gate: Gate): Pick<EngineApi, 'status' | 'order'> => ({
      async status(address) {
        await gate.pass();
        await latency();
        const engine = find(address);
        if (engine === undefined || !engine.up) return failUnreachable();
        await delay(engine.statusMs);
        const status = statusOf(engine);
        await gate.pass();
        return ok(status);
      },
      async order(address, {fence, desired}) {
        const engine = find(address);
        if (engine !== undefined) onSend(engine, desired, fence);
        await gate.pass();
        await latency();
        if (engine === undefined || !engine.up) return failUnreachable();
        if (engine.fencing && fence < engine.fence) {
          engine.refused++;
          return fail('version_mismatch', 'stale fence');
        }
        onOrder(engine, desired, fence);
        engine.fence = Math.max(engine.fence, fence);
        await apply(engine, desired);
        await gate.pass();
        return engine.up ? ok(statusOf(engine)) : failUnreachable();
      },
    }),
  };
}
