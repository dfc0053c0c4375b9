import type {
  EndpointId,
  FailureDomain,
  HostId,
  ServiceName,
} from '@chivewick/common';
import type {RetryRun} from '@chivewick/coordination';
import type {EndpointState, EndpointTable} from '../endpoint-table.js';
import type {DomainSummary} from './messages.js';

/**
 * Loads in one summary: a load takes 70 bytes, and a datagram carries 64 KB. Those of
 * other failure domains are left out first, as paths seldom lead there.
 */
const MAX_LOADS = 600;

/**
 * Describes what a coordinator knows, for the hosts of its failure domain.
 *
 * @example
 * const summary = createDomainSummary(table, {from, failureDomain, retryable, holderSeenMsAgo: 0});
 */
export function createDomainSummary(
  table: EndpointTable,
  facts: {
    from: HostId;
    failureDomain: FailureDomain;
    retryable: readonly ServiceName[];
    retryRuns: readonly RetryRun[];
    holderSeenMsAgo: number;
    configVersion?: number;
  },
): DomainSummary {
  const nowMs = performance.now();
  const states = table.all();
  const {failureDomain, ...rest} = facts;
  const isLocal = ({record}: EndpointState) =>
    record.failureDomain === failureDomain;
  const loaded = states
    .filter(({running, othersRunning}) => running + othersRunning > 0)
    .sort((a, b) => Number(isLocal(b)) - Number(isLocal(a)));
  return {
    ...rest,
    loads: loaded.slice(0, MAX_LOADS).map(state => ({
      endpoint: state.record.id,
      running: state.running + state.othersRunning,
      starting: state.starting + state.othersStarting,
      tokenLayers: state.heldTokenLayers + state.othersTokenLayers,
    })),
    suspected: states
      .filter(state => state.suspectedUntilMs > nowMs)
      .map(state => state.record.id),
  };
}

/**
 * Takes over the loads and suspicions that the coordinator knows. Its loads include
 * those of this host, which the table counts by itself.
 */
export function applyDomainSummary(
  table: EndpointTable,
  summary: DomainSummary,
): void {
  table.clearOthersLoad();
  for (const load of summary.loads) {
    const state = table.get(load.endpoint);
    if (state === undefined) continue;
    const others = load.running - state.running;
    const othersHeld = load.tokenLayers - state.heldTokenLayers;
    state.othersRunning = Math.max(0, others);
    state.othersStarting = Math.max(0, (load.starting ?? 0) - state.starting);
    state.othersTokenLayers = Math.max(0, othersHeld);
  }
  applySuspicions(table, summary);
}

/**
 * Suspects the endpoints that a coordinator lists, and no longer those that it has listed
 * before: it has found that they respond.
 */
export function applySuspicions(
  table: EndpointTable,
  {from, suspected}: Pick<DomainSummary, 'from' | 'suspected'>,
): void {
  const listed = new Set(suspected);
  for (const state of table.all())
    if (state.suspectedBy === from && !listed.has(state.record.id))
      table.clearSuspicion(state);
  for (const endpoint of listed) suspectReported(table, endpoint, from);
}

/** Suspects an endpoint that a coordinator found down. */
export function suspectReported(
  table: EndpointTable,
  endpoint: EndpointId,
  by?: HostId,
): void {
  const state = table.get(endpoint);
  if (state !== undefined) table.suspect(state, 'reported by coordinator', by);
}
