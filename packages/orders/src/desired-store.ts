/**
 * The lease holder's copy of the desired states `orders/desired/{endpoint}`.
 */
import type {EndpointId, Logger} from '@chivewick/common';
import type {DesiredEngine} from '@chivewick/engines';
import type {ObjectApi, StoredObject} from '@chivewick/platform';
import {randomUUID} from 'node:crypto';
import type {DesiredValue} from './orders-api.js';

export const DESIRED_PREFIX = 'orders/desired/';

/** `unknown`: this host cannot confirm the write; it may be retried. */
export type DesiredWrite = 'written' | 'conflict' | 'unknown';

/** Copy of the desired states, kept current by `follow`. */
export interface DesiredStore {
  /** Reads all desired states; false when the platform does not answer. */
  load(): Promise<boolean>;
  get(endpoint: EndpointId): DesiredValue | undefined;
  all(): Iterable<[EndpointId, DesiredValue]>;
  /**
   * Writes conditionally on the version last read. After `conflict` the copy
   * holds the newer entry, and the caller must confirm its lease before it
   * continues.
   */
  write(
    endpoint: EndpointId,
    desired: DesiredEngine,
    fence: number,
  ): Promise<DesiredWrite>;
  /**
   * Applies changes from the store until the signal aborts or the platform
   * fails.
   */
  follow(signal: AbortSignal): Promise<void>;
  highestFence(): number;
  /** Increases with every recorded change. */
  revision(): number;
}

/**
 * Creates an empty copy of the desired states.
 *
 * @example
 * const desired = createDesiredStore({platform, log});
 * if (await desired.load()) await desired.write(endpoint, state, fence);
 */
export function createDesiredStore(options: {
  platform: ObjectApi;
  log: Logger;
}): DesiredStore {
  const {platform, log} = options;
  const entries = new Map<string, StoredObject<DesiredValue>>();

  let revision = 0;

  function recordObject(object: StoredObject): void {
    const known = entries.get(object.key);
    if (known !== undefined && known.version > object.version) return;
    revision++;
    entries.set(object.key, object as StoredObject<DesiredValue>);
  }

  /** Reads the stored value after a write that was not confirmed. */
  async function resolveWrite(
    key: string,
    value: DesiredValue,
  ): Promise<DesiredWrite> {
    const read = await platform.get(key);
    if (!read.ok) return 'unknown';
    if (read.value === undefined) {
      entries.delete(key);
      revision++;
      return 'unknown';
    }
    recordObject(read.value);
    const found = read.value.value as DesiredValue;
    if (found.writeId === value.writeId) return 'written';
    // An earlier write of this holder that took effect late is not a conflict.
    if (found.fence === value.fence) return 'unknown';
    return 'conflict';
  }

  return {
    async load() {
      const listed = await platform.list(DESIRED_PREFIX);
      if (!listed.ok) return false;
      entries.clear();
      revision++;
      listed.value.forEach(recordObject);
      return true;
    },
    get: endpoint => entries.get(DESIRED_PREFIX + endpoint)?.value,
    *all() {
      for (const [key, {value}] of entries) {
        yield [key.slice(DESIRED_PREFIX.length) as EndpointId, value];
      }
    },
    async write(endpoint, desired, fence) {
      const key = DESIRED_PREFIX + endpoint;
      const value = {fence, desired, writeId: randomUUID()};
      const expected = entries.get(key)?.version ?? 'absent';
      const outcome = await platform.put(key, value, expected);
      if (outcome.kind === 'written') {
        recordObject({key, value, version: outcome.version});
        return 'written';
      }
      const resolved = await resolveWrite(key, value);
      // A write without a response may still take effect later. The retry
      // expects the same version, so only one of the two succeeds.
      if (resolved === 'conflict' && outcome.kind === 'unknown') {
        if (entries.get(key)?.version === expected) return 'unknown';
      }
      if (resolved === 'conflict') {
        const found = entries.get(key)?.value.fence;
        log.event('desiredConflict', {endpoint, fence, found});
      }
      return resolved;
    },
    async follow(signal) {
      let since = 0;
      for (const {version} of entries.values()) {
        since = Math.max(since, version);
      }
      const changes = platform.watch(DESIRED_PREFIX, since, signal);
      for await (const {key, version, value} of changes) {
        if (value !== undefined) recordObject({key, version, value});
        else if ((entries.get(key)?.version ?? 0) < version) {
          entries.delete(key);
          revision++;
        }
      }
    },
    revision: () => revision,
    highestFence() {
      let highest = 0;
      for (const {value} of entries.values()) {
        highest = Math.max(highest, value.fence);
      }
      return highest;
    },
  };
}
