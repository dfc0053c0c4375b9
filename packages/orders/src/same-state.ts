import type {ModelGrant} from '@chivewick/common';
import type {DesiredEngine, LayerRange} from '@chivewick/engines';

/** The part of an engine's state that only a load of weights can change. */
export type LoadedWeights = Pick<DesiredEngine, 'model' | 'version' | 'layers'>;

/**
 * Whether both states need the same weights.
 *
 * @example
 * const reload = !sameWeights(status, target);
 */
export function sameWeights(a: LoadedWeights, b: LoadedWeights): boolean {
  return (
    a.model === b.model &&
    a.version === b.version &&
    a.layers.from === b.layers.from &&
    a.layers.to === b.layers.to
  );
}

/**
 * Whether both states are equal; the order of adapters is ignored.
 *
 * @example
 * if (sameState(status, target)) confirm();
 */
export function sameState(a: DesiredEngine, b: DesiredEngine): boolean {
  if (!sameWeights(a, b) || a.role !== b.role) return false;
  const adapters = new Set(a.adapters);
  return (
    adapters.size === new Set(b.adapters).size &&
    b.adapters.every(adapter => adapters.has(adapter))
  );
}

/**
 * Whether the weights are a usable part of the granted model: its version, and
 * a valid layer range.
 *
 * @example
 * if (serves(status, grant)) keep(engine);
 */
export function serves(
  held: LoadedWeights,
  grant: ModelGrant | undefined,
): boolean {
  return (
    grant !== undefined &&
    held.version === grant.version &&
    isRangeOf(held.layers, grant.layers)
  );
}

/**
 * Whether a range is non-empty and within a model of `layers` layers.
 *
 * @example
 * isRangeOf({from: 0, to: 8}, 24); // true
 */
export function isRangeOf({from, to}: LayerRange, layers: number): boolean {
  return from >= 0 && from < to && to <= layers;
}
