/** Prefix cache of the engine stand-in, whose events can be delayed or lost. */
import {PREFIX_BLOCK_TOKENS, prefixBlocks} from '@chivewick/common';
import {heldPositions, type Kv} from './kv.js';
import type {ModelChoice} from './model.js';
import type {EngineFaults} from './faults.js';

/** Tokens of one cache block. */
export const BLOCK_TOKENS = PREFIX_BLOCK_TOKENS;

/**
 * Returns the ids of the full blocks at the start of a token sequence. An id also
 * depends on all tokens before its block.
 *
 * @example
 * const ids = blockIds({model: 'm', version: 'v1', adapter: ''}, tokens);
 */
export function blockIds(
  choice: ModelChoice,
  tokens: readonly number[],
): string[] {
  return prefixBlocks(String.fromCharCode(...tokens), choice);
}

interface PublishedEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  readonly blocks: string[];
  readonly atMs: number;
}

/** Cached blocks; the least recently used are evicted first. */
export interface PrefixCache {
  /** Copies the longest cached prefix into an empty session cache. */
  fill(kv: Kv, tokens: readonly number[], from: number, to: number): void;
  /** Stores the full blocks of a session. */
  store(kv: Kv, from: number, to: number): void;
  /** Events after a sequence number that are at least `eventLagMs` old. */
  events(after: number): {
    events: Array<Omit<PublishedEvent, 'atMs'>>;
    next: number;
  };
  /** Number of cached tokens. */
  tokens(): number;
}

const MAX_EVENTS = 1000;

/**
 * Creates a cache that holds at most `capacityTokens`.
 *
 * @example
 * const cache = createPrefixCache(4096, faults);
 */
export function createPrefixCache(
  capacityTokens: number,
  faults: EngineFaults,
): PrefixCache {
  const blocks = new Map<string, Map<number, number[]>>();
  const log: PublishedEvent[] = [];
  let seq = 0;

  const publish = (kind: 'stored' | 'evicted', ids: string[]) => {
    if (ids.length === 0) return;
    seq += 1;
    const lost = faults.eventGapEvery > 0 && seq % faults.eventGapEvery === 0;
    if (!lost) log.push({seq, kind, blocks: ids, atMs: performance.now()});
    if (log.length > MAX_EVENTS) log.shift();
  };

  const evict = () => {
    const evicted: string[] = [];
    for (const blockId of blocks.keys()) {
      if (blocks.size * BLOCK_TOKENS <= capacityTokens) break;
      blocks.delete(blockId);
      evicted.push(blockId);
    }
    publish('evicted', evicted);
  };

  return {
    fill(kv, tokens, from, to) {
      for (const [i, blockId] of blockIds(kv.choice, tokens).entries()) {
        const held = blocks.get(blockId);
        if (held === undefined) return;
        for (let layer = from; layer < to; layer += 1)
          if (!held.has(layer)) return;
        blocks.delete(blockId);
        blocks.set(blockId, held);
        const start = i * BLOCK_TOKENS;
        kv.tokens.push(...tokens.slice(start, start + BLOCK_TOKENS));
        for (let layer = from; layer < to; layer += 1) {
          const entries = kv.layers.get(layer) ?? [];
          entries.push(...held.get(layer)!);
          kv.layers.set(layer, entries);
        }
      }
    },
    store(kv, from, to) {
      const held = heldPositions(kv, from, to);
      const stored: string[] = [];
      const ids = blockIds(kv.choice, kv.tokens.slice(0, held));
      for (const [i, blockId] of ids.entries()) {
        const known = blocks.get(blockId);
        if (known === undefined) stored.push(blockId);
        const layers = known ?? new Map<number, number[]>();
        const start = i * BLOCK_TOKENS;
        for (let layer = from; layer < to; layer += 1)
          layers.set(
            layer,
            kv.layers.get(layer)!.slice(start, start + BLOCK_TOKENS),
          );
        blocks.delete(blockId);
        blocks.set(blockId, layers);
      }
      publish('stored', stored);
      evict();
    },
    events(after) {
      const visibleUntilMs = performance.now() - faults.eventLagMs;
      const visible = log.filter(
        e => e.seq > after && e.atMs <= visibleUntilMs,
      );
      const events = visible.map(({seq, kind, blocks}) => ({
        seq,
        kind,
        blocks,
      }));
      return {events, next: events.at(-1)?.seq ?? after};
    },
    tokens: () => blocks.size * BLOCK_TOKENS,
  };
}
