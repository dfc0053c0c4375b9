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
import {createSuspensionDetector} from './suspension-detector.js';
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
  readonly limiter: WorkspaceLimiter;
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
    for (const {limiter} of entries.values()) limiter.invalidate();
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
    limiter: workspace => entryOf(workspace).limiter,
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
    limiter: WorkspaceLimiter,
  ) => {
    const before = calls.count();
    const target = limiter.target();
    const {reply, messages} = await calls.grant({
      workspace,
      holder,
      target,
      urgent: limiter.urgent(),
      touch: limiter.touch(),
      draining: limiter.draining(),
      version: limiter.view()?.version ?? 0,
      limit: limit(workspace),
      listsVersion: versionedLimit(workspace)?.listsVersion ?? 0,
    });
    if (reply?.kind === 'view') limiter.adopt(reply.view);
    const {allowance, tokensPerSecond} = limiter.status();
    const met = covers({concurrency: allowance, tokensPerSecond}, target);
    return {met, messages: Math.max(messages, calls.count() - before)};
  };

  function entryOf(workspace: WorkspaceId): Entry {
    const known = entries.get(workspace);
    if (known !== undefined) return known;
    const limiter = createWorkspaceLimiter({
      workspace,
      limit: () => limit(workspace),
      mayStart() {
        suspension.check();
        return !closing && isListed();
      },
      onShortage: () => requester.schedule(),
      waitMs: options.waitMs ?? DEFAULT_WAIT_MS,
      maxRequestMs,
    });
    const requester = createGrantRequester({
      requestGrant: () => requestGrant(workspace, limiter),
      dueInMs: () => (closing ? undefined : limiter.grantRequestDueInMs()),
      starved: () => limiter.starved(),
      credit,
      random,
    });
    const entry = {limiter, requester};
    entries.set(workspace, entry);
    return entry;
  }

  const release = (workspace: WorkspaceId, limiter: WorkspaceLimiter) =>
    releaseAllocation({
      platform,
      workspace,
      holder,
      lower: view => limiter.release(view),
      random: () => random.next(),
    });

  const onListsChange = () => {
    const version = lists?.()?.version ?? 0;
    if (version === listsVersion) return;
    listsVersion = version;
    for (const [workspace, {limiter}] of entries) {
      limiter.admitWaiting();
      if (!isRemoved(workspace) || limiter.view()?.own === undefined) continue;
      void release(workspace, limiter).then(done => {
        if (!done) listsVersion = -1;
      });
    }
  };

  const suspension = createSuspensionDetector(
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
      return entryOf(workspace).limiter.acquire(tokens, signal);
    },
    async handover() {
      closing = true;
      for (const {limiter, requester} of entries.values()) {
        requester.close();
        limiter.close();
      }
      const done = await Promise.all(
        [...entries]
          .filter(([, {limiter}]) => limiter.view() !== undefined)
          .map(([workspace, {limiter}]) => release(workspace, limiter)),
      );
      const left = done.filter(ok => !ok).length;
      if (left > 0) log.event('handoverIncomplete', {workspaces: left});
    },
    status: () => ({
      messages: calls.count(),
      workspaces: [...entries.values()].map(({limiter}) => limiter.status()),
    }),
    async close() {
      closing = true;
      suspension.close();
      for (const {limiter, requester} of entries.values()) {
        requester.close();
        limiter.close();
      }
    },
  };
}
