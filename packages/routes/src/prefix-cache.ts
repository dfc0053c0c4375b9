import type {CacheEvent} from '@chivewick/engines';

/** Blocks tracked per endpoint; 64 endpoints x 1024 blocks take about 4 MB. */
const MAX_BLOCKS = 1024;
/** Factor on the confidence after each gap, since evictions may be missing. */
const GAP_CONFIDENCE_FACTOR = 0.5;
/** Confidence in a block known only from requests that this host started. */
const PREDICTED_CONFIDENCE = 0.8;

/** Estimate of the blocks in the prefix cache of one endpoint. */
export interface PrefixCache {
  /** Start of the next request for events: the `next` of the last batch. */
  readonly cursor: number;
  /** Applies a batch of events; a gap in `seq` lowers the confidence. */
  apply(events: readonly CacheEvent[], next: number): void;
  /** Adds blocks that a request of this host will store in the cache. */
  predict(blocks: readonly string[]): void;
  /** Returns the expected number of leading blocks that are cached. */
  expectedHits(blocks: readonly string[]): number;
  /** Removes all blocks, as after a restart of the engine. */
  clear(): void;
}

/**
 * Creates the estimate for one endpoint. Events arrive late and with gaps, so each
 * block has a confidence in [0, 1] instead of a flag. `onChange` is called when a
 * block is added or removed.
 *
 * @example
 * const cache = createPrefixCache();
 * cache.predict(promptBlocks(prompt, scope));
 * const tokens = BLOCK_TOKENS * cache.expectedHits(blocks);
 */
export function createPrefixCache(
  onChange: (block: string, held: boolean) => void = () => {},
): PrefixCache {
  // Insertion order is order of use, so the first key is the least recently used.
  const held = new Map<string, {confidence: number; gaps: number}>();
  let cursor = 0;
  let lastSeq: number | undefined;
  let gaps = 0;

  function record(block: string, confidence: number): void {
    const existing = held.get(block);
    if (existing === undefined) onChange(block, true);
    else held.delete(block);
    const previous = existing === undefined ? 0 : currentConfidence(existing);
    held.set(block, {confidence: Math.max(confidence, previous), gaps});
    if (held.size <= MAX_BLOCKS) return;
    const [oldest] = held.keys();
    removeBlock(oldest);
  }

  function removeBlock(block: string): void {
    if (held.delete(block)) onChange(block, false);
  }

  function currentConfidence(entry: {
    confidence: number;
    gaps: number;
  }): number {
    return entry.confidence * GAP_CONFIDENCE_FACTOR ** (gaps - entry.gaps);
  }

  return {
    get cursor() {
      return cursor;
    },
    apply(events, next) {
      for (const {seq, kind, blocks} of events) {
        if (lastSeq !== undefined && seq > lastSeq + 1) gaps += 1;
        lastSeq = seq;
        for (const block of blocks)
          if (kind === 'stored') record(block, 1);
          else removeBlock(block);
      }
      cursor = next;
    },
    predict(blocks) {
      for (const block of blocks) record(block, PREDICTED_CONFIDENCE);
    },
    expectedHits(blocks) {
      let expected = 0;
      for (const block of blocks) {
        const entry = held.get(block);
        if (entry === undefined) break;
        expected += currentConfidence(entry);
      }
      return expected;
    },
    clear() {
      for (const block of [...held.keys()]) removeBlock(block);
      cursor = 0;
      lastSeq = undefined;
    },
  };
}
