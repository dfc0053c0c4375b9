import type {WorkspaceId} from '@chivewick/common';

/** The waiting requests of one workspace and its scheduling state. */
export interface Flow<T> {
  readonly workspace: WorkspaceId;
  weight: number;
  /** Start tag of the first waiting request, in slot-milliseconds per weight. */
  startTag: number;
  /** Smoothed time that a request of this workspace holds a slot, in ms. */
  holdMs: number;
  /** Requests that hold a slot. */
  running: number;
  /** Whether `holdMs` is based on this workspace's own requests. */
  measured: boolean;
  readonly waiting: Set<T>;
}

/** Weighted fair queuing between workspaces. */
export interface FairQueue<T> {
  /** Returns the workspace's flow; creates it on first use. */
  flow(workspace: WorkspaceId, weight: number): Flow<T>;
  push(flow: Flow<T>, item: T): void;
  /** Removes a waiting request. */
  remove(flow: Flow<T>, item: T): void;
  /** Removes, charges and returns the next request. */
  shift(): {flow: Flow<T>; item: T} | undefined;
  /** Charges a request that starts without waiting. */
  charge(flow: Flow<T>): void;
  /** Ends a request; replaces its charged hold time with the actual one. */
  correct(flow: Flow<T>, chargedMs: number, heldMs: number): void;
  /** Estimated milliseconds until a request that is pushed now starts. */
  waitMs(flow: Flow<T>, slots: number): number;
  flows(): Iterable<Flow<T>>;
  size(): number;
}

/** Weight of the newest sample in the smoothed hold time. */
const HOLD_GAIN = 0.1;

/**
 * Creates the queue. A free slot goes to the workspace that holds the fewest
 * slots relative to its weight, which is weighted max-min fairness (Bertsekas
 * and Gallager 1992, section 6.5.2). Ties are broken by start-time fair queuing
 * (Goyal, Vin, Cheng 1996), with the time that a request holds a slot as the
 * packet length. That time is estimated from the workspace's earlier requests
 * and corrected when the request ends. Only the first request of each flow has a
 * tag, since waiting requests may be removed.
 *
 * @param initialHoldMs returns the hold time assumed for a new workspace.
 * @example
 * const queue = createFairQueue<WaitingRequest>(() => 500);
 */
export function createFairQueue<T>(initialHoldMs: () => number): FairQueue<T> {
  const flows = new Map<WorkspaceId, Flow<T>>();
  const backlogged = new Set<Flow<T>>();
  let virtualTime = 0;
  let size = 0;

  const charge = (flow: Flow<T>) => {
    flow.running += 1;
    virtualTime = Math.max(virtualTime, flow.startTag);
    flow.startTag =
      Math.max(flow.startTag, virtualTime) + flow.holdMs / flow.weight;
  };

  const remove = (flow: Flow<T>, item: T) => {
    if (!flow.waiting.delete(item)) return;
    size -= 1;
    if (flow.waiting.size === 0) backlogged.delete(flow);
  };

  const nextFlow = () => {
    let best: Flow<T> | undefined;
    for (const flow of backlogged) {
      if (best === undefined || isBefore(flow, best)) best = flow;
    }
    return best;
  };

  return {
    flow(workspace, weight) {
      const known = flows.get(workspace);
      if (known !== undefined) {
        known.weight = weight;
        return known;
      }
      const flow: Flow<T> = {
        workspace,
        weight,
        startTag: virtualTime,
        holdMs: initialHoldMs(),
        running: 0,
        measured: false,
        waiting: new Set(),
      };
      flows.set(workspace, flow);
      return flow;
    },
    push(flow, item) {
      if (flow.waiting.size === 0)
        flow.startTag = Math.max(flow.startTag, virtualTime);
      flow.waiting.add(item);
      backlogged.add(flow);
      size += 1;
    },
    remove,
    shift() {
      const flow = nextFlow();
      if (flow === undefined) return undefined;
      const [item] = flow.waiting;
      remove(flow, item);
      charge(flow);
      return {flow, item};
    },
    charge,
    correct(flow, chargedMs, heldMs) {
      flow.startTag += (heldMs - chargedMs) / flow.weight;
      flow.running -= 1;
      const gain = flow.measured ? HOLD_GAIN : 1;
      flow.holdMs += gain * (heldMs - flow.holdMs);
      flow.measured = true;
    },
    waitMs(flow, slots) {
      const slotCount = Math.max(1, slots);
      let weights = backlogged.has(flow) ? 0 : flow.weight;
      let backlogMs = flow.holdMs;
      for (const other of backlogged) {
        weights += other.weight;
        backlogMs += other.waiting.size * other.holdMs;
      }
      const aheadMs =
        Math.max(0, flow.startTag - virtualTime) +
        (flow.waiting.size * flow.holdMs) / flow.weight;
      // Other flows may become empty, so the whole backlog is also a bound.
      const fairMs = (aheadMs * weights + flow.holdMs) / slotCount;
      return Math.min(fairMs, backlogMs / slotCount);
    },
    flows: () => flows.values(),
    size: () => size,
  };
}

/**
 * Whether a flow is served before another: by slots held relative to weight,
 * then by start tag.
 */
function isBefore<T>(a: Flow<T>, b: Flow<T>): boolean {
  const bySlots = a.running / a.weight - b.running / b.weight;
  return bySlots === 0 ? a.startTag < b.startTag : bySlots < 0;
}
