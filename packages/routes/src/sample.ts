import type {EndpointId, Random} from '@chivewick/common';
import type {Endpoint} from './endpoint.js';
import type {RangeGroup} from './groups.js';

/** Maximum number of failure domains considered for one choice. */
const MAX_DOMAINS = 4;
/**
 * Endpoints considered for one range. With more of them, hosts that have the same
 * outdated reports choose the same endpoints (docs/design-notes/routes-choice.md).
 */
const MAX_ENDPOINTS_PER_RANGE = 3;
/** Maximum number of endpoints considered for one choice; bounds its cost. */
const MAX_CANDIDATES = 64;

/** Parameters of a sample. */
export interface SampleOptions {
  readonly random: Random;
  readonly exclude: ReadonlySet<EndpointId>;
  /** Failure domain of this host, by index. */
  readonly localDomain: number;
  readonly layers: number;
}

/**
 * Draws the endpoints that one choice considers (power of k choices, with k for
 * each range and failure domain). All ranges are drawn from the same few domains,
 * so that a chain can stay within one domain; a range without usable endpoints
 * there is drawn from another domain.
 *
 * @example
 * const sample = drawSample(groups.ranges(model, version), options);
 */
export function drawSample(
  ranges: readonly RangeGroup[],
  options: SampleOptions,
): Endpoint[] {
  const chosen = limitRanges(ranges, options);
  const domains = drawDomains(chosen, options);
  const perRange = Math.min(
    MAX_ENDPOINTS_PER_RANGE,
    MAX_CANDIDATES / chosen.length,
  );
  const perDomain = Math.ceil(perRange / Math.max(1, domains.size));
  const sample: Endpoint[] = [];
  for (const range of chosen) {
    const sizeBefore = sample.length;
    for (const domain of domains) {
      const members = range.byDomain.get(domain);
      if (members !== undefined)
        drawEndpoints(members, perDomain, options, sample);
    }
    if (sample.length > sizeBefore) continue;
    for (const [domain, members] of range.byDomain) {
      if (domains.has(domain)) continue;
      drawEndpoints(members, perDomain, options, sample);
      if (sample.length > sizeBefore) break;
    }
  }
  return sample;
}

/**
 * Limits the ranges to half the number of candidates: a greedy cover of the
 * layers, so that a chain exists, then other ranges at random.
 */
function limitRanges(
  ranges: readonly RangeGroup[],
  {layers, random}: SampleOptions,
): readonly RangeGroup[] {
  const maxRanges = MAX_CANDIDATES / 2;
  if (ranges.length <= maxRanges) return ranges;
  const chosen = new Set(greedyCover(ranges, layers));
  while (chosen.size < maxRanges) chosen.add(ranges[random.int(ranges.length)]);
  return [...chosen];
}

function greedyCover(
  ranges: readonly RangeGroup[],
  layers: number,
): RangeGroup[] {
  const cover: RangeGroup[] = [];
  let layer = 0;
  while (layer < layers) {
    let best: RangeGroup | undefined;
    for (const range of ranges)
      if (range.from <= layer && range.to > (best?.to ?? layer)) best = range;
    if (best === undefined) break;
    cover.push(best);
    layer = best.to;
  }
  return cover;
}

function drawDomains(
  ranges: readonly RangeGroup[],
  {localDomain, random}: SampleOptions,
): Set<number> {
  const all = new Set<number>();
  for (const range of ranges)
    for (const domain of range.byDomain.keys()) all.add(domain);
  if (all.size <= MAX_DOMAINS) return all;
  const others = [...all].filter(domain => domain !== localDomain);
  const drawn = new Set<number>(all.has(localDomain) ? [localDomain] : []);
  while (drawn.size < MAX_DOMAINS) drawn.add(others[random.int(others.length)]);
  return drawn;
}

function drawEndpoints(
  members: readonly Endpoint[],
  count: number,
  {random, exclude}: SampleOptions,
  sample: Endpoint[],
): void {
  const start = sample.length;
  const add = (member: Endpoint): void => {
    if (sample.indexOf(member, start) !== -1 || exclude.has(member.id)) return;
    sample.push(member);
  };
  if (members.length > count)
    for (let draws = 0; draws < 2 * count; draws++) {
      if (sample.length - start === count) return;
      add(members[random.int(members.length)]);
    }
  // With few members, or many excluded ones, adds the rest in order.
  for (const member of members) {
    if (sample.length - start === count) return;
    add(member);
  }
}
