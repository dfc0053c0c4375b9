/**
 * Enforces each workspace's limits on requests in progress and on tokens per
 * second across all hosts.
 *
 * The object `limits/{workspace}` stores the workspace's limit and the
 * allocation of each holder (a process of a host). Terms: the *share* of a
 * holder is its allocation divided by the object's limit. Its *allowance* is
 * the capacity that it may use: its share of the limit in effect on the host,
 * rounded down, less the capacity that it has pledged to other holders.
 *
 * Invariant, at every moment and in every interleaving:
 *
 * 1. A host starts a request only while it has fewer in progress than its
 *    allowance.
 * 2. The shares in the object add up to at most 1, and the allowance of a
 *    holder is at most its share in the newest object of the limit in effect
 *    on its host. So the allowances add up to at most the highest limit in
 *    effect on any host.
 * 3. A reclaim leaves a holder at least the capacity of its requests in
 *    progress. After a limit is lowered, requests above the allowance drain.
 *    The object counts them, and no write raises the sum of allocations and
 *    draining requests above the limit. So the total in use never exceeds the
 *    highest limit in effect since the oldest request in progress started, and
 *    never exceeds the limit while no limit is lowered.
 *
 * Why it holds: a holder's share is lowered only by a conditional write on
 * version v after the holder has lowered its allowance for v, and the holder
 * raises its allowance again only when it sees a version above v. No clock is
 * involved. The one exception is a dead holder: its allocation is freed once
 * its host has been missing from the host list for the maximum request duration
 * plus a margin. A host that was suspended, or that was missing from the list
 * itself, starts no request until a write has updated its own entry. This
 * assumes that a running host that the platform has removed learns of it within
 * the margin (30 s).
 *
 * Tokens per second: point 2 holds for the rates as well. Each host charges a
 * request's maximum tokens when it starts and refunds those not generated. So
 * the tokens charged within T seconds are at most limit x (T + 1) plus one
 * request per host.
 */
export {createLimits} from './create-limits.js';
export type {
  Limits,
  LimitsLists,
  LimitsOptions,
  LimitsStatus,
  Permit,
  WorkspaceStatus,
} from './limits-api.js';
export {createTokenBucket, type TokenBucket} from './token-bucket.js';
