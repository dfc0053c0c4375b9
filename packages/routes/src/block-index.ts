import type {Endpoint} from './endpoint.js';

/** Index from a prefix-cache block to the endpoints that probably hold it. */
export interface BlockIndex {
  /** Adds (`held`) or removes an endpoint as a holder of a block. */
  setHeld(endpoint: Endpoint, block: string, held: boolean): void;
  /** Returns the holders of the last block in `blocks` that has any holder. */
  findHolders(blocks: readonly string[]): readonly Endpoint[];
}

/**
 * Creates an empty index, with which a route choice finds the endpoints that hold
 * a prefix without a scan of all endpoints.
 *
 * @example
 * const blockIndex = createBlockIndex();
 * const [holder] = blockIndex.findHolders(promptBlocks(prompt, scope));
 */
export function createBlockIndex(): BlockIndex {
  const byBlock = new Map<string, Endpoint[]>();
  return {
    setHeld(endpoint, block, held) {
      const holders = byBlock.get(block);
      if (!held) {
        const remaining = holders?.filter(other => other !== endpoint) ?? [];
        if (remaining.length > 0) byBlock.set(block, remaining);
        else byBlock.delete(block);
      } else if (holders === undefined) byBlock.set(block, [endpoint]);
      else holders.push(endpoint);
    },
    findHolders(blocks) {
      for (let index = blocks.length - 1; index >= 0; index--) {
        const holders = byBlock.get(blocks[index]);
        if (holders !== undefined) return holders;
      }
      return [];
    },
  };
}
