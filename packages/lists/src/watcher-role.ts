import {
  rendezvousOrder,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
import type {Membership} from '@chivewick/membership';

/** Number of hosts per failure domain that watch the platform's store. */
const WATCHERS_PER_DOMAIN = 3;

/**
 * Whether this host is one of the watchers of its failure domain, by rendezvous
 * hashing over the live hosts of the domain. A host of unknown domain is
 * treated as being in the same domain; otherwise unknown domains would make
 * every host a watcher.
 *
 * @example
 * const watching = isWatcher({self, failureDomain, membership, domainOf});
 */
export function isWatcher(options: {
  readonly self: HostId;
  readonly failureDomain: FailureDomain;
  readonly membership: Membership;
  domainOf(host: HostId): FailureDomain | undefined;
}): boolean {
  const {self, failureDomain, membership, domainOf} = options;
  const candidates = membership
    .live()
    .filter(host => (domainOf(host) ?? failureDomain) === failureDomain);
  if (!candidates.includes(self)) return false;
  return rendezvousOrder('lists/watch', candidates)
    .slice(0, WATCHERS_PER_DOMAIN)
    .includes(self);
}
