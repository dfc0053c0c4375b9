import type {Brand, HostId, ServiceName} from '@chivewick/common';
import {createWindowCounts} from './window-counts.js';

/** Fraction of the allowance that is used, because hosts' counts are inexact. */
export const USABLE_RETRY_FRACTION = 0.8;
/**
 * Part of a share that is used at the end of the first window of which the use is known.
 * What was used before may be the usable fraction of the share, which leaves a quarter of
 * that fraction.
 */
const FIRST_WINDOW_FRACTION = 0.25;
/** Runs of one host that are kept; more than a host can start within a window. */
const MAX_RUNS_PER_HOST = 16;

/**
 * Time after the first report of a run in which it gets the counts of the other runs with
 * each answer, as messages may be lost.
 */
const NEW_RUN_MS = 2_000;

/**
 * Runs that a new host gets with one answer, those with the most retries first: a run
 * takes 170 bytes, and the datagram also carries up to 42 KB of loads.
 */
const MAX_PASSED_RUNS = 80;

/** A run of a host that has granted retries; another one after each restart. */
export type Grantor = Brand<'Grantor'>;

/** Retries of a service that one host has used and contributes. */
export interface RetryCount {
  readonly service: ServiceName;
  /** Requests of callers that came to the host in the last window. */
  readonly requests: number;
  /** The host's part of the retries that are allowed beside the ratio. */
  readonly share: number;
  /** Retries of the last window, by the run that granted them. */
  readonly granted: readonly {
    readonly grantor: Grantor;
    readonly retries: number;
  }[];
}

/** What is known of one run of a host. */
export interface RetryRun {
  readonly host: HostId;
  /** Tells this run from others of the host. */
  readonly startedAtMs: number;
  /** Age of its last report, in milliseconds. */
  readonly msAgo: number;
  /** Time since the first report of the host, in milliseconds. */
  readonly knownMs: number;
  readonly counts: readonly RetryCount[];
}

/** What a service's retries amount to in the current window. */
export interface RetryUsage {
  readonly requests: number;
  readonly retries: number;
  /** Retries that may be made in the window, those made included. */
  readonly allowed: number;
}

/** The retries that the hosts of a failure domain may make together. */
export interface RetryPool {
  /** Takes over what a run of a host has counted; the newest report holds. */
  merge(run: RetryRun): void;
  /**
   * What a host should know that may coordinate next: the runs with the most retries, if
   * it has started a moment ago, otherwise none.
   */
  runsFor(host: HostId, startedAtMs: number): RetryRun[];
  /** Whether a retry is available; does not consume it. */
  isAvailable(service: ServiceName): boolean;
  /** Consumes one retry; returns false if none is available. */
  take(service: ServiceName): boolean;
  usage(service: ServiceName): RetryUsage;
}

/** What one run of a host last reported. */
interface HostRun {
  readonly startedAtMs: number;
  readonly firstReportAtMs: number;
  readonly reportedAtMs: number;
  readonly counts: ReadonlyMap<ServiceName, RetryCount>;
}

/**
 * Creates the pool of a coordinator. Hosts count the retries that they were granted and
 * report them to the coordinator and to the standby, so that one that takes over knows
 * what others have granted in the same window. A run of a host that has ended counts for
 * another window: its retries have reached endpoints. A host that has restarted learns
 * from the others what all runs have used, its own earlier ones too.
 *
 * @param options.host the host of this pool.
 * @param options.startedAtMs start of this run of the host.
 * @param options.grantor the run that grants from this pool.
 * @param options.own what the host of this pool has counted.
 * @example
 * const pool = createRetryPool({host, startedAtMs, grantor, ratio: 0.2, windowMs: 10_000, own: () => []});
 * pool.merge({host: other, startedAtMs, msAgo: 0, knownMs: 0, counts});
 * if (pool.take(service)) grant();
 */
