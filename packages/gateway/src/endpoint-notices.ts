import type {EndpointState, EndpointTable} from './endpoint-table.js';
import type {ResponseFacts} from './types.js';

/**
 * Takes over what an endpoint states about itself in a response.
 *
 * @example
 * observeNotices(table, state, dialect.readResponse(status, headers));
 */
export function observeNotices(
  table: EndpointTable,
  state: EndpointState,
  facts: ResponseFacts,
): void {
  if (facts.leaving) table.leave(state);
}
