import type {EndpointId} from '@chivewick/common';
import type {EndpointState} from './endpoint-table.js';

/** Charge for each failure in a row, as a factor on the expected time. */
const FAILURE_FACTOR = 3;
/** Expected times that differ by less than this part count as equal. */
const TIE_PART = 0.15;

/**
 * Chooses an endpoint for a plain request: the one with the shortest expected
 * time, which grows with the requests that this host has there, with its recent
 * answer times and with its failures in a row. Ties go to a random one, so that
 * hosts that know the same do not all choose the same. Answers slow and failing
 * endpoints whose health answers are good.
 *
 * @param draw a number in [0, 1).
 * @example
 * const state = chooseEndpoint(table.usable(service), tried, performance.now(), random.next());
 */
export function chooseEndpoint(
  endpoints: readonly EndpointState[],
  tried: ReadonlySet<EndpointId>,
  nowMs: number,
  draw: number,
): EndpointState | undefined {
  let open = endpoints.filter(state => !tried.has(state.record.id));
  const withRoom = open.filter(state => state.fullUntilMs <= nowMs);
  if (withRoom.length > 0) open = withRoom;
  if (open.length === 0) return undefined;
  const costs = open.map(expectedMs);
  const least = Math.min(...costs);
  const best = open.filter(
    (_, index) => costs[index] <= least * (1 + TIE_PART),
  );
  return best[Math.floor(draw * best.length)];
}

function expectedMs(state: EndpointState): number {
  const slots = Math.max(1, state.record.slots);
  const load = 1 + (state.running + 0.5) / slots;
  return state.latencyMs * load * FAILURE_FACTOR ** state.failuresInRow;
}
