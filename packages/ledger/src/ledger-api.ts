import type {
  Failure,
  HostId,
  Logger,
  ServiceName,
  WorkspaceId,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {ObjectApi} from '@chivewick/platform';
import type {
  ServiceResponse,
  ServiceApi,
  ServiceCall,
} from '@chivewick/services';
import type {LedgerSettings} from './options.js';

/** The outcome of a non-idempotent call; on failure, `err.ran` says whether it ran. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly answer: ServiceResponse;
      /** True if the answer is that of an earlier call with the same key. */
      readonly replayed: boolean;
    }
  | {readonly kind: 'failed'; readonly err: Failure};

/** A call that must run at most once for its workspace and key. */
export interface LedgerCall {
  readonly workspace: WorkspaceId;
  readonly service: ServiceName;
  /** The caller's Idempotency-Key. */
  readonly key: string;
  readonly call: ServiceCall;
  /** Time for which the caller waits, in milliseconds from now. */
  readonly deadlineMs: number;
}

/** State of the ledger on this host. */
export interface LedgerStatus {
  readonly partitions: readonly {
    readonly partition: number;
    readonly term: number;
    /** Entries in the partition object; sealed ones are not counted. */
    readonly entries: number;
    /** Estimated size of the partition object, in bytes. */
    readonly bytes: number;
    readonly segments: number;
  }[];
  /** Writes to the platform since the ledger was created. */
  readonly writes: number;
  /** Outcomes in partitions that this host lost, not yet accepted by their owner. */
  readonly lateReports: number;
}

/** Runs non-idempotent calls at most once. */
export interface Ledger {
  /**
   * Runs the call, joins a running one with the same key, or returns the answer
   * of a finished one. Fails with `not_run` only if this call can no longer run.
   */
  call(request: LedgerCall): Promise<CallOutcome>;
  /** Returns the outcome recorded for a key; never runs a call. */
  lookup(workspace: WorkspaceId, key: string): Promise<CallOutcome>;
  /** Starts no new calls, lets running ones finish and releases partitions. */
  handover(): Promise<void>;
  /** Stops immediately; intents without an outcome become `unknown`. */
  close(): Promise<void>;
  status(): LedgerStatus;
}

export interface LedgerOptions {
  readonly self: HostId;
  readonly platform: ObjectApi;
  readonly peers: Peers;
  readonly services: ServiceApi;
  /** Hosts that may own partitions, including this one. */
  readonly live: () => HostId[];
  /** Addresses of a service's endpoints in order of preference. */
  readonly endpoints: (service: ServiceName) => string[];
  readonly log: Logger;
  /** Overrides of the defaults; `partitions` must be the same on all hosts. */
  readonly settings?: Partial<LedgerSettings>;
}
