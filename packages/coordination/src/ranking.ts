import {
  rendezvousOrder,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';

/**
 * Fraction of the largest capacity in the domain that a host needs to be ranked
 * before the smaller ones: a coordinator does the work of dozens of hosts.
 */
const LARGE_HOST_FRACTION = 0.5;

/** A host that may coordinate its failure domain. */
export interface RankedHost {
  readonly id: HostId;
  readonly failureDomain: FailureDomain;
  /** Processor capacity, in cores. */
  readonly cores: number;
}

/**
 * Orders the hosts of a failure domain by their precedence as its coordinator. All
 * hosts that know the same members compute the same order; the first responsive
 * one coordinates, the second stands by. Large hosts precede small ones; the rest
 * is decided by rendezvous hashing, so that the loss of a host moves no other.
 *
 * @example
 * const [coordinator, standby] = rankCoordinators(domain, fleet.hosts());
 */
export function rankCoordinators<T extends RankedHost>(
  domain: FailureDomain,
  hosts: readonly T[],
): T[] {
  const members = new Map(
    hosts
      .filter(host => host.failureDomain === domain)
      .map(host => [host.id, host]),
  );
  const maxCores = Math.max(0, ...[...members.values()].map(h => h.cores));
  const isLarge = (id: HostId) =>
    members.get(id)!.cores >= LARGE_HOST_FRACTION * maxCores;
  const order = rendezvousOrder(`coordinator/${domain}`, [...members.keys()]);
  return [
    ...order.filter(isLarge),
    ...order.filter(member => !isLarge(member)),
  ].map(member => members.get(member)!);
}
