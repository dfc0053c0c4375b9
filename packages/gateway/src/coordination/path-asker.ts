import {markClocks, type HostId, type ServiceName} from '@chivewick/common';
import type {Contacts} from '@chivewick/coordination';
import type {PathRequest} from '../choose-path.js';
import {acceptsRequests, type EndpointTable} from '../endpoint-table.js';
import type {EngineProfile} from '../types.js';
import type {Coordinator} from './coordinator.js';
import type {Datagrams} from './datagrams.js';
import type {HeldPaths} from './held-paths.js';
import {
  METHODS,
  parseAnswer,
  type PathAnswer,
  type PathAsk,
  type RepairAsk,
} from './messages.js';
import type {Ranks} from './ranks.js';

/** A coordinator in the same failure domain answers within a few milliseconds. */
export const ASK_TIMEOUT_MS = 60;
/** Coordinators that are asked before this host chooses a path by itself. */
export const MAX_ASKED = 2;

/** The work that a path is needed for. */
export type PathWork = Pick<
  PathRequest,
  'promptTokens' | 'outputTokens' | 'exclude'
>;

/** What a coordinator needs to know to grant a path. */
export interface PathNeed extends PathWork {
  readonly service: ServiceName;
  readonly profile: EngineProfile;
  /** Whether the caller's request has already been sent to an endpoint. */
  readonly isRetry: boolean;
  /** Set if a path in use is to be repaired. */
  readonly repair?: RepairAsk;
}

/** Dependencies of a path asker. */
export interface PathAskerOptions {
  readonly self: HostId;
  readonly table: EndpointTable;
  readonly held: HeldPaths;
  readonly ranks: Ranks;
  readonly contacts: Contacts;
  readonly coordinator: Coordinator;
  readonly datagrams: () => Datagrams;
}

/**
 * Creates the function that asks the coordinator for a path, then the standby. It
 * resolves to `not_ready` if neither grants or denies one. `onAnswer` is called before
 * this host decides on another ask.
 *
 * @example
 * const ask = createPathAsker({self, table, held, ranks, contacts, ...});
 * const answer = await ask(need, held.nextId());
 */
export function createPathAsker(
  options: PathAskerOptions,
): (
  need: PathNeed,
  id: number,
  onAnswer?: (answer: PathAnswer) => void,
) => Promise<PathAnswer> {
  const {self, table, held, ranks, contacts, coordinator} = options;

  function createAsk(need: PathNeed, id: number): PathAsk {
    const {service, promptTokens, outputTokens, isRetry, repair} = need;
    const nowMs = performance.now();
    const states = table.ofService(service);
    const unusable = states.filter(
      state => state.suspectedUntilMs > nowMs || !acceptsRequests(state, nowMs),
    );
    const full = states.filter(state => state.fullUntilMs > nowMs);
    return {
      host: self,
      id,
      service,
      promptTokens,
      outputTokens,
      exclude: [...need.exclude, ...unusable.map(state => state.record.id)],
      full: full.map(state => state.record.id),
      isRetry,
      released: held.takeReleased(),
      ...(repair === undefined ? {} : {repair}),
    };
  }

  return async (need, id, onAnswer) => {
    const ask = createAsk(need, id);
    const notReady: HostId[] = [];
    for (const target of ranks.responsive().slice(0, MAX_ASKED)) {
      if (target.id === self) {
        const own = coordinator.answer({...ask, notReady});
        onAnswer?.(own);
        return own;
      }
      const mark = markClocks();
      const answer = parseAnswer(
        await options
          .datagrams()
          .request(
            target.address,
            METHODS.choosePath,
            {...ask, notReady},
            ASK_TIMEOUT_MS,
          ),
      );
      if (answer === undefined) {
        contacts.missed(target.id);
        continue;
      }
      contacts.heard(target.id);
      if (answer.kind === 'not_ready') {
        notReady.push(target.id);
        continue;
      }
      // After a suspension of this process, the permission to retry is too old.
      if (need.isRetry && mark.hasDrifted()) return {kind: 'no_retry'};
      onAnswer?.(answer);
      return answer;
    }
    return {kind: 'not_ready'};
  };
}
