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
    const cover = choosePath(endpoints, profile, {
      ...request,
      exclude,
      range: {from: stage.from, to: stage.to},
    });
    if (cover === undefined) return undefined;
    for (const part of cover) exclude.add(part.endpoint);
    repaired.push(...cover);
  }
  return repaired;
}
