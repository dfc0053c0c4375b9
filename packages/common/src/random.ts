import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {randomInt} from 'node:crypto';

/** A source of random numbers; the same seed gives the same sequence. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  int(bound: number): number;
}

/**
 * Creates a random source; the seed defaults to a random one.
 *
 * @example
 * const random = createRandom(42);
 * const pick = candidates[random.int(candidates.length)];
 */
export function createRandom(seed: number = randomInt(2 ** 31)): Random {
  const generator = xoroshiro128plus(seed);
  return {
    next: () => uniformFloat64(generator),
    int: bound => uniformInt(generator, 0, bound - 1),
  };
}
