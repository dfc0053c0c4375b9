import type {FailureDomain} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import {tokenLayerCapacity, type EngineProfile} from '@chivewick/gateway';

interface Holder {
  readonly failureDomain: FailureDomain;
  readonly accelerator?: string;
}

/**
 * Number of tokens that fit in memory on each layer, for the fleet and by
 * failure domain.
 */
export interface TokenCapacity {
  add(holder: Holder, range: LayerRange): void;
  remove(holder: Holder, range: LayerRange): void;
  /** Capacity of the scarcest layer of the fleet, in tokens. */
  min(): number;
  /** Mean capacity of the layers of the fleet, in tokens. */
  mean(): number;
  /**
   * Mean capacity of the layers of a range divided by the mean of all layers,
   * for the fleet or for one domain; 0 when the fleet or domain holds no
   * layers.
   */
  relative(range: LayerRange, domain?: FailureDomain): number;
}

/**
 * Creates an empty capacity, without engines.
 *
 * @example
 * const capacity = createTokenCapacity(profile);
 * capacity.add(engine, {from: 0, to: 20});
 */
export function createTokenCapacity(profile: EngineProfile): TokenCapacity {
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

  function adjust(holder: Holder, range: LayerRange, sign: number): void {
    const layerCount = range.to - range.from;
    const capacity = tokenLayerCapacity(
      profile,
      holder.accelerator,
      layerCount,
    );
    const tokensPerLayer = (sign * capacity) / layerCount;
    const own = ofDomain(holder.failureDomain);
    for (let layer = range.from; layer < range.to; layer++) {
      fleet[layer] += tokensPerLayer;
      own[layer] += tokensPerLayer;
    }
  }

  return {
    add: (holder, range) => adjust(holder, range, 1),
    remove: (holder, range) => adjust(holder, range, -1),
    min: () => Math.min(...fleet),
    mean: () => meanOf(fleet, 0, layers),
    relative(range, domain) {
      const tokensByLayer = domain === undefined ? fleet : ofDomain(domain);
      const all = meanOf(tokensByLayer, 0, layers);
      return all === 0 ? 0 : meanOf(tokensByLayer, range.from, range.to) / all;
    },
  };
}

function meanOf(values: readonly number[], from: number, to: number): number {
  let sum = 0;
  for (let index = from; index < to; index++) sum += values[index];
  return sum / (to - from);
}
