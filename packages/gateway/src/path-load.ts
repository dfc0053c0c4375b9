import type {Stage} from '@chivewick/engines';
import type {EndpointState, EndpointTable} from './endpoint-table.js';

/** Load that a stream puts on the endpoints of its path. */
export interface PathLoad {
  /** Moves the load from the previous stages to these. */
  move(stages: readonly Stage[]): void;
  release(): void;
  holds(state: EndpointState): boolean;
}

/**
 * Reserves a stream's tokens on the stages of its path, so that later choices take
 * its memory and slots into account, and reports each crossing between failure
 * domains.
 *
 * @example
 * const load = createPathLoad(table, promptTokens + outputTokens, onCrossing);
 * load.move(stages);
 */
export function createPathLoad(
  table: EndpointTable,
  tokens: number,
  onCrossing: (from: number, to: number) => void,
): PathLoad {
  let reservations: {state: EndpointState; tokenLayers: number}[] = [];
  function release(): void {
    for (const {state, tokenLayers} of reservations) {
      state.running -= 1;
      state.heldTokenLayers -= tokenLayers;
    }
    reservations = [];
  }
  return {
    move(stages) {
      release();
      let domain: number | undefined;
      for (const {endpoint, from, to} of stages) {
        const state = table.get(endpoint);
        if (state === undefined) continue;
        if (domain !== undefined && domain !== state.domain) {
          onCrossing(domain, state.domain);
        }
        domain = state.domain;
        const tokenLayers = tokens * (to - from);
        state.running += 1;
        state.heldTokenLayers += tokenLayers;
        reservations.push({state, tokenLayers});
      }
    },
    release,
    holds: state => reservations.some(entry => entry.state === state),
  };
}
