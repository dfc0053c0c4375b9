import {id, PREFIX_BLOCK_TOKENS, type ModelName} from '@chivewick/common';
import type {CacheEvent, EngineStatus} from '@chivewick/engines';
import {promptBlocks} from '@chivewick/routes';
import type {EventQueue} from './routes-event-queue.js';
import {
  BATCH,
  batchFactor,
  CACHE_BLOCKS,
  domainName,
  kvTokens,
  PREFILL_FRACTION,
  type Machine,
} from './routes-model.js';

export const MODEL = id<ModelName>('rota-draft');
export const VERSION = 'v1';
/**
 * Newest cache events that are kept; a reader that needs older ones has a gap.
 */
const MAX_EVENTS = 200;

/** One token of one session at one stage. */
export interface Item {
  readonly layers: number;
  /** Prompt to prefill with the first token; undefined for later tokens. */
  readonly prompt?: string;
  readonly done: () => void;
}

/** A simulated engine: continuous batching, bounded KV cache, prefix cache. */
export interface Engine {
  readonly machine: Machine;
  /** Requests KV cache for `tokens`; `reserved` runs once it is reserved. */
  reserveKv(tokens: number, reserved: () => void): void;
  releaseKv(tokens: number): void;
  add(item: Item): void;
  /**
   * Sets the factor on the duration of steps, to simulate a degraded engine.
   */
  setSlowness(factor: number): void;
  /** Updates the load that `status` reports until the next call. */
  snapshot(): void;
  status(): EngineStatus;
  events(after: number): {events: CacheEvent[]; next: number};
}

/** Creates an idle engine with an empty cache. */
export function createEngine(machine: Machine, queue: EventQueue): Engine {
  const waiting: {tokens: number; reserved: () => void}[] = [];
  const kvTotal = kvTokens(machine);
  let kvFree = kvTotal;
  let ready: Item[] = [];
  const cache = new Set<string>();
  const log: CacheEvent[] = [];
  let seq = 0;
  let running = 0;
  let busy = false;
  let slowness = 1;
  let snapshot = {atMs: 0, running: 0, queued: 0, kvFree};

  function step(): void {
    if (busy || ready.length === 0) return;
    busy = true;
    const batch = ready.slice(0, BATCH);
    ready = ready.slice(BATCH);
    let units = 0;
    let layers = 0;
    for (const item of batch) {
      layers += item.layers;
      if (item.prompt !== undefined)
        units += item.layers * prefill(item.prompt) * PREFILL_FRACTION;
    }
    units += (layers / batch.length) * batchFactor(batch.length);
    queue.after((units * machine.decodeUs * slowness) / 1000, () => {
      busy = false;
      for (const item of batch) item.done();
      step();
    });
  }

  function admit(): void {
    while (waiting.length > 0 && waiting[0].tokens <= kvFree) {
      const {tokens, reserved} = waiting.shift() as (typeof waiting)[0];
      kvFree -= tokens;
      running += 1;
      reserved();
    }
  }

  /**
   * Returns the tokens to compute and adds the blocks of the prompt to the
   * cache.
   */
  function prefill(prompt: string): number {
    const scope = {model: MODEL, version: VERSION, adapter: ''};
    const blocks = promptBlocks(prompt, scope);
    let hits = 0;
    while (hits < blocks.length && cache.has(blocks[hits])) hits += 1;
    for (const block of blocks) {
      cache.delete(block);
      cache.add(block);
    }
    record('stored', blocks.slice(hits));
    const evicted: string[] = [];
    for (const block of cache) {
      if (cache.size <= CACHE_BLOCKS) break;
      cache.delete(block);
      evicted.push(block);
    }
    record('evicted', evicted);
    return prompt.length - hits * PREFIX_BLOCK_TOKENS;
  }

  function record(kind: 'stored' | 'evicted', blocks: string[]): void {
    if (blocks.length === 0) return;
    log.push({seq: ++seq, kind, blocks});
    if (log.length > MAX_EVENTS) log.shift();
  }

  return {
    machine,
    reserveKv(tokens, reserved) {
      waiting.push({tokens, reserved});
      admit();
    },
    releaseKv(tokens) {
      kvFree += tokens;
      running -= 1;
      admit();
    },
    add(item) {
      ready.push(item);
      step();
    },
    setSlowness(factor) {
      slowness = factor;
    },
    snapshot() {
      const queued = waiting.length;
      snapshot = {atMs: queue.now(), running, queued, kvFree};
    },
    status: () => ({
      endpoint: machine.id,
      instance: machine.id,
      model: MODEL,
      version: VERSION,
      adapters: [],
      layers: {from: machine.from, to: machine.to},
      role: 'stage',
      accelerator: `${machine.decodeUs}`,
      failureDomain: domainName(machine.domain),
      state: 'live',
      fencing: true,
      load: {
        running: snapshot.running,
        queued: snapshot.queued,
        kvFree: snapshot.kvFree,
        kvTotal,
        ageMs: queue.now() - snapshot.atMs,
      },
      decodeUs: machine.decodeUs,
      prefillUs: machine.decodeUs * PREFILL_FRACTION,
    }),
    events: after => ({
      events: log.filter(event => event.seq > after),
      next: seq,
    }),
  };
}
