/** Divides the layers of a model into the ranges that engines should hold. */
import type {ModelGrant} from '@chivewick/common';
import type {LayerRange} from '@chivewick/engines';
import {isRangeOf, type LoadedWeights} from './same-state.js';

/** A range that an engine holds, held, or was ordered to hold. */
export interface KnownRange extends LoadedWeights {
  /** Whether an engine currently serves it. */
  readonly serving: boolean;
}

// Cost of one layer in a division. Served ranges are preferred, then known
// ranges, because an engine of that size exists.
const SERVED_LAYER_COST = 1;
const KNOWN_LAYER_COST = 10;
const NEW_LAYER_COST = 1_000;
/**
 * Cost of one range, so that of equal divisions the one with fewer ranges wins.
 */
const RANGE_COST = 0.1;

interface Edge extends LayerRange {
  readonly cost: number;
  readonly known: boolean;
}

/**
 * Divides the layers of a model into adjacent ranges from the first to the last
 * layer. Ranges that engines already hold are kept where they fit together; the
 * rest is cut into ranges of at most `width` layers. Computed as a shortest
 * path over layer boundaries.
 *
 * @example
 * divideLayers(grant, known, 8); // [{from: 0, to: 8}, {from: 8, to: 16}, ...]
 */
export function divideLayers(
  grant: ModelGrant,
  ranges: readonly KnownRange[],
  width: number,
): LayerRange[] {
  const edges = new Map<string, Edge>();
  const points = new Set([0, grant.layers]);
  for (const {model, version, layers, serving} of ranges) {
    if (model !== grant.model || !isRangeOf(layers, grant.layers)) continue;
    const {from, to} = layers;
    points.add(from).add(to);
    const perLayer =
      serving && version === grant.version
        ? SERVED_LAYER_COST
        : KNOWN_LAYER_COST;
    const cost = RANGE_COST + perLayer * (to - from);
    const key = `${from}-${to}`;
    if (cost < (edges.get(key)?.cost ?? Infinity))
      edges.set(key, {from, to, cost, known: true});
  }
  const sorted = [...points].sort((a, b) => a - b);
  const gaps = sorted.slice(1).map((to, at): Edge => {
    const from = sorted[at];
    return {
      from,
      to,
      cost: RANGE_COST + NEW_LAYER_COST * (to - from),
      known: false,
    };
  });
  const path = shortestPath(sorted, [...edges.values(), ...gaps]);
  return cutGaps(path, width);
}

function shortestPath(points: readonly number[], edges: Edge[]): Edge[] {
  const best = new Map<number, {cost: number; last?: Edge}>();
  best.set(points[0], {cost: 0});
  edges.sort((a, b) => a.from - b.from || a.to - b.to);
  for (const edge of edges) {
    const start = best.get(edge.from)!;
    const cost = start.cost + edge.cost;
    if (cost < (best.get(edge.to)?.cost ?? Infinity))
      best.set(edge.to, {cost, last: edge});
  }
  const path: Edge[] = [];
  for (let at = points.at(-1)!; at > points[0];) {
    const {last} = best.get(at)!;
    path.unshift(last!);
    at = last!.from;
  }
  return path;
}

function cutGaps(path: readonly Edge[], width: number): LayerRange[] {
  const joined: {from: number; to: number; known: boolean}[] = [];
  for (const {from, to, known} of path) {
    const last = joined.at(-1);
    if (last !== undefined && !last.known && !known) last.to = to;
    else joined.push({from, to, known});
  }
  return joined.flatMap(({from, to, known}) =>
    known ? [{from, to}] : cut(from, to, width),
  );
}

/** Cuts a range evenly into the fewest parts of at most `width` layers. */
function cut(from: number, to: number, width: number): LayerRange[] {
  const parts = Math.ceil((to - from) / Math.max(1, width));
  const edge = (part: number) =>
    from + Math.round(((to - from) * part) / parts);
  return Array.from({length: parts}, (_, part) => ({
    from: edge(part),
    to: edge(part + 1),
  }));
}
