import type {Logger, Priority, Result, WorkspaceId} from '@chivewick/common';

/** `draft` is a model request, `lookup` a status read, `call` anything else. */
export type AdmissionClass = 'draft' | 'lookup' | 'call';

export interface AdmissionOptions {
  /**
   * Maximum drafts in progress on this host; read at every decision. Call
   * `refresh` after it has increased.
   */
  readonly capacity: () => number;
  /** The same for lookups and calls, which have their own slots. */
  readonly otherCapacity?: (cls: 'lookup' | 'call') => number;
  readonly log: Logger;
  /**
   * Weight of a workspace in the division of capacity, such as its plan's
   * concurrency; defaults to 1 for every workspace.
   */
  readonly weight?: (workspace: WorkspaceId) => number;
  /** Maximum waiting requests per class. */
  readonly maxQueued?: number;
}

export interface AdmissionRequest {
  readonly workspace: WorkspaceId;
  readonly priority: Priority;
  readonly class: AdmissionClass;
  /** Maximum wait of the request, in milliseconds from now. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Allows one request to run; call `release` when its work has ended. */
export interface AdmissionSlot {
  /** Ends the work; further calls have no effect. */
  release(): void;
}

/** Queue length and throughput of one class on this host. */
export interface ClassStatus {
  readonly class: AdmissionClass;
  readonly running: number;
  readonly waiting: number;
  /** Requests started since the process started. */
  readonly admitted: number;
  /** Requests shed since the process started. */
  readonly shed: number;
  /**
   * Completions per second that the slots allow at the observed hold time; 0
   * before the first completion.
   */
  readonly serviceRate: number;
}

export interface Admission {
  /**
   * Waits for a slot. Fails with `overloaded` (not run, with a retry-after)
   * when the request is shed, with `request_timeout` when its signal aborts, and
   * with `shutting_down` when `close` is called while it waits. In each case no
   * work has started.
   */
  acquire(request: AdmissionRequest): Promise<Result<AdmissionSlot>>;
  /** Admits waiting requests after the capacity has increased. */
  refresh(): void;
  status(): readonly ClassStatus[];
  close(): Promise<void>;
}
