import type {HostId, WorkspaceId} from '@chivewick/common';
import type {ObjectApi} from '@chivewick/platform';
import {isDeepStrictEqual} from 'node:util';
import type {AbsenceTracker} from './absence.js';
import {
  covers,
  NO_CAPACITY,
  rescale,
  minCapacity,
  type Capacity,
} from './capacity.js';
import type {IdleEstimates} from './idle-estimates.js';
import {
  holderKey,
  type Allocation,
  type LimitsObject,
  type VersionedLimits,
} from './limits-object.js';
import type {ReclaimReply, ReclaimRequest} from './messages.js';
import {
  grantRequests,
  capacityToReclaim,
  planReclaims,
  type CapacityRequest,
  type PlannedReclaim,
} from './rebalance-plan.js';

/** Maximum holders that are asked at the same time. */
const MAX_CONCURRENT_RECLAIMS = 16;
/** Maximum batches of reclaims in a round. */
const MAX_RECLAIM_BATCHES = 2;
/** Delay before lowering a limit is retried after a holder didn't answer. */
const RELIMIT_RETRY_MS = 2_000;

/** A limit and the version of the lists that it comes from. */
export interface VersionedLimit {
  readonly limit: Capacity;
  readonly listsVersion: number;
}

export interface RoundOptions {
  readonly workspace: WorkspaceId;
  readonly platform: ObjectApi;
  readonly live: () => readonly HostId[];
  readonly absence: AbsenceTracker;
  readonly idle: IdleEstimates;
  /** Reclaims a holder's idle allowance; undefined when it doesn't answer. */
  readonly reclaim: (
    request: ReclaimRequest,
  ) => Promise<ReclaimReply | undefined>;
}

/** The steps of a rebalancing round of one workspace. */
export interface Round {
  /**
   * Returns the object with allocations lowered, as pledged by their holders,
   * and capacity granted to the requests; undefined when a holder has seen a
   * newer version.
   */
  plan(
    base: VersionedLimits,
    requests: readonly CapacityRequest[],
    newest: VersionedLimit,
  ): Promise<LimitsObject | undefined>;
}

/**
 * Creates the planner of rebalancing rounds. It writes nothing. An allocation
 * is lowered in the result only after its holder has lowered its allowance, or
 * when its holder has been dead for long enough to be freed.
 *
 * @example
 * const next = await createRound(options).plan(base, requests, newest);
 */
