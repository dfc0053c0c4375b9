import {id, type HostId, type ServiceName} from '@chivewick/common';
import {
  createRetryPool,
  type Grantor,
  type RetryPool,
  type RetryRun,
} from '@chivewick/coordination';
import type {RetryAllowance} from '../retry-allowance.js';
import type {DomainSummary, HostReport} from './messages.js';

/** Stands for a coordinator of an earlier version. */
const UNKNOWN_GRANTOR = id<Grantor>('unknown');

/** This host's part in counting the retries of its failure domain. */
export interface DomainRetries {
  /** Names this run of the host in the retries that it grants. */
  readonly grantor: Grantor;
  readonly pool: RetryPool;
  /** What this host reports to the coordinators. */
  report(): Pick<HostReport, 'startedAtMs' | 'retries'>;
  /** Takes over the report of another host. */
  receive(report: HostReport): void;
  /** Services for which a retry is available. */
  retryable(): ServiceName[];
  /** What a host that has sent a report should know of other runs. */
  runsFor(report: HostReport): RetryRun[];
  /** Takes over what a coordinator says of other runs. */
  learn(summary: DomainSummary): void;
  /** Counts a retry that this host has been granted. */
  countGranted(service: ServiceName, grantor: Grantor | undefined): void;
}

/**
 * Creates the counts of this run of the host.
 *
 * @param options.services services whose retries coordinators grant.
 * @example
 * const retries = createDomainRetries({self, allowance, bounds, services: () => [model]});
 * if (retries.pool.take(model)) grant();
 */
export function createDomainRetries(options: {
  readonly self: HostId;
  readonly allowance: RetryAllowance;
  readonly bounds: {readonly ratio: number; readonly windowMs: number};
  readonly services: () => readonly ServiceName[];
}): DomainRetries {
  const {self, allowance, services} = options;
  const startedAtMs = Math.round(performance.timeOrigin);
  const grantor = id<Grantor>(`${self}@${startedAtMs}`);
  const counts = () => services().map(service => allowance.count(service));
  const pool = createRetryPool({
    ...options.bounds,
    host: self,
    startedAtMs,
    grantor,
    own: counts,
  });
  return {
    grantor,
    pool,
    report: () => ({startedAtMs, retries: counts()}),
    receive({from, startedAtMs: run = 0, retries = []}) {
      pool.merge({
        host: from.id,
        startedAtMs: run,
        msAgo: 0,
        knownMs: 0,
        counts: retries,
      });
    },
    retryable: () => services().filter(service => pool.isAvailable(service)),
    runsFor: ({from, startedAtMs: run = 0}) => pool.runsFor(from.id, run),
    learn: summary => summary.retryRuns?.forEach(pool.merge),
    countGranted: (service, by) =>
      allowance.countGranted(service, by ?? UNKNOWN_GRANTOR),
  };
}
