import type {HostId} from '@chivewick/common';
import type {MemberState} from './membership-api.js';

/** State of a member as reported by a host, in the form used in messages. */
export type Update = readonly [HostId, MemberState, incarnation: number];

/** Within an incarnation, a state with a higher rank replaces a lower one. */
const RANKS: Record<MemberState, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

interface MemberEntry {
  state: MemberState;
  incarnation: number;
}

/** States of the other members; the order of updates does not matter. */
export interface MemberTable {
  /**
   * Applies an update unless it is outdated; returns whether it was applied.
   */
  apply(update: Update): boolean;
  get(host: HostId): Update | undefined;
  inState(...states: MemberState[]): HostId[];
  has(host: HostId): boolean;
  remove(host: HostId): void;
  size(): number;
}

/**
 * Creates an empty table. Only the member itself increases its incarnation, so
 * a refutation outranks every suspicion of an earlier incarnation.
 *
 * @example
 * table.apply(['nav-a-2', 'suspect', 17]);
 */
export function createMemberTable(): MemberTable {
  const members = new Map<HostId, MemberEntry>();

  function isNewer(update: Update, current: MemberEntry): boolean {
    const [, state, incarnation] = update;
    if (incarnation !== current.incarnation)
      return incarnation > current.incarnation;
    return RANKS[state] > RANKS[current.state];
  }

  return {
    apply(update) {
      const [host, state, incarnation] = update;
      const current = members.get(host);
      if (current !== undefined && !isNewer(update, current)) return false;
      members.set(host, {state, incarnation});
      return true;
    },
    get(host) {
      const member = members.get(host);
      return member && [host, member.state, member.incarnation];
    },
    inState: (...states) =>
      [...members]
        .filter(([, member]) => states.includes(member.state))
        .map(([host]) => host),
    has: host => members.has(host),
    remove: host => void members.delete(host),
    size: () => members.size,
  };
}
