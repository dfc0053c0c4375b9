import {
  rendezvousOwner,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
import {rankCoordinators, type Contacts} from '@chivewick/coordination';
import type {Fleet, FleetHost} from '../fleet.js';
import type {ReaderRole} from '../relay.js';

/** The coordinator of a failure domain and its standby. */
const COORDINATORS_PER_DOMAIN = 2;

/** Which hosts coordinate, as far as this host knows. */
export interface Ranks {
  /** Hosts of the local domain by precedence, this one included. */
  local(): FleetHost[];
  /** Those of them that respond; this host always responds to itself. */
  responsive(): FleetHost[];
  /** The coordinator of the local domain. */
  coordinator(): FleetHost;
  /** Whether this host is the coordinator of its domain. */
  isCoordinator(): boolean;
  /** Whether this host would be the coordinator if some hosts were not there. */
  isFirstWithout(except: readonly HostId[]): boolean;
  /** Whether this host is the coordinator of its domain or the standby. */
  isCandidate(): boolean;
  /** Hosts of the local domain that get reports, and probes while unresponsive. */
  reportTargets(): FleetHost[];
  /** The hosts that should coordinate another failure domain. */
  of(domain: FailureDomain): FleetHost[];
  /** Where this host gets the changes of the store from. */
  readerRole(): ReaderRole;
}

/**
 * Creates the view of one host. Hosts may disagree for a while about who responds:
 * each acts on its own view, which makes choices worse and breaks no rule.
 *
 * @example
 * const ranks = createRanks({self, fleet, contacts});
 * if (ranks.isCoordinator()) probe(endpoint);
 */
export function createRanks({
  self,
  fleet,
  contacts,
}: {
  readonly self: FleetHost;
  readonly fleet: Fleet;
  readonly contacts: Contacts;
}): Ranks {
  const local = () =>
    rankCoordinators(self.failureDomain, [self, ...fleet.others()]);
  const isSelf = ({id}: FleetHost) => id === self.id;
  const responds = (host: FleetHost) =>
    isSelf(host) || contacts.isResponsive(host.id);
  const responsive = () => local().filter(responds);
  const candidates = () => responsive().slice(0, COORDINATORS_PER_DOMAIN);
  const coordinator = () => responsive()[0];
  const isCoordinator = () => isSelf(coordinator());
  const of = (domain: FailureDomain) =>
    rankCoordinators(domain, fleet.others()).slice(0, COORDINATORS_PER_DOMAIN);

  function reportTargets(): FleetHost[] {
    const targets: FleetHost[] = [];
    let responsiveCount = 0;
    for (const host of local()) {
      if (responsiveCount === COORDINATORS_PER_DOMAIN) break;
      if (responds(host)) responsiveCount += 1;
      if (!isSelf(host)) targets.push(host);
    }
    return targets;
  }

  /**
   * The coordinator of one failure domain reads the store; those of the others ask
   * it, and every other host asks the coordinator of its domain.
   */
  function readerRole(): ReaderRole {
    if (!fleet.isKnown()) return {sources: [], isReader: false, isDirect: true};
    const readerDomain = rendezvousOwner('reader', fleet.domains());
    const isReaderDomain =
      readerDomain === undefined || readerDomain === self.failureDomain;
    if (!isCoordinator()) {
      const order = candidates();
      const ownRank = order.findIndex(isSelf);
      const sources = ownRank < 0 ? order : order.slice(0, ownRank);
      return {sources, isReader: false, isDirect: isReaderDomain};
    }
    if (isReaderDomain) return {sources: [], isReader: true, isDirect: true};
    const sources = of(readerDomain);
    return {sources, isReader: sources.length === 0, isDirect: true};
  }

  return {
    local,
    responsive,
    coordinator,
    isCoordinator,
    isFirstWithout(except) {
      const first = responsive().find(({id}) => !except.includes(id));
      return first === undefined || isSelf(first);
    },
    isCandidate: () => candidates().some(isSelf),
    reportTargets,
    of,
    readerRole,
  };
}
