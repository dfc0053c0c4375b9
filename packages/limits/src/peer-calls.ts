import type {HostId, WorkspaceId} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {Holder} from './limits-object.js';
import {
  grantReplySchema,
  grantRequestSchema,
  reclaimReplySchema,
  reclaimRequestSchema,
  type GrantReply,
  type GrantRequest,
  type ReclaimReply,
  type ReclaimRequest,
} from './messages.js';
import {rebalancersOf} from './rebalancer.js';
import type {WorkspaceLimiter} from './workspace-limiter.js';

const GRANT_TIMEOUT_MS = 1_000;
const RECLAIM_TIMEOUT_MS = 300;

export interface PeerCallsOptions {
  readonly self: HostId;
  readonly peers: Peers;
  readonly live: () => readonly HostId[];
  readonly holder: Holder;
  readonly limiter: (workspace: WorkspaceId) => WorkspaceLimiter;
  readonly rebalance: (request: GrantRequest) => Promise<GrantReply>;
}

/** Calls between hosts for limits; calls to this host itself stay local. */
export interface PeerCalls {
  /**
   * Asks the workspace's rebalancing host for capacity. `messages` is the number
   * of calls that this cost; `reply` is undefined when it doesn't answer.
   */
  grant(
    request: GrantRequest,
  ): Promise<{reply: GrantReply | undefined; messages: number}>;
  /** Asks a holder for idle allowance; undefined when it doesn't answer. */
  reclaim(request: ReclaimRequest): Promise<ReclaimReply | undefined>;
  /** Number of calls made to other hosts. */
  count(): number;
}

/**
 * Creates the calls and registers their handlers.
 *
 * @example
 * const calls = createPeerCalls({self, peers, live, holder, limiter, rebalance});
 */
export function createPeerCalls(options: PeerCallsOptions): PeerCalls {
  const {self, peers, holder} = options;
  let count = 0;
  let consecutiveFailures = 0;

  const onReclaim = (params: unknown): ReclaimReply => {
    const {workspace, ...request} = reclaimRequestSchema.parse(params);
    if (request.holder.incarnation !== holder.incarnation) {
      return {kind: 'replaced'};
    }
    return options.limiter(workspace).reclaim(request);
  };

  peers.handle('limits.reclaim', onReclaim);
  peers.handle('limits.grant', (params: unknown) =>
    options.rebalance(grantRequestSchema.parse(params)),
  );

  return {
    async grant(request) {
      const hosts = rebalancersOf(request.workspace, options.live());
      // While calls fail, alternates between the first two hosts of the order.
      const target =
        hosts[consecutiveFailures % Math.max(1, Math.min(2, hosts.length))];
      if (target === undefined || target === self) {
        consecutiveFailures = 0;
        const reply = await options.rebalance(request);
        return {reply, messages: 0};
      }
      count += 1;
      const res = await peers.call<unknown>(target, 'limits.grant', request, {
        timeoutMs: GRANT_TIMEOUT_MS,
      });
      const parsed = grantReplySchema.safeParse(res.ok && res.value);
      consecutiveFailures = parsed.success ? 0 : consecutiveFailures + 1;
      if (!parsed.success) return {reply: undefined, messages: 1};
      const sharedMessages =
        parsed.data.kind === 'view' ? parsed.data.messages : 0;
      return {reply: parsed.data, messages: 1 + sharedMessages};
    },
    async reclaim(request) {
      const {host} = request.holder;
      if (host === self) return onReclaim(request);
      count += 1;
      const res = await peers.call<unknown>(host, 'limits.reclaim', request, {
        timeoutMs: RECLAIM_TIMEOUT_MS,
      });
      const parsed = reclaimReplySchema.safeParse(res.ok && res.value);
      return parsed.success ? parsed.data : undefined;
    },
    count: () => count,
  };
}
