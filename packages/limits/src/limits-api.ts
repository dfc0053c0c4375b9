import type {
  HostId,
  Logger,
  Random,
  Result,
  WorkspaceGrant,
  WorkspaceId,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {ObjectApi} from '@chivewick/platform';

/** The part of the lists in effect that limits use. */
export interface LimitsLists {
  /** Sum of the versions of both lists; never decreases on a host. */
  readonly version: number;
  readonly grants: ReadonlyMap<WorkspaceId, WorkspaceGrant>;
}

export interface LimitsOptions {
  readonly self: HostId;
  readonly platform: ObjectApi;
  readonly peers: Peers;
  /** Live hosts of this firm, this one included. */
  readonly live: () => readonly HostId[];
  /** Hosts in the platform's host list; defaults to `live`. */
  readonly listed?: () => readonly HostId[];
  /** The lists in effect; if absent, the grant passed to `acquire` applies. */
  readonly lists?: () => LimitsLists | undefined;
  readonly log: Logger;
  readonly random: Random;
  /** Maximum request duration, in milliseconds; the permit expires after it. */
  readonly maxRequestMs?: number;
  /** Maximum time a request waits for allowance, in milliseconds. */
  readonly waitMs?: number;
}

/** Allows one request to run; release it when the request has ended. */
export interface Permit {
  /** Aborts when the maximum request duration has passed. */
  readonly expired: AbortSignal;
  /** Adds to the count of generated tokens. */
  recordTokens(count: number): void;
  /** Ends the request; further calls have no effect. */
  release(): void;
}

/** Use and allowance of one workspace on this host. */
export interface WorkspaceStatus {
  readonly workspace: WorkspaceId;
  /** Requests in progress on this host. */
  readonly inUse: number;
  readonly waiting: number;
  /** Requests that this host may have in progress. */
  readonly allowance: number;
  /** Generated tokens per second that this host may admit. */
  readonly tokensPerSecond: number;
  /** Version of the object that the allowance is based on; 0 if none. */
  readonly version: number;
}

export interface LimitsStatus {
  readonly workspaces: readonly WorkspaceStatus[];
  /** Calls made to peer hosts since the process started. */
  readonly messages: number;
}

export interface Limits {
  /**
   * Waits for a slot and for tokens of the workspace's plan. Fails with
   * `limit_exceeded` and a retry-after when none becomes free in time, with
   * `forbidden` when the workspace has been removed, with `shutting_down`
   * after `handover`, and with `request_timeout` when the signal aborts.
   *
   * @param tokens maximum tokens that the request may generate; 0 if it
   *   generates none.
   */
  acquire(
    grant: WorkspaceGrant,
    tokens: number,
    signal: AbortSignal,
  ): Promise<Result<Permit>>;
  /** Stops admitting requests and frees the allocations that are not in use. */
  handover(): Promise<void>;
  status(): LimitsStatus;
  close(): Promise<void>;
}
