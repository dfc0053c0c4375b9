import type {HostId, WorkspaceId} from '@chivewick/common';
import {z} from 'zod';
import {add, NO_CAPACITY, type Capacity} from './capacity.js';

const amount = z.number().int().nonnegative();

export const capacitySchema = z.object({
  concurrency: amount,
  tokensPerSecond: amount,
});

/** One process of a host; a restarted process is a new holder. */
export const holderSchema = z.object({
  host: z.string().transform(value => value as HostId),
  incarnation: z.number().int(),
});

export const allocationSchema = capacitySchema.extend({
  ...holderSchema.shape,
  /**
   * Requests in progress above `concurrency` after the limit was lowered. They
   * count as allocated until the holder reports that they have ended.
   */
  draining: amount,
  /** Number of writes that the holder has requested to prove it is alive. */
  touch: z.number().int(),
});

const limitsObjectSchema = z.object({
  limit: capacitySchema,
  /** Version of the lists that `limit` comes from. */
  listsVersion: z.number().int(),
  allocations: z.record(z.string(), allocationSchema),
});

export type Allocation = z.output<typeof allocationSchema>;

/** The value of the object `limits/{workspace}`. */
export type LimitsObject = z.output<typeof limitsObjectSchema>;

export type Holder = z.output<typeof holderSchema>;

/** A limits object and its version; version 0 means that it doesn't exist. */
export interface VersionedLimits {
  readonly version: number;
  readonly value: LimitsObject;
}

export const limitsKey = (workspace: WorkspaceId) => `limits/${workspace}`;

/**
 * Returns the key of a holder within a limits object.
 *
 * @example
 * const own = object.allocations[holderKey({host: self, incarnation})];
 */
export function holderKey(holder: Holder): string {
  return `${holder.host}/${holder.incarnation}`;
}

/**
 * Validates the value of a limits object. Throws a `ZodError` when the value
 * has another shape, so that an unexpected value never grants capacity.
 *
 * @example
 * const {allocations} = parseLimitsObject(stored.value);
 */
export function parseLimitsObject(value: unknown): LimitsObject {
  return limitsObjectSchema.parse(value);
}

/**
 * Returns the sum of all allocations and draining requests. A write never
 * raises it above the object's limit.
 *
 * @example
 * const free = subtract(object.limit, allocated(object));
 */
export function allocated(object: LimitsObject): Capacity {
  return Object.values(object.allocations).reduce<Capacity>(
    (sum, entry) =>
      add(sum, {...entry, concurrency: entry.concurrency + entry.draining}),
    NO_CAPACITY,
  );
}