export function createRetryPool(options: {
  readonly host: HostId;
  readonly startedAtMs: number;
  readonly grantor: Grantor;
  readonly ratio: number;
  readonly windowMs: number;
  readonly own: () => readonly RetryCount[];
  readonly now?: () => number;
}): RetryPool {
  const {ratio, windowMs} = options;
  const now = options.now ?? (() => performance.now());
  const startMs = now();
  const granted = createWindowCounts<ServiceName>({windowMs, now});
  const hosts = new Map<HostId, HostRun[]>();

  /** The runs of a host that count now. */
  function runsOf(host: HostId): HostRun[] {
    const sinceMs = now() - windowMs;
    const recent = (hosts.get(host) ?? []).filter(
      run => run.reportedAtMs > sinceMs,
    );
    if (recent.length === 0) hosts.delete(host);
    else hosts.set(host, recent);
    return recent;
  }

  /** Counts of a service by the runs of a host. */
  function countsOf(host: HostId, service: ServiceName): RetryCount[] {
    const own = host === options.host ? options.own() : [];
    return [
      ...own.filter(count => count.service === service),
      ...runsOf(host).flatMap(run => run.counts.get(service) ?? []),
    ];
  }

  /** The share of a host, as far as it may be used; several runs have one share. */
  function shareOf(host: HostId, counts: readonly RetryCount[]): number {
    const firstReportsMs = runsOf(host).map(run => run.firstReportAtMs);
    if (host === options.host) firstReportsMs.push(startMs);
    const knownMs = now() - Math.min(...firstReportsMs);
    const share = Math.max(0, ...counts.map(count => count.share));
    return share * shareFraction(knownMs, windowMs);
  }

  function usage(service: ServiceName): RetryUsage {
    const known = [...new Set([options.host, ...hosts.keys()])];
    const byHost = known.map(host => ({host, counts: countsOf(host, service)}));
    const counts = byHost.flatMap(entry => entry.counts);
    const requests = counts.reduce((sum, count) => sum + count.requests, 0);
    const share = byHost.reduce(
      (sum, entry) => sum + shareOf(entry.host, entry.counts),
      0,
    );
    const grantedByOthers = counts
      .flatMap(count => count.granted)
      .filter(({grantor}) => grantor !== options.grantor)
      .reduce((sum, {retries}) => sum + retries, 0);
    return {
      requests,
      retries: granted.sum(service) + grantedByOthers,
      allowed: USABLE_RETRY_FRACTION * (ratio * requests + share),
    };
  }

  function isAvailable(service: ServiceName): boolean {
    const {retries, allowed} = usage(service);
    return retries + 1 <= allowed;
  }

  return {
    merge({host, startedAtMs, msAgo, knownMs, counts}) {
      if (host === options.host && startedAtMs === options.startedAtMs) return;
      const reportedAtMs = now() - msAgo;
      const runs = runsOf(host);
      const known = runs.find(run => run.startedAtMs === startedAtMs);
      if (known !== undefined && known.reportedAtMs > reportedAtMs) return;
      const run = {
        startedAtMs,
        firstReportAtMs: Math.min(
          known?.firstReportAtMs ?? Infinity,
          now() - knownMs,
        ),
        reportedAtMs,
        counts: new Map(counts.map(count => [count.service, count])),
      };
      const others = runs.filter(other => other !== known);
      hosts.set(host, [...others, run].slice(-MAX_RUNS_PER_HOST));
    },
    runsFor(host, startedAtMs) {
      const run = runsOf(host).find(known => known.startedAtMs === startedAtMs);
      const isNew =
        run === undefined || now() - run.firstReportAtMs < NEW_RUN_MS;
      if (!isNew) return [];
      return [...hosts.keys()]
        .flatMap(known =>
          runsOf(known)
            .filter(other => other !== run)
            .map(other => ({
              host: known,
              startedAtMs: other.startedAtMs,
              msAgo: now() - other.reportedAtMs,
              knownMs: now() - other.firstReportAtMs,
              counts: [...other.counts.values()],
            })),
        )
        .sort((a, b) => retriesOf(b) - retriesOf(a))
        .slice(0, MAX_PASSED_RUNS);
    },
    isAvailable,
    take(service) {
      if (!isAvailable(service)) return false;
      granted.add(service);
      return true;
    },
    usage,
  };
}

function retriesOf({counts}: RetryRun): number {
  return counts
    .flatMap(({granted}) => granted)
    .reduce((sum, {retries}) => sum + retries, 0);
}

/**
 * Part of a share that may be used, by the time for which its use is known.
 *
 * @example
 * shareFraction(5_000, 10_000); // 0.125
 */
export function shareFraction(knownMs: number, windowMs: number): number {
  const windows = knownMs / windowMs;
  return windows < 1 ? FIRST_WINDOW_FRACTION * windows : 1;
}
