import {id, type EndpointId} from '@chivewick/common';
import type {DependencyContainer} from 'tsyringe';
import {TOKENS} from '../tokens.js';

const CHECK_INTERVAL_MS = 250;

/**
 * Moves streams off endpoints that are leaving according to the host list, the
 * engine's status or a refused session. Returns a function that stops the check.
 */
export function moveStreamsFromLeavingEndpoints(
  c: DependencyContainer,
): () => void {
  const routes = c.resolve(TOKENS.routes);
  const pipeline = c.resolve(TOKENS.pipeline);
  const moved = new Set<EndpointId>();
  const check = () => {
    for (const endpoint of routes.endpoints()) {
      const endpointId = id<EndpointId>(endpoint.id);
      if (!endpoint.leaving) moved.delete(endpointId);
      else if (!moved.has(endpointId)) {
        moved.add(endpointId);
        pipeline.moveRequestsFrom(endpointId);
      }
    }
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  return () => clearInterval(timer);
}
