/** Orders to the engine stand-in, which set model, version, adapters, layers and role. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {freeSession} from './stage.js';
import {EngineRefusal, type Engine} from './state.js';

/** Body of `POST /engine/orders`. */
export interface OrderBody {
  readonly fence: number;
  readonly desired: {
    readonly model: string;
    readonly version: string;
    readonly layers: {readonly from: number; readonly to: number};
    readonly adapters: readonly string[];
    readonly role: string;
  };
}

const DEFAULT_RETRY_MS = 100;

/**
 * Brings the engine to the desired state. An engine with fencing refuses a
 * fence lower than the highest it has received. A change of model, version or
 * layers ends the sessions and takes `loadMs` in addition to the weight download.
 *
 * @example
 * await applyOrder(engine, {fence: 3, desired});
 */
export async function applyOrder(
  engine: Engine,
  {fence, desired}: OrderBody,
): Promise<void> {
  const {options, loaded} = engine;
  if (options.fencing && fence < engine.fence)
    throw new EngineRefusal('stale_fence', options.endpoint);
  engine.fence = Math.max(engine.fence, fence);
  const {model, version, adapters, role} = desired;
  const {from, to} = desired.layers;
  const reload =
    model !== loaded.model ||
    version !== loaded.version ||
    from !== loaded.from ||
    to !== loaded.to;
  if (reload) {
    engine.loading = true;
    for (const session of [...engine.sessions.values()])
      freeSession(engine, session);
    await download(engine, desired);
    const {signal} = engine.stopController;
    if (options.loadMs > 0) await sleep(options.loadMs, undefined, {signal});
    engine.loading = false;
  }
  engine.loaded = {model, version, adapters, from, to, role};
}

async function download(
  engine: Engine,
  desired: OrderBody['desired'],
): Promise<void> {
  const {weights} = engine.options;
  if (weights === '') return;
  const {model, version, layers} = desired;
  const path = `${model}/${version}/${layers.from}-${layers.to}`;
  while (!engine.stopped) {
    const res = await request(`http://${weights}/weights/${path}`, {
      dispatcher: engine.agent,
      signal: engine.stopController.signal,
    });
    await res.body.dump();
    if (res.statusCode === 200) return;
    const seconds = Number(res.headers['retry-after']);
    const waitMs = seconds > 0 ? seconds * 1000 : DEFAULT_RETRY_MS;
    await sleep(waitMs, undefined, {signal: engine.stopController.signal});
  }
}
