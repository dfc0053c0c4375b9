import type {EndpointId, HostId} from '@chivewick/common';
import {
  createStartBudget,
  type Contacts,
  type RequestLimits,
  type StartBudget,
} from '@chivewick/coordination';
import type {EndpointTable} from '../endpoint-table.js';
import type {Fleet, FleetHost} from '../fleet.js';
import type {Datagrams} from './datagrams.js';
import {
  METHODS,
  parseStartAnswer,
  parseStartAsk,
  type StartAnswer,
} from './messages.js';
import {ASK_TIMEOUT_MS, MAX_ASKED} from './path-asker.js';
import type {Ranks} from './ranks.js';

/** Which requests may start on endpoints that have stated a limit. */
export interface RequestStarts {
  /** The failure domain's part, for the requests that this host grants. */
  readonly domainBudget: StartBudget;
  /** This host's part, for requests that no coordinator grants. */
  readonly hostBudget: StartBudget;
  /** Answers another host's question. */
  answer(params: unknown): StartAnswer | undefined;
  /**
   * Counts a plain request that starts on the first of some endpoints whose limits allow
   * it; undefined if none does now. Asks the coordinator, then the standby.
   */
  take(endpoints: readonly EndpointId[]): Promise<EndpointId | undefined>;
}

/**
 * Creates the permissions of one host. The coordinators share each limit equally, and
 * each gives its part to the hosts of its failure domain as they ask.
 *
 * @example
 * const starts = createRequestStarts({self, fleet, table, limits, ranks, contacts, datagrams});
 * const endpoint = await starts.take(limited);
 */
export function createRequestStarts(options: {
  readonly self: FleetHost;
  readonly fleet: Fleet;
  readonly table: EndpointTable;
  readonly limits: Pick<RequestLimits, 'of'>;
  readonly ranks: Pick<Ranks, 'responsive'>;
  readonly contacts: Contacts;
  readonly datagrams: () => Datagrams;
}): RequestStarts {
  const {self, fleet, table, limits, ranks, contacts} = options;
  const perSecond = (endpoint: EndpointId) => {
    const record = table.get(endpoint)?.record;
    return record && limits.of({endpoint, startedAtMs: record.startedAtMs});
  };
  const domainBudget = createStartBudget({
    self: self.failureDomain,
    holders: () => fleet.domains(),
    perSecond,
  });
  const hostBudget = createStartBudget<HostId>({
    self: self.id,
    holders: () => [self.id, ...fleet.others().map(host => host.id)],
    perSecond,
  });

  async function ask(
    {id, address}: FleetHost,
    endpoints: readonly EndpointId[],
  ): Promise<StartAnswer | undefined> {
    if (id === self.id) return takeFrom(domainBudget, endpoints);
    const result = await options
      .datagrams()
      .request(address, METHODS.start, {endpoints}, ASK_TIMEOUT_MS);
    const answer = parseStartAnswer(result);
    if (answer === undefined) contacts.missed(id);
    else contacts.heard(id);
    return answer;
  }

  return {
    domainBudget,
    hostBudget,
    answer(params) {
      const message = parseStartAsk(params);
      return message && takeFrom(domainBudget, message.endpoints);
    },
    async take(endpoints) {
      for (const target of ranks.responsive().slice(0, MAX_ASKED)) {
        const answer = await ask(target, endpoints);
        if (answer !== undefined) return answer.endpoint ?? undefined;
      }
      return takeFrom(hostBudget, endpoints).endpoint ?? undefined;
    },
  };
}

/** The first of some endpoints on which a budget allows a start, which is counted. */
function takeFrom(
  budget: StartBudget,
  endpoints: readonly EndpointId[],
): StartAnswer {
  const endpoint = endpoints.find(candidate => budget.take(candidate));
  return {endpoint: endpoint ?? null};
}
