import {
  covers,
  maxCapacity,
  NO_CAPACITY,
  scaleDown,
  scaleUp,
  minCapacity,
  subtract,
  type Capacity,
} from './capacity.js';
import type {ReclaimRequest, View} from './messages.js';

/** An upper bound of the allowance, and the limit that it is a share of. */
interface AllowanceCap {
  readonly amount: Capacity;
  readonly baseLimit: Capacity;
}

/** The latest known allocation of this host, less the capacity it has pledged. */
export interface LocalAllocation {
  /** The newest version seen. */
  view(): View | undefined;
  /** Adopts a newer version of the object; returns false for any other. */
  adopt(view: View): boolean;
  /** The allowance under the limit in effect on this host. */
  allowance(limit: Capacity): Capacity;
  /** Whether a pledge holds the allowance below the allocation. */
  pledged(): boolean;
  /**
   * Lowers the allowance immediately. Returns the remaining allocation and its
   * idle part, in units of the object's limit, or undefined for a version
   * older than the newest one seen. `need` is in units of `limit`.
   */
  pledge(
    request: Pick<ReclaimRequest, 'view' | 'take' | 'relimit'>,
    need: Capacity,
    limit: Capacity,
  ): {keep: Capacity; idle: Capacity} | undefined;
}

/**
 * Creates the local allocation of one workspace on this host. A pledge made for
 * version v lowers the allowance immediately and ends when a version above v is
 * seen. By then the conditional write on v that it was made for has either
 * taken effect, and is included in that version, or can never take effect. So
 * the allowance is at most the allocation in the stored object at every moment,
 * without relying on a clock.
 *
 * @example
 * const allocation = createLocalAllocation();
 * allocation.adopt({version, limit, own});
 */
export function createLocalAllocation(): LocalAllocation {
  let latest: View | undefined;
  let pledges: AllowanceCap[] = [];

  const adopt = (view: View) => {
    if (latest !== undefined && view.version <= latest.version) return false;
    latest = view;
    pledges = [];
    return true;
  };

  /** The allocation less pledges, in units of the object's limit. */
  const unpledged = (view: View) =>
    pledges
      .filter(({baseLimit}) => baseLimit === view.limit)
      .reduce(
        (lowest, {amount}) => minCapacity(lowest, amount),
        amountOf(view),
      );

  return {
    view: () => latest,
    adopt,
    allowance(limit) {
      if (latest === undefined) return NO_CAPACITY;
      const own = {amount: amountOf(latest), baseLimit: latest.limit};
      return [own, ...pledges]
        .map(({amount, baseLimit}) => scaleDown(amount, baseLimit, limit))
        .reduce(minCapacity);
    },
    pledged: () => pledges.length > 0,
    pledge({view, take, relimit}, need, limit) {
      if (latest !== undefined && view.version < latest.version)
        return undefined;
      adopt(view);
      const base = latest as View;
      const held = unpledged(base);
      if (relimit !== undefined) {
        const keep = scaleDown(held, base.limit, relimit);
        pledges.push({amount: keep, baseLimit: relimit});
        return {keep, idle: NO_CAPACITY};
      }
      const needed = minCapacity(held, scaleUp(need, base.limit, limit));
      const keep = maxCapacity(subtract(held, take), needed);
      if (!covers(keep, held))
        pledges.push({amount: keep, baseLimit: base.limit});
      return {keep, idle: subtract(keep, needed)};
    },
  };
}

function amountOf(view: View): Capacity {
  return view.own ?? NO_CAPACITY;
}
