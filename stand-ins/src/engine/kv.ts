/** KV cache of one session on one engine. */
import {sha256} from '@chivewick/common';
import {embed, modelSeed, runLayer, type ModelChoice} from './model.js';

/** KV entries by layer and position, and the tokens that they were computed from. */
export interface Kv {
  readonly choice: ModelChoice;
  readonly seed: number;
  tokens: number[];
  readonly layers: Map<number, number[]>;
}

/**
 * Creates an empty cache.
 *
 * @example
 * const kv = createKv({model: 'm', version: 'v1', adapter: ''});
 */
export function createKv(choice: ModelChoice): Kv {
  return {choice, seed: modelSeed(choice), tokens: [], layers: new Map()};
}

/**
 * Returns the number of leading positions that all layers of `[from, to)` hold.
 *
 * @example
 * heldPositions(kv, 0, 8);
 */
export function heldPositions(kv: Kv, from: number, to: number): number {
  let held = kv.tokens.length;
  for (let layer = from; layer < to; layer += 1)
    held = Math.min(held, kv.layers.get(layer)?.length ?? 0);
  return held;
}

/**
 * Returns the digest of the first `count` tokens for a model, version and adapter.
 *
 * @example
 * tokensDigest(choice, [97, 98], 2);
 */
export function tokensDigest(
  choice: ModelChoice,
  tokens: readonly number[],
  count: number,
): string {
  const held = tokens.slice(0, count).join(',');
  return sha256(
    `${choice.model}\n${choice.version}\n${choice.adapter}\n${held}`,
  );
}

/**
 * Truncates the cache to the prefix that it has in common with `tokens`.
 *
 * @example
 * truncateToCommon(kv, [...prompt, ...generated]);
 */
export function truncateToCommon(kv: Kv, tokens: readonly number[]): void {
  let common = 0;
  while (
    common < kv.tokens.length &&
    common < tokens.length &&
    kv.tokens[common] === tokens[common]
  )
    common += 1;
  kv.tokens.length = common;
  for (const entries of kv.layers.values())
    if (entries.length > common) entries.length = common;
}

/**
 * Runs layers `[from, to)` over a batch of consecutive positions, writes their
 * KV and returns the output activations of the last of these layers.
 *
 * @example
 * const out = runBatch(kv, {from: 0, to: 8}, 0, tokens, inputs);
 */
export function runBatch(
  kv: Kv,
  range: {from: number; to: number},
  position: number,
  tokens: readonly number[],
  inputs: readonly number[],
): number[] {
  tokens.forEach((token, i) => (kv.tokens[position + i] = token));
  const outputs = [...inputs];
  for (let layer = range.from; layer < range.to; layer += 1) {
    const entries = kv.layers.get(layer) ?? [];
    kv.layers.set(layer, entries);
    for (let i = 0; i < outputs.length; i += 1) {
      const at = position + i;
      const previous = at === 0 ? 0 : entries[at - 1];
      outputs[i] = runLayer(kv.seed, layer, at, outputs[i], previous);
      entries[at] = outputs[i];
    }
  }
  return outputs;
}

/**
 * Returns the input activations of layer 0 for a batch of tokens.
 *
 * @example
 * const inputs = embedBatch(kv, 0, tokens);
 */
export function embedBatch(
  kv: Kv,
  position: number,
  tokens: readonly number[],
): number[] {
  return tokens.map((token, i) => embed(kv.seed, token, position + i));
}

/**
 * Serializes the KV of layers `[from, to)`.
 *
 * @example
 * const {kvPositions, kvDigest, data} = exportKv(kv, 8, 16);
 */
export function exportKv(kv: Kv, from: number, to: number) {
  const kvPositions = heldPositions(kv, from, to);
  const tokens = kv.tokens.slice(0, kvPositions);
  const layers: Array<[number, number[]]> = [];
  for (let layer = from; layer < to; layer += 1)
    layers.push([layer, kv.layers.get(layer)!.slice(0, kvPositions)]);
  return {
    kvPositions,
    kvDigest: tokensDigest(kv.choice, tokens, kvPositions),
    data: JSON.stringify({choice: kv.choice, tokens, layers}),
  };
}

/** Parsed `data` of an `exportKv` result. */
export interface KvData {
  readonly choice: ModelChoice;
  readonly tokens: readonly number[];
  readonly layers: ReadonlyArray<[number, number[]]>;
}

/**
 * Adds exported KV to a cache. If the exported tokens are a prefix of those in the
 * cache, layers that are not part of the export keep their entries.
 *
 * @example
 * importKv(kv, JSON.parse(exported.data));
 */
export function importKv(kv: Kv, data: KvData): void {
  const isPrefix = data.tokens.every((token, i) => kv.tokens[i] === token);
  if (!isPrefix) {
    truncateToCommon(kv, data.tokens);
    kv.tokens = [...data.tokens];
  }
  for (const [layer, entries] of data.layers)
    kv.layers.set(layer, [...entries]);
}
