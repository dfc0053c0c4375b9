import type {
  EndpointId,
  HostId,
  Logger,
  ModelName,
  RequestId,
  Result,
  WorkspaceId,
} from '@chivewick/common';
import type {ListName} from '@chivewick/lists';
import type {ObjectApi} from '@chivewick/platform';

/** The two lists that operators edit. */
export const LIST_NAMES: readonly ListName[] = ['plans', 'entitlements'];

/** An administration key. Callers' keys are separate; they are in `plans`. */
export interface AdminKey {
  /** Name of the operator or tool; recorded in the history of the lists. */
  readonly name: string;
  /** SHA-256 of the key, in hex. */
  readonly sha256: string;
}

/** List versions in effect on one host. */
export interface HostVersions {
  readonly host: HostId;
  /** Object version of `plans` in effect; 0 if there is none yet. */
  readonly plans: number;
  readonly entitlements: number;
  /**
   * Whether the host recently confirmed them (section 5.3 of the design page).
   */
  readonly confirmed: boolean;
  /** Age of this report in milliseconds; 0 for the responding host itself. */
  readonly ageMs: number;
}

/** A host in the response of `/admin/hosts`. */
export interface HostRow {
  readonly host: HostId;
  readonly address: string;
  readonly failureDomain: string;
  readonly state: string;
}

/** An endpoint or service in the response of `/admin/endpoints`. */
export interface EndpointRow {
  readonly endpoint: EndpointId;
  readonly kind: 'endpoint' | 'service';
  readonly state: string;
  readonly failureDomain: string;
  readonly model?: string;
  readonly layers?: {readonly from: number; readonly to: number};
  readonly running?: number;
  readonly queued?: number;
}

/** Response of `/readyz`. */
export interface Readiness {
  readonly ready: boolean;
  /** Why the host is not ready, such as `shutting down`. */
  readonly reason?: string;
}

/**
 * What the administration API needs from the daemon. Rows that it only forwards
 * may have more fields than their type declares.
 */
export interface OperatorsOptions {
  readonly self: HostId;
  readonly keys: readonly AdminKey[];
  readonly objects: ObjectApi;
  readonly log: Logger;
  /** Largest accepted body in bytes; defaults to 1 MB, as in the object API. */
  readonly maxBodyBytes?: number;
  /** Time in which a body must arrive, in milliseconds; defaults to 10 s. */
  readonly bodyDeadlineMs?: number;
  /**
   * Called for each list that was written, before the response is sent, so that
   * the change is in effect on this host even if no watch delivers it.
   */
  readonly onListWritten?: (written: {
    readonly list: ListName;
    readonly version: number;
    readonly value: unknown;
  }) => Promise<void>;
  readonly readiness: () => Readiness;
  /** The metrics in Prometheus text format. */
  readonly metrics: () => Promise<string>;
  /** Versions in effect on this host and on each live peer host. */
  readonly versions: () => Promise<readonly HostVersions[]>;
  readonly hosts: () => readonly HostRow[];
  readonly endpoints: () => readonly EndpointRow[];
  /** The route that a request would get now, and the candidates for it. */
  readonly routes: (model: ModelName) => Promise<Result<unknown>>;
  /** State of a request on this host; undefined if it is unknown here. */
  readonly request: (request: RequestId) => Promise<unknown>;
  /** Outcome of a non-idempotent call. */
  readonly call: (
    workspace: WorkspaceId,
    key: string,
  ) => Promise<Result<unknown>>;
  /** Bans in force, with their evidence. */
  readonly quarantine: () => Promise<Result<readonly unknown[]>>;
}
