import type {Stage} from '@chivewick/engines';
import type {EndpointState, EndpointTable} from './endpoint-table.js';

/** What a stream holds on the endpoints of its path. */
export interface PathLoad {
  /** Counts the stream on these stages instead of its earlier ones. */
  move(stages: readonly Stage[]): void;
  release(): void;
  holds(state: EndpointState): boolean;
}

/**
 * Books a stream's tokens on the stages of its path, so that later choices see
 * the memory and the places that it takes, and notes the failure domains that it
 * passes between.
 *
 * @example
 * const load = createPathLoad(table, promptTokens + answerTokens, crossed);
 * load.move(stages);
 */
export function createPathLoad(
  table: EndpointTable,
  tokens: number,
  crossed: (from: number, to: number) => void,
): PathLoad {
  let booked: {state: EndpointState; tokenLayers: number}[] = [];
  function release(): void {
    for (const {state, tokenLayers} of booked) {
      state.running -= 1;
      state.heldTokenLayers -= tokenLayers;
    }
    booked = [];
  }
  return {
    move(stages) {
      release();
      let domain: number | undefined;
      for (const {endpoint, from, to} of stages) {
        const state = table.get(endpoint);
        if (state === undefined) continue;
        if (domain !== undefined && domain !== state.domain) {
          crossed(domain, state.domain);
        }
        domain = state.domain;
        const tokenLayers = tokens * (to - from);
        state.running += 1;
        state.heldTokenLayers += tokenLayers;
        booked.push({state, tokenLayers});
      }
    },
    release,
    holds: state => booked.some(entry => entry.state === state),
  };
}
