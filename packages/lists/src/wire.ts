import {z} from 'zod';
import {
  applyDelta,
  computeDelta,
  listFromEntries,
  type EntriesDelta,
} from './entries.js';
import type {ListVersions} from './lists-api.js';
import {digestOfPair, type HeldPair, type RawPair} from './pair-store.js';
import {isSame} from './versions.js';

/** Names of the list methods that hosts call on each other. */
export const PUSH = 'lists.push';
export const DIGEST = 'lists.digest';
export const FETCH = 'lists.fetch';

const versions = z.object({
  plans: z.number().int().nonnegative(),
  entitlements: z.number().int().nonnegative(),
});
const delta = z.object({
  set: z.record(z.string(), z.unknown()),
  del: z.array(z.string()),
});

const pushSchema = z.object({
  from: versions,
  to: versions,
  plans: delta,
  entitlements: delta,
  /** Digest of the pair after the change. */
  digest: z.string(),
});
const fetchSchema = z.object({have: versions.optional()});
const fetchedSchema = z.union([
  z.object({kind: z.literal('delta'), push: pushSchema}),
  z.object({
    kind: z.literal('full'),
    versions,
    plans: z.unknown(),
    entitlements: z.unknown(),
  }),
  z.object({kind: z.literal('none')}),
]);
const heldSchema = z.object({versions: versions.optional()});
const payloadSchema = z.object({
  v: versions.optional(),
  /** Digest of the pair. */
  d: z.string().optional(),
  /** Failure domain of the sender. */
  f: z.string(),
  /** Whether the sender's lists are confirmed. */
  c: z.boolean(),
});

/** The delta from one pair to a later one. */
export type Push = z.infer<typeof pushSchema>;
/** Response to a fetch. */
export type FetchResponse = z.infer<typeof fetchedSchema>;
/** Information on the sender's lists in each ping. */
export type Payload = z.infer<typeof payloadSchema>;

/** Validates received messages; undefined if a message is malformed. */
export const parse = {
  push: (value: unknown) => pushSchema.safeParse(value).data,
  fetch: (value: unknown) => fetchSchema.safeParse(value).data,
  fetched: (value: unknown) => fetchedSchema.safeParse(value).data,
  held: (value: unknown) => heldSchema.safeParse(value).data,
  payload: (value: unknown) => payloadSchema.safeParse(value).data,
};

/**
 * Creates the message that updates a peer host from one pair to another.
 *
 * @example
 * await peers.call(host, PUSH, createPush(before, after), {timeoutMs});
 */
export function createPush(before: HeldPair, after: HeldPair): Push {
  const change = (list: 'plans' | 'entitlements'): EntriesDelta =>
    computeDelta(before.entries[list], after.entries[list]);
  return {
    from: before.versions,
    to: after.versions,
    plans: change('plans'),
    entitlements: change('entitlements'),
    digest: after.digest,
  } as Push;
}

/**
 * Applies a push to its base pair; undefined if `base` has other versions, or
 * if the digest of the result differs from the sender's.
 *
 * @example
 * const raw = applyPush(pairs.current(), push);
 */
export function applyPush(base: HeldPair, push: Push): RawPair | undefined {
  if (!isSame(base.versions, push.from)) return undefined;
  const entries = {
    plans: applyDelta(base.entries.plans, push.plans),
    entitlements: applyDelta(base.entries.entitlements, push.entitlements),
  };
  if (digestOfPair(entries) !== push.digest) return undefined;
  return rawPairOf(push.to, entries);
}

/**
 * Creates the response to a fetch: a delta if the requester's pair is still
 * known, the full pair otherwise.
 *
 * @example
 * return createFetchResponse(pairs.current(), have && pairs.recent(have));
 */
export function createFetchResponse(
  current: HeldPair | undefined,
  base: HeldPair | undefined,
): FetchResponse {
  if (current === undefined) return {kind: 'none'};
  if (base !== undefined)
    return {kind: 'delta', push: createPush(base, current)};
  return {kind: 'full', ...rawPairOf(current.versions, current.entries)};
}

function rawPairOf(
  versions: ListVersions,
  entries: HeldPair['entries'],
): RawPair {
  return {
    versions,
    plans: listFromEntries('plans', entries.plans),
    entitlements: listFromEntries('entitlements', entries.entitlements),
  };
}
