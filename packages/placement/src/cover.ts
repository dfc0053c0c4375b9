import type {FailureDomain} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import {tokenLayerCapacity, type EngineProfile} from '@chivewick/gateway';

interface Holder {
  readonly failureDomain: FailureDomain;
  readonly accelerator?: string;
}

/** Memory for tokens on each layer, over the fleet and by failure domain. */
export interface Cover {
  add(holder: Holder, range: LayerRange): void;
  remove(holder: Holder, range: LayerRange): void;
  /** Tokens on the scarcest layer of the fleet. */
  least(): number;
  /** Mean tokens of a layer of the fleet. */
  mean(): number;
  /**
   * Mean tokens on the layers of a range, against the mean of all layers, of the
   * fleet or of one domain; 0 where nothing is covered.
   */
  relative(range: LayerRange, domain?: FailureDomain): number;
}

/**
 * Creates the cover of no engines.
 *
 * @example
 * const cover = createCover(profile);
 * cover.add(engine, {from: 0, to: 20});
 */
export function createCover(profile: EngineProfile): Cover {
  const {layers} = profile;
  const fleet = new Array<number>(layers).fill(0);
  const domains = new Map<FailureDomain, number[]>();

  function ofDomain(domain: FailureDomain): number[] {
    const known = domains.get(domain);
    if (known !== undefined) return known;
    const created = new Array<number>(layers).fill(0);
    domains.set(domain, created);
    return created;
  }

  function change(holder: Holder, range: LayerRange, sign: number): void {
    const held = range.to - range.from;
    const capacity = tokenLayerCapacity(profile, holder.accelerator, held);
    const tokens = (sign * capacity) / held;
    const own = ofDomain(holder.failureDomain);
    for (let layer = range.from; layer < range.to; layer++) {
      fleet[layer] += tokens;
      own[layer] += tokens;
    }
  }

  return {
    add: (holder, range) => change(holder, range, 1),
    remove: (holder, range) => change(holder, range, -1),
    least: () => Math.min(...fleet),
    mean: () => meanOf(fleet, 0, layers),
    relative(range, domain) {
      const cover = domain === undefined ? fleet : ofDomain(domain);
      const all = meanOf(cover, 0, layers);
      return all === 0 ? 0 : meanOf(cover, range.from, range.to) / all;
    },
  };
}

function meanOf(values: readonly number[], from: number, to: number): number {
  let sum = 0;
  for (let index = from; index < to; index++) sum += values[index];
  return sum / (to - from);
}
