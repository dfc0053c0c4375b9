import {
  PREFIX_BLOCK_TOKENS,
  prefixBlocks,
  type PrefixScope,
} from '@chivewick/common';

/** Maximum number of blocks; a longer common prefix does not change the choice. */
const MAX_BLOCKS = 32;

/**
 * Returns the ids of the prefix-cache blocks of a prompt. Tokens are UTF-8 bytes.
 *
 * @example
 * promptBlocks('...', {workspace: 'a', model: 'm', version: 'v1', adapter: ''}); // ['9f0c12ab', ...]
 */
export function promptBlocks(prompt: string, scope: PrefixScope): string[] {
  const prefix = prompt.slice(0, PREFIX_BLOCK_TOKENS * MAX_BLOCKS);
  const bytes = Buffer.from(prefix).toString('latin1');
  return prefixBlocks(bytes.slice(0, PREFIX_BLOCK_TOKENS * MAX_BLOCKS), scope);
}
