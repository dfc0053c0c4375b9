import {
  rendezvousOrder,
  type HostId,
  type Logger,
  type WorkspaceId,
} from '@chivewick/common';
import {isDeepStrictEqual} from 'node:util';
import {createIdleEstimates} from './idle-estimates.js';
import {
  holderKey,
  limitsKey,
  parseLimitsObject,
  type LimitsObject,
  type VersionedLimits,
} from './limits-object.js';
import type {GrantReply, GrantRequest, ReclaimRequest} from './messages.js';
import {
  createRound,
  type Round,
  type RoundOptions,
  type VersionedLimit,
} from './round.js';

/** Maximum attempts of a round, each on a newer version of the object. */
const MAX_ATTEMPTS = 4;

export interface RebalancerOptions extends Omit<
  RoundOptions,
  'workspace' | 'idle'
> {
  /** The limit according to this host's lists. */
  readonly limit: (workspace: WorkspaceId) => VersionedLimit | undefined;
  readonly log: Logger;
}

/**
 * Moves allowance between hosts, for the workspaces whose hosts send their
 * requests to this host.
 */
export interface Rebalancer {
  request(request: GrantRequest): Promise<GrantReply>;
  /** Records which holders in the cached objects are absent. */
  observe(): void;
}

interface Pending {
  readonly request: GrantRequest;
  readonly resolve: (reply: GrantReply) => void;
}

interface RoundState {
  readonly round: Round;
  pending: Pending[];
  running: boolean;
  calls: number;
  cached?: VersionedLimits;
}

/**
 * Creates the rebalancer. Requests that arrive during a round of the same
 * workspace are batched into the next round, and so into one write. Any number
 * of hosts may rebalance a workspace at the same time: the conditional write on
 * the version that the pledges were made for lets only one of them succeed.
 *
 * @example
 * const rebalancer = createRebalancer({platform, live, absence, reclaim, limit, log});
 * const reply = await rebalancer.request(request);
 */
export function createRebalancer(options: RebalancerOptions): Rebalancer {
  const states = new Map<WorkspaceId, RoundState>();

  const stateOf = (workspace: WorkspaceId): RoundState => {
    const known = states.get(workspace);
    if (known !== undefined) return known;
    const reclaim = (request: ReclaimRequest) => {
      state.calls += 1;
      return options.reclaim(request);
    };
    const idle = createIdleEstimates();
    const round = createRound({...options, workspace, idle, reclaim});
    const state: RoundState = {round, pending: [], running: false, calls: 0};
    states.set(workspace, state);
    return state;
  };

  const newestLimit = (
    workspace: WorkspaceId,
    requests: readonly GrantRequest[],
  ): VersionedLimit =>
    requests.reduce<VersionedLimit>(
      (newest, req) => (req.listsVersion > newest.listsVersion ? req : newest),
      options.limit(workspace) ?? requests[0],
    );

  const load = async (
    workspace: WorkspaceId,
    state: RoundState,
    requests: readonly GrantRequest[],
  ): Promise<VersionedLimits | undefined> => {
    const newest = Math.max(...requests.map(({version}) => version));
    if (state.cached !== undefined && state.cached.version >= newest) {
      return state.cached;
    }
    const read = await options.platform.get(limitsKey(workspace));
    if (!read.ok) return undefined;
    const {limit, listsVersion} = newestLimit(workspace, requests);
    const empty = {limit, listsVersion, allocations: {}};
    state.cached =
      read.value === undefined
        ? {version: 0, value: empty}
        : {
            version: read.value.version,
            value: parseLimitsObject(read.value.value),
          };
    return state.cached;
  };

  /** Returns undefined if another attempt on a newer version is needed. */
  const attempt = async (
    workspace: WorkspaceId,
    state: RoundState,
    base: VersionedLimits,
    requests: readonly GrantRequest[],
  ): Promise<VersionedLimits | undefined> => {
    const newest = newestLimit(workspace, requests);
    const planned = await state.round.plan(base, requests, newest);
    if (planned === undefined) return undefined;
    const next = withoutEmpty(planned);
    if (isDeepStrictEqual(next, base.value)) return base;
    const expected = base.version === 0 ? 'absent' : base.version;
    const key = limitsKey(workspace);
    const outcome = await options.platform.put(key, next, expected);
    if (outcome.kind !== 'written') return undefined;
    options.log.event('allocationChanged', {
      workspace,
      version: outcome.version,
      allocations: Object.keys(next.allocations).length,
    });
    return {version: outcome.version, value: next};
  };

  const rebalance = async (
    workspace: WorkspaceId,
    state: RoundState,
    requests: readonly GrantRequest[],
  ): Promise<VersionedLimits | undefined> => {
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const base = await load(workspace, state, requests);
      if (base === undefined) return undefined;
      // A write whose response was lost needs no write ID: whether or not it
      // took effect, the next attempt starts from the version that it reads.
      state.cached = await attempt(workspace, state, base, requests);
      if (state.cached !== undefined) return state.cached;
    }
    return undefined;
  };

  const runRounds = async (workspace: WorkspaceId, state: RoundState) => {
    state.running = true;
    while (state.pending.length > 0) {
      const batch = state.pending;
      state.pending = [];
      const before = state.calls;
      const result = await rebalance(
        workspace,
        state,
        latestPerHolder(batch),
      ).catch((err: unknown) => {
        options.log.event('rebalanceFailed', {workspace, err: String(err)});
        return undefined;
      });
      const messages = (state.calls - before) / batch.length;
      for (const {request, resolve} of batch) {
        resolve(replyTo(request, result, messages));
      }
    }
    state.running = false;
  };

  return {
    request: request =>
      new Promise(resolve => {
        const {workspace} = request;
        const state = stateOf(workspace);
        state.pending.push({request, resolve});
        if (!state.running) void runRounds(workspace, state);
      }),
    observe() {
      for (const {cached} of states.values()) {
        if (cached !== undefined) options.absence.observe(cached.value);
      }
    },
  };
}

/**
 * Returns the host that rebalances a workspace, followed by its successors.
 *
 * @example
 * const [first, second] = rebalancersOf(workspace, liveHosts);
 */
export function rebalancersOf(
  workspace: WorkspaceId,
  live: readonly HostId[],
): HostId[] {
  return rendezvousOrder(limitsKey(workspace), live);
}

function replyTo(
  request: GrantRequest,
  result: VersionedLimits | undefined,
  messages: number,
): GrantReply {
  if (result === undefined) return {kind: 'unavailable'};
  const {version, value} = result;
  const own = value.allocations[holderKey(request.holder)];
  return {kind: 'view', view: {version, limit: value.limit, own}, messages};
}

/** Keeps each holder's last request; it may repeat one whose reply was lost. */
function latestPerHolder(batch: readonly Pending[]): GrantRequest[] {
  const latest = new Map(
    batch.map(({request}) => [holderKey(request.holder), request]),
  );
  return [...latest.values()];
}

/** Removes entries without capacity, so that the object stays small. */
function withoutEmpty(object: LimitsObject): LimitsObject {
  const kept = Object.entries(object.allocations).filter(
    ([, {concurrency, tokensPerSecond, draining}]) =>
      concurrency + tokensPerSecond + draining > 0,
  );
  return {...object, allocations: Object.fromEntries(kept)};
}
