import type {RequestLimits} from '@chivewick/coordination';
import type {EndpointState, EndpointTable} from './endpoint-table.js';
import type {ResponseFacts} from './types.js';

/**
 * Longest pause that one response may ask for: a wrong header must not take an endpoint
 * out of use for good.
 */
const MAX_PAUSE_MS = 10 * 60_000;

/**
 * Takes over what an endpoint states about itself in a response.
 *
 * @example
 * observeNotices({table, limits}, state, dialect.readResponse(status, headers));
 */
export function observeNotices(
  {table, limits}: {table: EndpointTable; limits: RequestLimits},
  state: EndpointState,
  facts: ResponseFacts,
): void {
  const {id: endpoint, startedAtMs} = state.record;
  if (facts.leaving) table.leave(state);
  if (facts.retryAfterMs !== undefined)
    table.pause(state, Math.min(MAX_PAUSE_MS, facts.retryAfterMs));
  limits.observe({endpoint, startedAtMs}, facts.requestLimit);
}
