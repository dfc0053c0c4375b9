import type {HostId} from '@chivewick/common';

/** Unanswered messages after which a host counts as unresponsive. */
const MAX_MISSED = 2;

/** Which hosts respond to this one. */
export interface Contacts {
  /** Records a message from a host. */
  heard(host: HostId): void;
  /** Records that a host did not respond in time. */
  missed(host: HostId): void;
  /** Hosts that were never contacted count as responsive. */
  isResponsive(host: HostId): boolean;
}

/**
 * Creates the table with all hosts responsive. Two missed responses are needed,
 * because datagrams are lost occasionally; one message restores a host.
 *
 * @example
 * contacts.missed(host);
 * const coordinator = ranking.find(({id}) => contacts.isResponsive(id));
 */
export function createContacts(): Contacts {
  const missed = new Map<HostId, number>();
  return {
    heard: host => void missed.delete(host),
    missed: host => void missed.set(host, (missed.get(host) ?? 0) + 1),
    isResponsive: host => (missed.get(host) ?? 0) < MAX_MISSED,
  };
}
