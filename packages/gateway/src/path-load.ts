import type {Stage} from '@chivewick/engines';
import type {HeldPaths} from './coordination/held-paths.js';
import type {EndpointState, EndpointTable} from './endpoint-table.js';

/** What a stream reserves on one stage. */
interface Reservation {
  readonly state: EndpointState;
  readonly tokenLayers: number;
  /** 1 on the stage on which it begins, otherwise 0. */
  readonly starting: number;
}

/** Load that a stream puts on the endpoints of its path. */
export interface PathLoad {
  /** Puts the load on the stages of a granted path. */
  start(grantId: number, stages: readonly Stage[]): void;
  /** Moves the load to other stages under the same grant. */
  move(stages: readonly Stage[]): void;
  release(): void;
  /** Id of the path's grant; undefined before the start and after the release. */
  grantId(): number | undefined;
  holds(state: EndpointState): boolean;
}

/**
 * Reserves a stream's tokens on the stages of its path, so that later choices take
 * its memory and slots into account, and reports each crossing between failure
 * domains.
 *
 * @example
 * const load = createPathLoad({table, tokens: 974, held, onCrossing});
 * load.start(grantId, stages);
 */
export function createPathLoad(options: {
  readonly table: EndpointTable;
  readonly tokens: number;
  /** Paths that this host reports to coordinators. */
  readonly held: Pick<HeldPaths, 'set' | 'release'>;
  readonly onCrossing: (from: number, to: number) => void;
}): PathLoad {
  const {table, tokens, held, onCrossing} = options;
  let grantId: number | undefined;
  let reservations: Reservation[] = [];
  function release(): void {
    if (grantId !== undefined) held.release(grantId);
    grantId = undefined;
    clear();
  }
  function clear(): void {
    for (const {state, tokenLayers, starting} of reservations) {
      state.running -= 1;
      state.starting -= starting;
      state.heldTokenLayers -= tokenLayers;
    }
    reservations = [];
  }
  function move(stages: readonly Stage[]): void {
    clear();
    if (grantId !== undefined) held.set(grantId, tokens, stages);
    let domain: number | undefined;
    for (const [index, {endpoint, from, to}] of stages.entries()) {
      const state = table.get(endpoint);
      if (state === undefined) continue;
      if (domain !== undefined && domain !== state.domain) {
        onCrossing(domain, state.domain);
      }
      domain = state.domain;
      const tokenLayers = tokens * (to - from);
      const starting = index === 0 ? 1 : 0;
      state.running += 1;
      state.starting += starting;
      state.heldTokenLayers += tokenLayers;
      reservations.push({state, tokenLayers, starting});
    }
  }
  return {
    start(id, stages) {
      release();
      grantId = id;
      move(stages);
    },
    move,
    release,
    grantId: () => grantId,
    holds: state => reservations.some(entry => entry.state === state),
  };
}
