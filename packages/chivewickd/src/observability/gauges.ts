import type {DependencyContainer} from 'tsyringe';
import {TOKENS} from '../tokens.js';

/** Registers the gauges whose values are read from the parts at each scrape. */
export function registerGauges(c: DependencyContainer): void {
  const metrics = c.resolve(TOKENS.metrics);
  const lists = c.resolve(TOKENS.lists);
  const limits = c.resolve(TOKENS.limits);
  const admission = c.resolve(TOKENS.admission);
  const peers = c.resolve(TOKENS.peers);
  const routes = c.resolve(TOKENS.routes);
  metrics.gauge(
    'chivewick_lists_confirmed',
    'Whether this host can confirm the lists (1) or not (0).',
    () => Number(lists.confirmed()),
  );
  metrics.labelledGauge(
    'chivewick_lists_version',
    'Version of each list in effect.',
    'list',
    () => Object.entries(lists.snapshot()?.versions ?? {}),
  );
  metrics.labelledGauge(
    'chivewick_limits_in_use',
    'Requests in progress on this host by workspace.',
    'workspace',
    () => limits.status().workspaces.map(w => [w.workspace, w.inUse] as const),
  );
  metrics.labelledGauge(
    'chivewick_limits_allocated',
    'Requests that this host may have in progress by workspace.',
    'workspace',
    () =>
      limits.status().workspaces.map(w => [w.workspace, w.allowance] as const),
  );
  metrics.labelledGauge(
    'chivewick_admission_queue_length',
    'Waiting requests by class.',
    'class',
    () => admission.status().map(s => [s.class, s.waiting] as const),
  );
  metrics.labelledGauge(
    'chivewick_peer_bytes_total',
    'Bytes sent to and received from peer hosts.',
    'direction',
    () => Object.entries(peers.bytes()),
  );
  metrics.labelledGauge(
    'chivewick_endpoints',
    'Known endpoints by state.',
    'state',
    () => countStates(routes.endpoints()),
  );
}

function countStates(
  endpoints: readonly {usable: boolean; leaving: boolean}[],
): Map<string, number> {
  const counts = new Map([
    ['live', 0],
    ['leaving', 0],
    ['failed', 0],
  ]);
  for (const {usable, leaving} of endpoints) {
    const state = leaving ? 'leaving' : usable ? 'live' : 'failed';
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  return counts;
}
