import type {EndpointId} from '@chivewick/common';
import type {EndpointState} from './endpoint-table.js';

/** Factor on the expected time for each consecutive failure. */
const FAILURE_FACTOR = 3;
/** Expected times within this fraction of the shortest count as equal. */
const TIE_FRACTION = 0.15;

/**
 * Chooses an endpoint for a plain request: the one with the shortest expected
 * time, which grows with the requests that this host has in progress there, with
 * its recent response times and with its consecutive failures. Thus slow and failing
 * endpoints are avoided even if their health checks succeed. Ties are broken at
 * random, so that hosts with the same information do not all choose the same one.
 *
 * @param draw a random number in [0, 1).
 * @example
 * const state = chooseEndpoint(table.usable(service), tried, performance.now(), random.next());
 */
export function chooseEndpoint(
  endpoints: readonly EndpointState[],
  tried: ReadonlySet<EndpointId>,
  nowMs: number,
  draw: number,
): EndpointState | undefined {
  let candidates = endpoints.filter(state => !tried.has(state.record.id));
  const withCapacity = candidates.filter(state => state.fullUntilMs <= nowMs);
  if (withCapacity.length > 0) candidates = withCapacity;
  if (candidates.length === 0) return undefined;
  const costs = candidates.map(expectedMs);
  const minCost = Math.min(...costs);
  const best = candidates.filter(
    (_, index) => costs[index] <= minCost * (1 + TIE_FRACTION),
  );
  return best[Math.floor(draw * best.length)];
}

function expectedMs(state: EndpointState): number {
  const slots = Math.max(1, state.record.slots);
  const load = 1 + (state.running + 0.5) / slots;
  return state.latencyMs * load * FAILURE_FACTOR ** state.consecutiveFailures;
}
