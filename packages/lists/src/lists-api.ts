import type {
  FailureDomain,
  Firm,
  HostId,
  Logger,
  ModelGrant,
  ModelName,
  Random,
  ServiceGrant,
  ServiceName,
  WorkspaceGrant,
  WorkspaceId,
} from '@chivewick/common';
import type {Membership} from '@chivewick/membership';
import type {Peers} from '@chivewick/peers';
import type {ObjectApi} from '@chivewick/platform';

/** The two lists that operators edit. */
export type ListName = 'plans' | 'entitlements';

/** Workspaces, their keys (SHA-256 in hex) and the plan that each has. */
export interface PlansList {
  readonly workspaces: Readonly<
    Record<string, {readonly plan: string; readonly keys: readonly string[]}>
  >;
}

/** What each plan may use, and the models and services that exist. */
export interface EntitlementsList {
  readonly models: Readonly<Record<string, ModelEntry>>;
  readonly services: Readonly<Record<string, ServiceEntry>>;
  readonly plans: Readonly<Record<string, PlanEntry>>;
}

/** A model that plans may grant. */
export interface ModelEntry {
  readonly version: string;
  readonly layers: number;
  readonly adapters: readonly string[];
}

/** A service that plans may grant. */
export interface ServiceEntry {
  readonly repeatable: boolean;
  readonly nonRepeatablePaths: readonly string[];
}

/** Models, services and limits that a plan grants. */
export interface PlanEntry {
  /** `model`, and `model:adapter` for each adapter granted with it. */
  readonly models: readonly string[];
  readonly services: readonly string[];
  readonly priority: number;
  readonly concurrency: number;
  readonly tokensPerSecond: number;
}

/** A validation error of a list value, without a file position. */
export interface ListFault {
  readonly list: ListName;
  /** Path of the key, such as `workspaces.san-fermin.plan`. */
  readonly key: string;
  readonly message: string;
  readonly hint?: string;
}

/** Object versions of the two lists in the platform's store. */
export interface ListVersions {
  readonly plans: number;
  readonly entitlements: number;
}

/** Both lists as they were in the store at one moment. */
export interface ListPair {
  readonly versions: ListVersions;
  readonly plans: PlansList;
  readonly entitlements: EntitlementsList;
}

/** The pair in effect on this host with its resolved grants; immutable. */
export interface ListsSnapshot extends ListPair {
  readonly grants: ReadonlyMap<WorkspaceId, WorkspaceGrant>;
  /** All models and services that the entitlements name. */
  readonly models: ReadonlyMap<ModelName, ModelGrant>;
  readonly services: ReadonlyMap<ServiceName, ServiceGrant>;
  /** The workspace that has a key, by the key's SHA-256 in hex. */
  grantOfKey(digest: string): WorkspaceGrant | undefined;
}

/** Status of the lists on this host. */
export interface ListsStatus {
  readonly versions?: ListVersions;
  /** Digest of both lists in effect; equal on hosts with equal lists. */
  readonly digest?: string;
  readonly confirmed: boolean;
  /** Whether this host watches the platform's store for its failure domain. */
  readonly watching: boolean;
  readonly source?: ListSource;
  /** Time since the platform last responded, in milliseconds. */
  readonly platformAgeMs?: number;
  /** Time since a peer host was last in contact, in milliseconds. */
  readonly peerAgeMs?: number;
  /** The newest versions in the store, if they are invalid. */
  readonly invalid?: InvalidPair;
  /**
   * Versions in the store if they are lower than those in effect, for example
   * after a restore. Edits take effect once their versions are higher.
   */
  readonly storeBehind?: ListVersions;
}

/** List versions that a peer host reported in its last message. */
export interface PeerVersions {
  readonly host: HostId;
  /** Undefined while the peer host has no pair yet. */
  readonly versions: ListVersions | undefined;
  readonly confirmed: boolean;
  readonly ageMs: number;
}

/** A list as it was written to the store. */
export interface WrittenList {
  readonly list: ListName;
  /** Object version that the write was assigned. */
  readonly version: number;
  readonly value: unknown;
}

/** How the pair in effect reached this host. */
export type ListSource = 'platform' | 'peer' | 'peers_in_outage';

/** A pair that was rejected, and why. */
export interface InvalidPair {
  /** Versions of the rejected pair; both 0 if an object is missing. */
  readonly versions: ListVersions;
  readonly faults: readonly ListFault[];
}

/** The lists on this host. */
export interface Lists {
  /**
   * Starts loading the lists and following changes. Resolves after the first
   * attempt to load them, which may have failed; retries continue until
   * `close`.
   */
  start(): Promise<void>;
  /** The pair in effect; undefined until one was loaded. */
  snapshot(): ListsSnapshot | undefined;
  /**
   * Whether this host may serve requests with its lists: it has a pair, and was
   * in contact with the platform or a peer host within 10 s.
   */
  confirmed(): boolean;
  /** Calls `fn` after each adoption; returns a function that unsubscribes. */
  onChange(
    fn: (after: ListsSnapshot, before: ListsSnapshot | undefined) => void,
  ): () => void;
  /**
   * Applies a list that this host has just written to the store, so that the
   * change does not depend on a watch. Resolves once it is in effect here and
   * being pushed to peer hosts, or was rejected; takes at most a few seconds.
   */
  applyWritten(written: WrittenList): Promise<void>;
  status(): ListsStatus;
  /** Versions that peer hosts reported in their last messages. */
  peerVersions(): PeerVersions[];
  close(): Promise<void>;
}

export interface ListsOptions {
  readonly self: HostId;
  readonly firm: Firm;
  readonly failureDomain: FailureDomain;
  readonly platform: ObjectApi;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly log: Logger;
  readonly random?: Random;
  /**
   * Failure domain of a peer host according to the host list. If undefined,
   * failure domains are learned from pings.
   */
  readonly domainOf?: (host: HostId) => FailureDomain | undefined;
}
