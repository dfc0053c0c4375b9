import type {HostId} from '@chivewick/common';
import type {Link} from './link.js';

/**
 * If two hosts dial each other within this time, they keep the connection that
 * the lower host id dialled. After it, a new connection means that the peer has
 * lost the old one.
 */
const SIMULTANEOUS_OPEN_MS = 2_000;

/**
 * Connections unused for this time are closed: among 2,500 hosts, a given pair
 * rarely communicates.
 */
const IDLE_TIMEOUT_MS = 60_000;

/** The current connection to each peer host. */
export interface Links {
  get(host: HostId): Link | undefined;
  hosts(): HostId[];
  /** Makes an authenticated link the current one; false if it is a duplicate. */
  add(link: Link): boolean;
  remove(link: Link): void;
  closeIdle(): void;
}

/**
 * Creates the table of links.
 *
 * @example
 * const links = createLinks(self);
 */
export function createLinks(self: HostId): Links {
  const currentLinks = new Map<string, Link>();

  function isPreferred(link: Link): boolean {
    const selfIsLower = self < (link.peer?.host ?? '');
    return (link.dialledBy === 'self') === selfIsLower;
  }

  function keepsExisting(existing: Link, added: Link): boolean {
    return (
      !existing.closed &&
      existing.peer?.incarnation === added.peer?.incarnation &&
      added.openedAtMs - existing.openedAtMs < SIMULTANEOUS_OPEN_MS &&
      isPreferred(existing) &&
      !isPreferred(added)
    );
  }

  return {
    get: host => currentLinks.get(host),
    hosts: () => [...currentLinks.keys()] as HostId[],
    add(link) {
      const host = link.peer?.host ?? '';
      const existing = currentLinks.get(host);
      if (existing === link) return true;
      if (existing !== undefined && keepsExisting(existing, link)) return false;
      currentLinks.set(host, link);
      existing?.retire();
      return true;
    },
    remove(link) {
      const host = link.peer?.host ?? '';
      if (currentLinks.get(host) === link) currentLinks.delete(host);
    },
    closeIdle() {
      const idleSince = performance.now() - IDLE_TIMEOUT_MS;
      for (const link of [...currentLinks.values()])
        if (link.lastUsedMs < idleSince && !link.busy()) link.close('idle');
    },
  };
}
