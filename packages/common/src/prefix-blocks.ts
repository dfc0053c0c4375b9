import {hash32} from './hash.js';

/** Tokens in one block of an engine's prefix cache. */
export const PREFIX_BLOCK_TOKENS = 64;

/** Identity of a prefix cache; caches of different scopes share no blocks. */
export interface PrefixScope {
  readonly workspace?: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
}

/**
 * Ids of the full blocks at the start of a token sequence. Each id covers its
 * block, all blocks before it and the scope, so equal ids mean equal prefixes of
 * the same workspace, model, version and adapter. An id is a hexadecimal number.
 * Tokens are given as a string with one UTF-16 unit for each token, which hashes
 * faster than an array.
 *
 * @example
 * const bytes = Buffer.from(prompt).toString('latin1');
 * prefixBlocks(bytes, {workspace: 'a', model: 'm', version: 'v1', adapter: ''}); // ['9f0c12ab', ...]
 */
export function prefixBlocks(tokens: string, scope: PrefixScope): string[] {
  const {workspace = '', model, version, adapter} = scope;
  const blocks: string[] = [];
  let chain = hash32(`${workspace}\n${model}\n${version}\n${adapter}`);
  let end = PREFIX_BLOCK_TOKENS;
  for (; end <= tokens.length; end += PREFIX_BLOCK_TOKENS) {
    chain = hash32(tokens.slice(end - PREFIX_BLOCK_TOKENS, end), chain);
    blocks.push(chain.toString(16));
  }
  return blocks;
}
