import type {HostId} from '@chivewick/common';
import type {Update} from './member-table.js';

/** Limits the size of a message; an update takes about 60 bytes. */
const MAX_UPDATES_PER_MESSAGE = 8;

/**
 * Number of sends of each update, as a multiple of log2 of the number of
 * members.
 */
const RETRANSMIT_FACTOR = 3;

/** Updates that this host still has to send, the newest for each member. */
export interface UpdateQueue {
  add(update: Update): void;
  /** Takes the updates for one message, those sent least often first. */
  take(members: number): Update[];
}

/**
 * Creates an empty queue.
 *
 * @example
 * queue.add(['nav-a-2', 'dead', 17]);
 * const piggybacked = queue.take(9);
 */
export function createUpdateQueue(): UpdateQueue {
  const pending = new Map<HostId, {update: Update; sent: number}>();
  return {
    add: update => void pending.set(update[0], {update, sent: 0}),
    take(members) {
      const maxSends = RETRANSMIT_FACTOR * Math.ceil(Math.log2(members + 2));
      const picked = [...pending.values()]
        .sort((a, b) => a.sent - b.sent)
        .slice(0, MAX_UPDATES_PER_MESSAGE);
      for (const entry of picked) {
        entry.sent++;
        if (entry.sent >= maxSends) pending.delete(entry.update[0]);
      }
      return picked.map(entry => entry.update);
    },
  };
}
