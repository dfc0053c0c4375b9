import {fail, type WorkspaceGrant, type WorkspaceId} from '@chivewick/common';
import {createAbsenceTracker} from './absence.js';
import {
  createGrantRequester,
  createMessageCredit,
  type GrantRequester,
} from './grant-requester.js';
import {covers, limitOf, type Capacity} from './capacity.js';
import type {Limits, LimitsOptions} from './limits-api.js';
import type {Holder} from './limits-object.js';
import {createPauseDetector} from './pause-detector.js';
import {createPeerCalls} from './peer-calls.js';
import {createRebalancer} from './rebalancer.js';
import {releaseAllocation} from './release-allocation.js';
import {
  createWorkspaceLimiter,
  type WorkspaceLimiter,
} from './workspace-limiter.js';

const DEFAULT_MAX_REQUEST_MS = 600_000;
const DEFAULT_WAIT_MS = 3_000;

interface Entry {
  readonly state: WorkspaceLimiter;
  readonly requester: GrantRequester;
}

/**
 * Creates the limits of this host and registers the handlers of `limits.grant`
 * and `limits.reclaim`. The package comment in `index.ts` states the invariant.
 *
 * @example
 * const limits = createLimits({self, platform, peers, live, lists, log, random});
 * const permit = await limits.acquire(grant, 256, AbortSignal.timeout(1000));
 * if (permit.ok) permit.value.release();
 */
export function createLimits(options: LimitsOptions): Limits {
  const {self, platform, live, lists, log, random} = options;
  const maxRequestMs = options.maxRequestMs ?? DEFAULT_MAX_REQUEST_MS;
  const listed = options.listed ?? live;
  const holder: Holder = {host: self, incarnation: random.int(2 ** 31)};
  const entries = new Map<WorkspaceId, Entry>();
  const grants = new Map<WorkspaceId, WorkspaceGrant>();
  const absence = createAbsenceTracker(listed, maxRequestMs);
  const credit = createMessageCredit();
  let closing = false;
  let wasListed = true;
  let listsVersion = -1;

  const limit = (workspace: WorkspaceId): Capacity =>
    limitOf((lists ? lists()?.grants : grants)?.get(workspace));

  const versionedLimit = (workspace: WorkspaceId) => {
    const known = lists ? lists() : {version: 0, grants};
    if (!known?.grants.has(workspace) && lists === undefined) return undefined;
    return {limit: limit(workspace), listsVersion: known?.version ?? -1};
  };

  const isRemoved = (workspace: WorkspaceId) => {
    const current = lists?.();
    return current !== undefined && !current.grants.has(workspace);
  };

  const invalidateAll = () => {
    for (const {state} of entries.values()) state.invalidate();
  };

  // While this host is not listed, another one may free its allocations.
  const isListed = () => {
    const present = listed().includes(self);
    if (!present && wasListed) invalidateAll();
    wasListed = present;
    return present;
  };

  const calls = createPeerCalls({
    ...options,
    holder,
    state: workspace => entryOf(workspace).state,
    rebalance: request => rebalancer.request(request),
  });

  const rebalancer = createRebalancer({
    platform,
    live,
    absence,
    log,
    limit: versionedLimit,
    reclaim: request => calls.reclaim(request),
  });

  const requestGrant = async (
    workspace: WorkspaceId,
    state: WorkspaceLimiter,
  ) => {
    const before = calls.count();
    const target = state.target();
    const {reply, messages} = await calls.grant({
      workspace,
      holder,
      target,
      urgent: state.urgent(),
      touch: state.touch(),
      draining: state.draining(),
      version: state.view()?.version ?? 0,
      limit: limit(workspace),
      listsVersion: versionedLimit(workspace)?.listsVersion ?? 0,
    });
    if (reply?.kind === 'view') state.adopt(reply.view);
    const {allowance, tokensPerSecond} = state.status();
    const met = covers({concurrency: allowance, tokensPerSecond}, target);
    return {met, messages: Math.max(messages, calls.count() - before)};
  };

  function entryOf(workspace: WorkspaceId): Entry {
    const known = entries.get(workspace);
    if (known !== undefined) return known;
    const state = createWorkspaceLimiter({
      workspace,
      limit: () => limit(workspace),
      mayStart() {
        pause.check();
        return !closing && isListed();
      },
      onShortage: () => requester.schedule(),
      waitMs: options.waitMs ?? DEFAULT_WAIT_MS,
      maxRequestMs,
    });
    const requester = createGrantRequester({
      requestGrant: () => requestGrant(workspace, state),
      dueInMs: () => (closing ? undefined : state.grantRequestDueInMs()),
      starved: () => state.starved(),
      credit,
      random,
    });
    const entry = {state, requester};
    entries.set(workspace, entry);
    return entry;
  }

  const release = (workspace: WorkspaceId, state: WorkspaceLimiter) =>
    releaseAllocation({
      platform,
      workspace,
      holder,
      lower: view => state.release(view),
      random: () => random.next(),
    });

  const onListsChange = () => {
    const version = lists?.()?.version ?? 0;
    if (version === listsVersion) return;
    listsVersion = version;
    for (const [workspace, {state}] of entries) {
      state.admitWaiting();
      if (!isRemoved(workspace) || state.view()?.own === undefined) continue;
      void release(workspace, state).then(done => {
        if (!done) listsVersion = -1;
      });
    }
  };

  const pause = createPauseDetector(
    maxRequestMs / 2,
    () => {
      isListed();
      rebalancer.observe();
      onListsChange();
    },
    gapMs => {
      log.event('allocationsDistrusted', {gapMs: Math.round(gapMs)});
      invalidateAll();
    },
  );

  return {
    async acquire(grant, tokens, signal) {
      const {workspace} = grant;
      if (closing) return fail('shutting_down', 'the host is shutting down');
      if (isRemoved(workspace)) {
        return fail('forbidden', `workspace ${workspace} is not in the plans`);
      }
      grants.set(workspace, grant);
      credit.earn(1);
      return entryOf(workspace).state.acquire(tokens, signal);
    },
    async handover() {
      closing = true;
      for (const {state, requester} of entries.values()) {
        requester.close();
        state.close();
      }
      const done = await Promise.all(
        [...entries]
          .filter(([, {state}]) => state.view() !== undefined)
          .map(([workspace, {state}]) => release(workspace, state)),
      );
      const left = done.filter(ok => !ok).length;
      if (left > 0) log.event('handoverIncomplete', {workspaces: left});
    },
    status: () => ({
      messages: calls.count(),
      workspaces: [...entries.values()].map(({state}) => state.status()),
    }),
    async close() {
      closing = true;
      pause.close();
      for (const {state, requester} of entries.values()) {
        requester.close();
        state.close();
      }
    },
  };
}
