import type {WorkspaceId} from '@chivewick/common';
import {z} from 'zod';
import {
  allocationSchema,
  capacitySchema,
  holderSchema,
} from './limits-object.js';

const workspace = z.string().transform(value => value as WorkspaceId);
const holder = holderSchema;

/** One holder's view of a version of the limits object. */
const view = z.object({
  version: z.number().int(),
  limit: capacitySchema,
  own: allocationSchema.optional(),
});

/** `limits.grant`: a host asks the rebalancing host for more capacity. */
export const grantRequestSchema = z.object({
  workspace,
  holder,
  /**
   * The total allocation that the host requests, in units of its own limit. It
   * is absolute, so a repeated request doesn't grant capacity twice.
   */
  target: capacitySchema,
  /** The rebalancer writes the object so that the entry's `touch` reaches this. */
  touch: z.number().int(),
  /** The host needs far more than its allowance, or its allowance is 0. */
  urgent: z.boolean(),
  /** Requests in progress above the allocation in `version`. */
  draining: z.number().int().nonnegative(),
  /** Newest version of the object that the host has seen. */
  version: z.number().int(),
  limit: capacitySchema,
  listsVersion: z.number().int(),
});

export const grantReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('view'),
    view,
    /** Calls made by the round, divided by the number of requests it served. */
    messages: z.number(),
  }),
  z.object({kind: z.literal('unavailable')}),
]);

/** `limits.reclaim`: the rebalancing host asks a holder for idle allowance. */
export const reclaimRequestSchema = z.object({
  workspace,
  holder,
  view,
  take: capacitySchema,
  /** Capacity that is idle only briefly is requested as well. */
  urgent: z.boolean(),
  /** The new limit, when the object's limit is about to be lowered. */
  relimit: capacitySchema.optional(),
});

export const reclaimReplySchema = z.discriminatedUnion('kind', [
  /** The holder has already lowered its allowance to `keep`. */
  z.object({
    kind: z.literal('pledged'),
    keep: capacitySchema,
    /** Requests in progress above `keep`; no new one starts above it. */
    draining: z.number().int().nonnegative(),
    /** Idle capacity that the holder could still give. */
    idle: capacitySchema,
  }),
  /** The holder has seen a newer version. */
  z.object({kind: z.literal('stale')}),
  /** The host now runs under another incarnation. */
  z.object({kind: z.literal('replaced')}),
]);

export type View = z.output<typeof view>;
export type GrantRequest = z.output<typeof grantRequestSchema>;
export type GrantReply = z.output<typeof grantReplySchema>;
export type ReclaimRequest = z.output<typeof reclaimRequestSchema>;
export type ReclaimReply = z.output<typeof reclaimReplySchema>;
