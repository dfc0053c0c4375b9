import type {EndpointId} from '@chivewick/common';
import type {Route, Stage} from '@chivewick/engines';

/** The fields of an endpoint that the search uses. */
export interface SearchEndpoint {
  readonly id: EndpointId;
  readonly address: string;
  /** Index of the failure domain in the link table. */
  readonly domain: number;
}

/** An endpoint considered for a route, with its costs. */
export interface Candidate {
  readonly endpoint: SearchEndpoint;
  readonly from: number;
  readonly to: number;
  /** Duration of the response's work for one layer, in microseconds. */
  readonly perLayerUs: number;
  /** Delays and penalties that occur once, in microseconds. */
  readonly fixedUs: number;
  /** Price of holding KV cache during the response, per unit of its duration. */
  readonly price: number;
  /** Whether it may be the first stage, which receives the request; default true. */
  readonly mayBeFirst?: boolean;
}

/** A partial chain from layer 0, linked backwards. */
interface Label {
  readonly candidate: Candidate;
  readonly from: number;
  readonly to: number;
  readonly timeUs: number;
  readonly fixedUs: number;
  readonly price: number;
  readonly before?: Label;
}

/** Parameters of the search other than the candidates. */
export interface SearchOptions {
  readonly layers: number;
  /** Time on the link into a stage; `from` is undefined for the first. */
  readonly linkUs: (from: number | undefined, to: number) => number;
}

/**
 * Finds the cheapest chain of candidates that covers the layers exactly once.
 * Boundaries are visited in ascending order and every edge leads to a higher
 * boundary, so one pass of label correction settles all labels. A candidate may
 * run a part of its range, up to any boundary of another candidate.
 *
 * Every stage holds KV cache until the slowest stage is done, so the cost of a
 * chain is its duration times (1 + the sum of the prices of its stages). This
 * favours chains of equally fast stages when KV cache is scarce. The cost is not
 * additive, so with more than two stages the chain found is close to the cheapest
 * but not always the cheapest.
 *
 * @example
 * const route = searchRoute(candidates, {layers: 24, linkUs: () => 0});
 */
export function searchRoute(
  candidates: readonly Candidate[],
  options: SearchOptions,
): Route | undefined {
  const boundaries = boundariesOf(candidates, options.layers);
  const labelsByBoundary: Label[][] = boundaries.map(() => []);
  const last = boundaries.length - 1;
  for (let index = 0; index < last; index++) {
    const boundary = boundaries[index];
    const labels = index === 0 ? undefined : labelsByBoundary[index];
    if (labels?.length === 0) continue;
    for (const candidate of candidates) {
      if (candidate.from > boundary || candidate.to <= boundary) continue;
      if (index === 0 && candidate.mayBeFirst === false) continue;
      const workUs = (candidate.to - boundary) * candidate.perLayerUs;
      const start = cheapestStart(candidate, workUs, labels, options);
      if (start !== undefined)
        extend(candidate, index, start, boundaries, labelsByBoundary);
    }
  }
  const end = cheapest(labelsByBoundary[last]);
  return end === undefined ? undefined : toRoute(end);
}

/** Returns layer 0, the number of layers and every boundary between, ascending. */
function boundariesOf(
  candidates: readonly Candidate[],
  layers: number,
): number[] {
  const found = [0, layers];
  for (const {from, to} of candidates) {
    if (from < layers && !found.includes(from)) found.push(from);
    if (to < layers && !found.includes(to)) found.push(to);
  }
  return found.sort((a, b) => a - b);
}

/** Cheapest way to reach the start of a stage. */
interface Start {
  readonly timeUs: number;
  readonly before?: Label;
}

function cheapestStart(
  candidate: Candidate,
  workUs: number,
  labels: readonly Label[] | undefined,
  {linkUs}: SearchOptions,
): Start | undefined {
  const domain = candidate.endpoint.domain;
  if (labels === undefined) return {timeUs: linkUs(undefined, domain)};
  let best: Label | undefined;
  let bestUs = Infinity;
  let bestTimeUs = 0;
  for (const label of labels) {
    const timeUs =
      label.timeUs + linkUs(label.candidate.endpoint.domain, domain);
    const price = 1 + label.price + candidate.price;
    const costUs = (timeUs + workUs) * price + label.fixedUs;
    if (costUs >= bestUs || usesCandidate(label, candidate)) continue;
    best = label;
    bestUs = costUs;
    bestTimeUs = timeUs;
  }
  return best && {timeUs: bestTimeUs, before: best};
}

function usesCandidate(label: Label, candidate: Candidate): boolean {
  for (
    let visited: Label | undefined = label;
    visited !== undefined;
    visited = visited.before
  )
    if (visited.candidate === candidate) return true;
  return false;
}

function extend(
  candidate: Candidate,
  index: number,
  {timeUs, before}: Start,
  boundaries: readonly number[],
  labelsByBoundary: readonly Label[][],
): void {
  const from = boundaries[index];
  const fixedUs = candidate.fixedUs + (before?.fixedUs ?? 0);
  const price = candidate.price + (before?.price ?? 0);
  for (let end = index + 1; end < boundaries.length; end++) {
    const to = boundaries[end];
    if (to > candidate.to) break;
    labelsByBoundary[end].push({
      candidate,
      from,
      to,
      timeUs: timeUs + (to - from) * candidate.perLayerUs,
      fixedUs,
      price,
      before,
    });
  }
}

function cheapest(labels: readonly Label[]): Label | undefined {
  let best: Label | undefined;
  let bestUs = Infinity;
  for (const label of labels) {
    const costUs = label.timeUs * (1 + label.price) + label.fixedUs;
    if (costUs >= bestUs) continue;
    best = label;
    bestUs = costUs;
  }
  return best;
}

function toRoute(last: Label): Route {
  const stages: Stage[] = [];
  for (
    let label: Label | undefined = last;
    label !== undefined;
    label = label.before
  ) {
    const {id, address} = label.candidate.endpoint;
    stages.push({endpoint: id, address, from: label.from, to: label.to});
  }
  return stages.reverse();
}
