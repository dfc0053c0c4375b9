import {createHash} from 'node:crypto';
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * SHA-256 of a string in hexadecimal; lists hold callers' keys in this form.
 *
 * @example
 * sha256('secret-key'); // '2fd4e1c6...'
 */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * A fast 32-bit hash (xxHash32), the same on every host. Not for secrets.
 *
 * @example
 * const partition = hash32(key) % partitionCount;
 */
export function hash32(text: string, seed = 0): number {
  return h32(text, seed);
}

/**
 * Orders members by rendezvous hashing (Thaler and Ravishankar 1998): every
 * host that knows the same members computes the same order, and the loss of a
 * member moves only the keys that it owned.
 *
 * @example
 * const [owner, successor] = rendezvousOrder('workspace-a', hosts);
 */
export function rendezvousOrder<T extends string>(
  key: string,
  members: readonly T[],
): T[] {
  return members
    .map(member => ({member, weight: h32(`${key}\n${member}`)}))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .map(({member}) => member);
}

/**
 * The first member in rendezvous order, or undefined without members.
 *
 * @example
 * const owner = rendezvousOwner(`ledger/${partition}`, liveHosts);
 */
export function rendezvousOwner<T extends string>(
  key: string,
  members: readonly T[],
): T | undefined {
  let best: T | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = h32(`${key}\n${member}`);
    if (weight < bestWeight) continue;
    if (weight === bestWeight && best !== undefined && best < member) continue;
    best = member;
    bestWeight = weight;
  }
  return best;
}
