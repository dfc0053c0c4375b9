import {pause, type EndpointId} from '@chivewick/common';
import {chooseEndpoint} from './choose-endpoint.js';
import type {EndpointState} from './endpoint-table.js';
import type {Exchange, ExchangeContext} from './exchange.js';

/** Wait for an endpoint whose limit allows no request now. */
const MAX_LIMIT_WAIT_MS = 500;
const LIMIT_POLL_MS = 50;

/**
 * Chooses an endpoint, and counts the request where the endpoint limits them. If those
 * that are preferred take no request now, the best one without a limit gets it; if there
 * is none, the request waits for a while.
 *
 * @param endpoints those that may be used now; they may change during a wait.
 * @returns undefined if no endpoint takes the request in time.
 * @example
 * const state = await chooseWithinLimits(exchange, ctx, () => table.usable(service), tried);
 */
export async function chooseWithinLimits(
  {arrivedMs, deadlineAtMs, res}: Exchange,
  ctx: ExchangeContext,
  endpoints: () => readonly EndpointState[],
  tried: ReadonlySet<EndpointId>,
): Promise<EndpointState | undefined> {
  const untilMs = Math.min(arrivedMs + MAX_LIMIT_WAIT_MS, deadlineAtMs);
  for (;;) {
    const {limited, unlimited} = preferred(ctx, endpoints(), tried);
    if (limited.length === 0) return unlimited;
    const granted = await ctx.coordination.takeStart(
      limited.map(state => state.record.id),
    );
    const found = limited.find(state => state.record.id === granted);
    if (found !== undefined || unlimited !== undefined)
      return found ?? unlimited;
    if (performance.now() + LIMIT_POLL_MS > untilMs || res.destroyed)
      return undefined;
    await pause(LIMIT_POLL_MS);
  }
}

/** Endpoints with a limit in the order of preference, up to the first one without. */
function preferred(
  {limits, random}: ExchangeContext,
  endpoints: readonly EndpointState[],
  tried: ReadonlySet<EndpointId>,
): {limited: EndpointState[]; unlimited?: EndpointState} {
  const limited: EndpointState[] = [];
  const passedOver = new Set(tried);
  for (;;) {
    const nowMs = performance.now();
    const state = chooseEndpoint(endpoints, passedOver, nowMs, random.next());
    if (state === undefined) return {limited};
    const {id: endpoint, startedAtMs} = state.record;
    if (limits.of({endpoint, startedAtMs}) === undefined)
      return {limited, unlimited: state};
    limited.push(state);
    passedOver.add(endpoint);
  }
}
