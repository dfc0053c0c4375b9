import type {EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import {choosePath, type PathRequest} from './choose-path.js';
import type {EndpointState} from './endpoint-table.js';
import type {EngineProfile} from './types.js';

/**
 * Replaces the stages of some endpoints in a path and leaves the others unchanged, so
 * that those keep their KV cache.
 *
 * @returns undefined if the first stage would have to be replaced (it owns the
 *     stream) or if no other endpoint holds the layers.
 * @example
 * const stages = repairPath(path, new Set([dead]), usable, profile, request);
 */
export function repairPath(
  path: readonly Stage[],
  replaced: ReadonlySet<EndpointId>,
  endpoints: readonly EndpointState[],
  profile: EngineProfile,
  request: PathRequest,
): Stage[] | undefined {
  if (path.length === 0 || replaced.has(path[0].endpoint)) return undefined;
  const exclude = new Set(request.exclude);
  for (const stage of path) exclude.add(stage.endpoint);
  const repaired: Stage[] = [];
  for (const stage of path) {
    if (!replaced.has(stage.endpoint)) {
      repaired.push(stage);
      continue;
    }
    const cover = coverRange(stage, endpoints, profile, {...request, exclude});
    if (cover === undefined) return undefined;
    for (const part of cover) exclude.add(part.endpoint);
    repaired.push(...cover);
  }
  return repaired;
}

/** Finds the best stages for a range of layers, by a search over clipped ranges. */
function coverRange(
  range: {from: number; to: number},
  endpoints: readonly EndpointState[],
  profile: EngineProfile,
  request: PathRequest,
): Stage[] | undefined {
  const clipped = endpoints.flatMap(state => {
    const {layers} = state.record;
    if (layers === undefined) return [];
    const from = Math.max(layers.from, range.from) - range.from;
    const to = Math.min(layers.to, range.to) - range.from;
    if (from >= to) return [];
    return [{...state, record: {...state.record, layers: {from, to}}}];
  });
  const layers = range.to - range.from;
  const stages = choosePath(clipped, {...profile, layers}, request);
  return stages?.map(stage => ({
    ...stage,
    from: stage.from + range.from,
    to: stage.to + range.from,
  }));
}
