/** State shared by the modules of the engine stand-in. */
import type {Agent} from 'undici';
import type {Random} from '@chivewick/common';
import type {EngineFaults} from './faults.js';
import type {Kv} from './kv.js';
import type {PrefixCache} from './prefix-cache.js';

/** Settings of one engine; costs are in microseconds per layer. */
export interface EngineOptions {
  readonly endpoint: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly from: number;
  readonly to: number;
  readonly role: string;
  readonly accelerator: string;
  readonly failureDomain: string;
  /** Cost of a decode step, in microseconds per layer. */
  readonly decodeUs: number;
  /** Cost of a prefill token, in microseconds per layer. */
  readonly prefillUs: number;
  /** Maximum number of concurrent steps; further steps queue by priority. */
  readonly maxBatch: number;
  /** KV capacity, in tokens. */
  readonly kvTotal: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly cacheTokens: number;
  /** Whether orders with a fence lower than the highest received are refused. */
  readonly fencing: boolean;
  /** Whether each epoch samples different tokens, as with random sampling. */
  readonly sampleByEpoch: boolean;
  /** Duration of an order that changes model, version or layers, in milliseconds;
   * the weight download is not included. */
  readonly loadMs: number;
  /** `ip:port` of the weight store that orders load from; empty for none. */
  readonly weights: string;
  /** Time for which a session without a reader or messages is kept, in
   * milliseconds. */
  readonly graceMs: number;
  readonly port: number;
  readonly seed: number;
}

/** One stage of a route: its endpoint, `ip:port` and layers `[from, to)`. */
export interface StageAddress {
  readonly endpoint: string;
  readonly address: string;
  readonly from: number;
  readonly to: number;
}

/** Body of `POST /engine/sessions`. */
export interface OpenRequest {
  readonly session: string;
  readonly epoch: number;
  readonly workspace: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly priority: number;
  readonly prompt: string;
  readonly generated: readonly number[];
  readonly maxTokens: number;
  readonly route: readonly StageAddress[];
}

/** State of a session that only its first stage has, in addition to the KV. */
export interface Head {
  readonly req: OpenRequest;
  /** Prompt tokens, then generated tokens. */
  readonly log: number[];
  readonly promptCount: number;
  outcome?: {reason: 'length'} | {kind: string; endpoint?: string};
  /** Identity of the stream that currently reads the log. */
  reader?: symbol;
  /** Wakes the reader. */
  wake: () => void;
  readonly abort: AbortController;
  graceTimer?: NodeJS.Timeout;
}

/** Session on one stage. */
export interface Session {
  readonly id: string;
  readonly workspace: string;
  epoch: number;
  /** Id of the run of the head that owns this epoch. */
  driver: string;
  priority: number;
  from: number;
  to: number;
  kv: Kv;
  position: number;
  head?: Head;
  /** Cost of steps that has not been waited for yet, in microseconds; negative if a
   * timer fired late. */
  pendingUs: number;
  lastUsedMs: number;
}

interface LoadPoint {
  atMs: number;
  running: number;
  queued: number;
  kvFree: number;
}

/** Mutable state of an engine. */
export interface Engine {
  readonly options: EngineOptions;
  readonly faults: EngineFaults;
  /** Set by the options or the last order. */
  loaded: {
    model: string;
    version: string;
    adapters: readonly string[];
    from: number;
    to: number;
    role: string;
  };
  loading: boolean;
  fence: number;
  instance: string;
  stopped: boolean;
  /** Aborted when the engine stops. */
  stopController: AbortController;
  readonly sessions: Map<string, Session>;
  cache: PrefixCache;
  readonly agent: Agent;
  readonly random: Random;
  running: number;
  readonly queue: Array<{priority: number; start: () => void}>;
  readonly loads: LoadPoint[];
  /** Resume the work that a freeze suspended. */
  readonly freezeWaiters: Array<() => void>;
  steps: number;
  /** Number of layer computations, for tests of recomputation. */
  computed: number;
  crash: () => void;
}

/** Refusal of a request, sent as `{kind, endpoint}` with the status. */
export class EngineRefusal extends Error {
  constructor(
    readonly kind: string,
    readonly endpoint: string,
    readonly status = 409,
  ) {
    super(kind);
  }
}

/**
 * Returns the unused KV capacity, in tokens.
 *
 * @example
 * if (kvFree(engine) < prompt.length) refuse();
 */
export function kvFree(engine: Engine): number {
  let used = 0;
  for (const session of engine.sessions.values())
    used += session.kv.tokens.length;
  return engine.options.kvTotal - used;
}

/**
 * Records the current load, so that reports can lag by `reportLagMs`.
 *
 * @example
 * recordLoad(engine);
 */
export function recordLoad(engine: Engine): void {
  const atMs = performance.now();
  engine.loads.push({
    atMs,
    running: engine.running,
    queued: engine.queue.length,
    kvFree: kvFree(engine),
  });
  const visibleUntilMs = atMs - engine.faults.reportLagMs;
  while (engine.loads.length > 1 && engine.loads[1].atMs <= visibleUntilMs)
    engine.loads.shift();
}

/**
 * Returns the load that the engine reports, which is `reportLagMs` old.
 *
 * @example
 * const {running} = reportedLoad(engine);
 */
export function reportedLoad(engine: Engine) {
  if (engine.faults.reportLagMs === 0) recordLoad(engine);
  const visibleUntilMs = performance.now() - engine.faults.reportLagMs;
  const point =
    engine.loads.findLast(load => load.atMs <= visibleUntilMs) ??
    engine.loads[0];
  return {
    running: point?.running ?? 0,
    queued: point?.queued ?? 0,
    kvFree: point?.kvFree ?? engine.options.kvTotal,
    kvTotal: engine.options.kvTotal,
    ageMs: engine.faults.reportLagMs,
  };
}

/**
 * Waits while the engine is frozen; throws an `EngineRefusal` if it has stopped.
 *
 * @example
 * await waitWhileFrozen(engine);
 */
export async function waitWhileFrozen(engine: Engine): Promise<void> {
  while (engine.faults.freeze && !engine.stopped)
    await new Promise<void>(resolve => engine.freezeWaiters.push(resolve));
  if (engine.stopped)
    throw new EngineRefusal('dead', engine.options.endpoint, 503);
}
