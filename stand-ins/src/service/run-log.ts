import {sha256} from '@chivewick/common';

/** One run of a non-idempotent call, as recorded in the service's database. */
export interface Run {
  readonly slot: string;
  readonly idempotencyKey: string;
  readonly bodyDigest: string;
}

/** Record of a service's runs; replicas of one service share it. */
export interface RunLog {
  /** Books a slot and returns its id; does not deduplicate. */
  book(idempotencyKey: string, body: string): string;
  /** Body of the request that booked a slot; undefined for an unknown slot. */
  slot(slot: string): string | undefined;
  runsOfKey(idempotencyKey: string): number;
  runsOfBody(body: string): number;
  /** Number of runs by idempotency key and by SHA-256 digest of the body. */
  counts(): {keys: Record<string, number>; bodies: Record<string, number>};
}

/**
 * Creates an empty run log.
 *
 * @example
 * const runs = createRunLog();
 * const replicas = [createServiceStandIn({runs}), createServiceStandIn({runs})];
 */
export function createRunLog(): RunLog {
  const slots = new Map<string, string>();
  const keys = new Map<string, number>();
  const bodies = new Map<string, number>();
  const increment = (counts: Map<string, number>, name: string) =>
    counts.set(name, (counts.get(name) ?? 0) + 1);
  return {
    book(idempotencyKey, body) {
      const slot = `slot-${slots.size + 1}`;
      slots.set(slot, body);
      increment(keys, idempotencyKey);
      increment(bodies, sha256(body));
      return slot;
    },
    slot: slot => slots.get(slot),
    runsOfKey: key => keys.get(key) ?? 0,
    runsOfBody: body => bodies.get(sha256(body)) ?? 0,
    counts: () => ({
      keys: Object.fromEntries(keys),
      bodies: Object.fromEntries(bodies),
    }),
  };
}
