import type {
  EndpointId,
  FailureDomain,
  HostId,
  Logger,
  ModelGrant,
  Random,
} from '@chivewick/common';
import type {DesiredEngine, EngineApi} from '@chivewick/engines';
import type {ObjectApi} from '@chivewick/platform';
import type {EngineView, Plan} from './plan-types.js';
import type {WeightStore} from '@chivewick/weight-store';

/** A model engine as listed in the platform's host list. */
export interface OrdersEndpoint {
  readonly id: EndpointId;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly state: 'live' | 'leaving';
}

/**
 * The models that at least one plan grants, according to the lists in effect.
 */
export interface GrantedModels {
  /** Object version of the entitlements; newer lists have a higher one. */
  readonly version: number;
  readonly models: readonly ModelGrant[];
}

/** Value of `orders/lease`. */
export interface LeaseValue {
  readonly holder: HostId;
  /**
   * Identifies one run of one process: a restarted host does not inherit its
   * lease.
   */
  readonly session: string;
  /** Fencing number; increases by at least one with every new session. */
  readonly fence: number;
  /** Newest entitlements version that orders were derived from. */
  readonly lists: number;
  readonly writeId: string;
}

/** Value of `orders/desired/{endpoint}`. */
export interface DesiredValue {
  /** Fencing number of the holder that wrote it. */
  readonly fence: number;
  readonly desired: DesiredEngine;
  readonly writeId: string;
}

/** State of the orders on this host, for operators. */
export interface OrdersStatus {
  readonly holding: boolean;
  /** Fencing number while this host holds the lease. */
  readonly fence?: number;
  /** Layer ranges of granted models that no engine serves. */
  readonly uncovered: readonly string[];
  /** Engines whose state differs from the desired one. */
  readonly pending: number;
  /**
   * Time until the next request to the weight store is allowed, in
   * milliseconds.
   */
  readonly loadsDelayedMs: number;
}

/** Controller that orders engines; active only on the lease holder. */
export interface Orders {
  status(): OrdersStatus;
  /**
   * Ends all tasks. The lease expires by itself unless `release` was called.
   */
  close(): Promise<void>;
  /**
   * Releases the lease, so that another host need not wait until it expires.
   */
  release(): Promise<void>;
}

/** Durations in milliseconds, and rates; see `DEFAULT_TIMING`. */
export interface OrdersTiming {
  /** Length of the lease; must be the same on all hosts. */
  readonly leaseMs: number;
  readonly renewMs: number;
  /**
   * Subtracted from the deadline to allow for clocks that run at different
   * rates.
   */
  readonly leaseMarginMs: number;
  /** Interval between status reads of an engine. */
  readonly pollMs: number;
  readonly statusTimeoutMs: number;
  /** An engine that is unresponsive for this long counts as lost. */
  readonly lostAfterMs: number;
  /** Time after which an order with an unknown result is sent again. */
  readonly orderRetryMs: number;
  /** Maximum time that a reload waits for the sessions of an engine to end. */
  readonly drainMs: number;
  /** Load requests to the weight store per second. */
  readonly loadsPerSecond: number;
  /** Conditional writes of desired states per second. */
  readonly writesPerSecond: number;
}

/** Dependencies and settings of `createOrders`. */
export interface OrdersOptions {
  readonly self: HostId;
  readonly platform: ObjectApi;
  readonly engines: Pick<EngineApi, 'status' | 'order'>;
  /**
   * Weight store that must approve each load; without it loads are only
   * rate-limited.
   */
  readonly weights?: Pick<WeightStore, 'load'>;
  /** Engines that the platform currently lists. */
  readonly endpoints: () => readonly OrdersEndpoint[];
  /** Granted models; undefined while no lists are in effect. */
  readonly lists: () => GrantedModels | undefined;
  /**
   * Live hosts; the first of them in rendezvous order contend for the lease.
   */
  readonly live: () => readonly HostId[];
  readonly log: Logger;
  readonly random: Random;
  readonly timing?: Partial<OrdersTiming>;
  /** Replaces `planEngines`, for comparisons. */
  readonly plan?: (
    models: readonly ModelGrant[],
    engines: readonly EngineView[],
  ) => Plan;
}
