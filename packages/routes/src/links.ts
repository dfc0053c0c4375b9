import type {FailureDomain} from '@chivewick/common';

/** One-way latency assumed inside a failure domain before any observation. */
const PRIOR_SAME_DOMAIN_US = 100;
/** One-way latency assumed between failure domains before any observation. */
const PRIOR_OTHER_DOMAIN_US = 500;
/** Lower bound of the estimated latency. */
const MIN_LATENCY_US = 10;
/** Number of observations after which the estimate becomes the baseline. */
const SETTLED_OBSERVATIONS = 8;
/**
 * Half-life of the excess over the baseline latency. A degraded link gets no
 * traffic that would show its recovery, so the excess has to decay over time.
 */
const EXCESS_HALF_LIFE_MS = 10_000;
/**
 * Half-life of the excess of the baseline over the prior. A link that was degraded
 * from the first observation on is tried again after some minutes.
 */
const BASELINE_HALF_LIFE_MS = 60_000;
const DECAY_INTERVAL_MS = 500;

interface Link {
  latencyUs: number;
  /** Baseline: lowest settled latency, towards which the estimate decays. */
  baselineUs: number;
  readonly priorUs: number;
  observations: number;
}

/** One-way latencies between failure domains, estimated by this host. */
export interface Links {
  /** Index of a failure domain; assigned at first use. */
  index(domain: FailureDomain): number;
  /** One-way latency in microseconds between two domains, by index. */
  oneWayUs(from: number, to: number): number;
  /** Adds a correction in microseconds to the latency of a pair. */
  correct(from: number, to: number, deltaUs: number): void;
  /** Decays the excess over the baseline latency; call it often. */
  decay(nowMs: number): void;
}

/**
 * Creates the link table of one host. Latencies are symmetric: the activation of a
 * token is sent and its result returned over the same pair of domains.
 *
 * @example
 * const links = createLinks();
 * links.correct(links.index(zoneA), links.index(zoneB), 800);
 */
export function createLinks(): Links {
  const indexes = new Map<FailureDomain, number>();
  const table: Link[][] = [];
  let decayedAtMs: number | undefined;

  function index(domain: FailureDomain): number {
    const known = indexes.get(domain);
    if (known !== undefined) return known;
    const added = indexes.size;
    indexes.set(domain, added);
    table.push([]);
    for (let other = 0; other <= added; other++) {
      const priorUs =
        other === added ? PRIOR_SAME_DOMAIN_US : PRIOR_OTHER_DOMAIN_US;
      const link = {
        latencyUs: priorUs,
        baselineUs: priorUs,
        priorUs,
        observations: 0,
      };
      table[added][other] = link;
      table[other][added] = link;
    }
    return added;
  }

  function decay(nowMs: number): void {
    decayedAtMs ??= nowMs;
    const elapsedMs = nowMs - decayedAtMs;
    if (elapsedMs < DECAY_INTERVAL_MS) return;
    decayedAtMs = nowMs;
    const retention = 2 ** (-elapsedMs / EXCESS_HALF_LIFE_MS);
    const baselineRetention = 2 ** (-elapsedMs / BASELINE_HALF_LIFE_MS);
    for (let from = 0; from < table.length; from++)
      for (let to = 0; to <= from; to++) {
        const link = table[from][to];
        link.baselineUs = decayTowards(
          link.priorUs,
          link.baselineUs,
          baselineRetention,
        );
        link.latencyUs = decayTowards(
          link.baselineUs,
          link.latencyUs,
          retention,
        );
      }
  }

  return {
    index,
    decay,
    oneWayUs: (from, to) => table[from][to].latencyUs,
    correct(from, to, deltaUs) {
      const link = table[from][to];
      link.latencyUs = Math.max(MIN_LATENCY_US, link.latencyUs + deltaUs);
      link.observations += 1;
      if (link.observations === SETTLED_OBSERVATIONS)
        link.baselineUs = link.latencyUs;
      else if (link.observations > SETTLED_OBSERVATIONS)
        link.baselineUs = Math.min(link.baselineUs, link.latencyUs);
    },
  };
}

/** Retains the given share of the excess of a value over its base. */
function decayTowards(base: number, value: number, retention: number): number {
  return value > base ? base + (value - base) * retention : value;
}