export function createRound(options: RoundOptions): Round {
  const {workspace, absence, idle} = options;
  let relimitAfterMs = 0;

  const reclaimFrom = async (
    base: VersionedLimits,
    {allocation, take}: PlannedReclaim,
    {relimit, urgent = false}: {relimit?: Capacity; urgent?: boolean} = {},
  ) => {
    const reply = await options.reclaim({
      workspace,
      holder: allocation,
      view: {version: base.version, limit: base.value.limit, own: allocation},
      take,
      urgent,
      relimit,
    });
    if (reply?.kind === 'replaced') absence.markReplaced(holderKey(allocation));
    const spare = reply?.kind === 'pledged' ? reply.idle : NO_CAPACITY;
    if (relimit === undefined) idle.record(allocation, spare);
    return {allocation, reply};
  };

  /** Takes nothing; asks holders to apply a lower limit or report draining. */
  const reclaimFromAll = async (
    base: VersionedLimits,
    holders: readonly Allocation[],
    relimit?: Capacity,
  ): Promise<HolderReplies> => {
    const replies = await Promise.all(
      holders.map(allocation =>
        reclaimFrom(base, {allocation, take: NO_CAPACITY}, {relimit}),
      ),
    );
    const kinds = replies.map(({reply}) => reply?.kind);
    return {
      replies,
      stale: kinds.includes('stale'),
      complete: kinds.every(kind => kind === 'pledged'),
    };
  };

  const lowerLimit = async (
    base: VersionedLimits,
    value: LimitsObject,
    {limit, listsVersion}: VersionedLimit,
  ): Promise<LimitsObject | undefined> => {
    if (performance.now() < relimitAfterMs) return value;
    const lowered = minCapacity(limit, value.limit);
    const holders = Object.values(value.allocations);
    const {replies, stale, complete} = await reclaimFromAll(
      base,
      holders,
      lowered,
    );
    if (stale) return undefined;
    if (complete)
      return {...applyReplies(value, replies), limit: lowered, listsVersion};
    relimitAfterMs = performance.now() + RELIMIT_RETRY_MS;
    return value;
  };

  /**
   * Raising the limit keeps each holder's share of it. A holder that has not
   * seen the raise may still scale its old allocation to a later change of the
   * lists, and the other holders' shares must not have grown by then.
   */
  const raiseLimit = async (
    base: VersionedLimits,
    value: LimitsObject,
    {limit, listsVersion}: VersionedLimit,
  ): Promise<LimitsObject | undefined> => {
    const draining = Object.values(value.allocations).filter(isDraining);
    const {replies, stale} = await reclaimFromAll(base, draining);
    if (stale) return undefined;
    const drained = applyReplies(value, replies);
    if (Object.values(drained.allocations).some(isDraining)) return drained;
    const allocations = Object.fromEntries(
      Object.entries(drained.allocations).map(([key, entry]) => [
        key,
        {...entry, ...rescale(entry, value.limit, limit)},
      ]),
    );
    return {limit, listsVersion, allocations};
  };

  const relimit = async (
    base: VersionedLimits,
    value: LimitsObject,
    newest: VersionedLimit,
  ): Promise<LimitsObject | undefined> => {
    if (newest.listsVersion < value.listsVersion) return value;
    if (isDeepStrictEqual(newest.limit, value.limit)) return value;
    return covers(newest.limit, value.limit)
      ? raiseLimit(base, value, newest)
      : lowerLimit(base, value, newest);
  };

  const reclaimCapacity = async (
    base: VersionedLimits,
    value: LimitsObject,
    requests: readonly CapacityRequest[],
  ): Promise<LimitsObject | undefined> => {
    const urgent = requests.some(request => request.urgent);
    const excluded = new Set(requests.map(({holder}) => holderKey(holder)));
    for (let batch = 0; batch < MAX_RECLAIM_BATCHES; batch += 1) {
      const missing = capacityToReclaim(value, requests);
      const candidates = Object.values(value.allocations).filter(
        allocation => !excluded.has(holderKey(allocation)),
      );
      const takes = planReclaims(
        missing,
        candidates,
        allocation => idle.estimate(allocation),
        MAX_CONCURRENT_RECLAIMS,
      );
      if (takes.length === 0) break;
      for (const {allocation} of takes) excluded.add(holderKey(allocation));
      const replies = await Promise.all(
        takes.map(take => reclaimFrom(base, take, {urgent})),
      );
      if (replies.some(({reply}) => reply?.kind === 'stale')) return undefined;
      value = applyReplies(value, replies);
    }
    return value;
  };

  return {
    async plan(base, requests, newest) {
      absence.observe(base.value);
      // Reported draining counts are relative to the allocation in this version.
      // They are applied before the limit is lowered, since the replies to the
      // lowering contain new counts.
      const current = applyDrainingReports(
        withoutExpired(base.value, absence),
        base.version,
        requests,
      );
      const relimited = await relimit(base, current, newest);
      if (relimited === undefined) return undefined;
      // Amounts under a changed limit are in units of the new limit, so a
      // reclaim under the old one has to wait for the next version.
      const lowered = isDeepStrictEqual(relimited.limit, current.limit)
        ? await reclaimCapacity(base, relimited, requests)
        : relimited;
      if (lowered === undefined) return undefined;
      return grantRequests(lowered, requests, options.live().length);
    },
  };
}

interface HolderReply {
  readonly allocation: Allocation;
  readonly reply: ReclaimReply | undefined;
}

interface HolderReplies {
  readonly replies: readonly HolderReply[];
  /** Whether a holder has seen a newer version. */
  readonly stale: boolean;
  /** Whether all holders have lowered their allowance. */
  readonly complete: boolean;
}

const isDraining = ({draining}: Allocation) => draining > 0;

function applyReplies(
  value: LimitsObject,
  replies: readonly HolderReply[],
): LimitsObject {
  const allocations = {...value.allocations};
  for (const {allocation, reply} of replies) {
    if (reply?.kind !== 'pledged') continue;
    allocations[holderKey(allocation)] = {
      ...allocation,
      ...minCapacity(allocation, reply.keep),
      draining: reply.draining,
    };
  }
  return {...value, allocations};
}

/**
 * Applies the draining counts that the requesting hosts report. A report is
 * valid only for the version that it was made under: under a later version the
 * host may have more requests in progress.
 */
function applyDrainingReports(
  value: LimitsObject,
  version: number,
  requests: readonly CapacityRequest[],
): LimitsObject {
  const allocations = {...value.allocations};
  for (const request of requests) {
    const entry = allocations[holderKey(request.holder)];
    if (entry === undefined || request.version !== version) continue;
    const draining = Math.min(entry.draining, request.draining);
    allocations[holderKey(request.holder)] = {...entry, draining};
  }
  return {...value, allocations};
}

function withoutExpired(
  value: LimitsObject,
  absence: AbsenceTracker,
): LimitsObject {
  const kept = Object.entries(value.allocations).filter(
    ([, allocation]) => !absence.expired(allocation),
  );
  return {...value, allocations: Object.fromEntries(kept)};
}
