import type {ServiceName} from '@chivewick/common';
import type {RouteRule, RouteTarget, RoutingConfig} from './types.js';

/** Finds the route of a request. */
export interface Routing {
  readonly config: RoutingConfig;
  /** Returns the rule with the longest matching prefix; undefined if none matches. */
  match(host: string, path: string): RouteRule | undefined;
}

/**
 * Indexes a configuration by host and prefix, so that a match costs one lookup per
 * path segment, independent of the number of routes.
 *
 * @example
 * const rule = createRouting(config).match('rota.example', '/slots/7');
 */
export function createRouting(config: RoutingConfig): Routing {
  const byHost = new Map<string, Map<string, RouteRule>>();
  for (const rule of config.routes) {
    const host = rule.host.toLowerCase();
    const prefixes = byHost.get(host) ?? new Map<string, RouteRule>();
    prefixes.set(rule.pathPrefix, rule);
    byHost.set(host, prefixes);
  }
  return {
    config,
    match(host, path) {
      const prefixes = byHost.get(hostName(host));
      if (prefixes === undefined) return undefined;
      const pathOnly = withoutQuery(path);
      let end = pathOnly.lastIndexOf('/');
      while (end >= 0) {
        const rule = prefixes.get(pathOnly.slice(0, end + 1));
        if (rule !== undefined) return rule;
        if (end === 0) return undefined;
        end = pathOnly.lastIndexOf('/', end - 1);
      }
      return undefined;
    },
  };
}

/**
 * Picks a target by weight.
 *
 * @param draw a random number in [0, 1).
 * @returns undefined if no target has a positive weight.
 * @example
 * pickTarget([{service: a, weight: 90}, {service: b, weight: 10}], 0.95); // b
 */
export function pickTarget(
  targets: readonly RouteTarget[],
  draw: number,
): ServiceName | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let left = draw * total;
  for (const {service, weight} of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets.findLast(target => target.weight > 0)?.service;
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

function withoutQuery(path: string): string {
  const query = path.indexOf('?');
  return query < 0 ? path : path.slice(0, query);
}
