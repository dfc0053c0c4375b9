import type {EndpointId, FailureDomain} from '@chivewick/common';
import type {DesiredEngine} from '@chivewick/engines';

/** An engine as the planner sees it. */
export interface EngineView {
  readonly id: EndpointId;
  readonly failureDomain: FailureDomain;
  readonly leaving: boolean;
  /** State in its last status; undefined while that is unknown or too old. */
  readonly state?: DesiredEngine;
  /** Whether the last status read succeeded. */
  readonly reachable: boolean;
  /** Whether it has no sessions. */
  readonly idle: boolean;
  /** Desired state in the object store. */
  readonly desired?: DesiredEngine;
  /**
   * Whether orders of an earlier lease holder can no longer move it unnoticed:
   * its desired state is stored with the current fencing number, and the engine
   * has confirmed an order with that number.
   */
  readonly secured: boolean;
  /** Maximum number of layers it is known to fit; undefined if unknown. */
  readonly maxLayers?: number;
}

/**
 * Why an engine has its target. `uncovered`: it covers layers that no engine
 * serves; `spare`: a second replica or domain; `extra`: additional capacity;
 * `keep`: it already serves the target.
 */
export type Need = 'uncovered' | 'spare' | 'extra' | 'keep';

/** The state that one engine should reach, and how urgent that is. */
export interface Target {
  readonly desired: DesiredEngine;
  readonly need: Need;
  /** Position in the order of loads; lower loads sooner. */
  readonly rank: number;
  /** Whether the engine currently serves layers of a granted model. */
  readonly servesNow: boolean;
  /**
   * Whether the order must wait until secured engines serve the same layers.
   */
  readonly waits: boolean;
}

/** Result of planning: a target for each usable engine. */
export interface Plan {
  readonly targets: ReadonlyMap<EndpointId, Target>;
  /** Layers of granted models that no reachable engine serves. */
  readonly uncovered: readonly string[];
}
