import type {ServiceName} from '@chivewick/common';
import type {RouteRule, RouteTarget, RoutingConfig} from './types.js';

/** Finds the route of a request. */
export interface Routing {
  readonly config: RoutingConfig;
  /** Returns the rule with the longest matching prefix; undefined if none matches. */
  match(host: string, path: string): RouteRule | undefined;
}

/** The rules of a host name by prefix, and the lengths of the prefixes. */
interface HostRules {
  readonly byPrefix: Map<string, RouteRule>;
  /** The longest first. */
  readonly lengths: readonly number[];
}

/**
 * Indexes a configuration by host and prefix, so that a match costs one lookup per
 * length of a prefix, independent of the number of routes and of slashes in the path.
 *
 * @example
 * const rule = createRouting(config).match('rota.example', '/slots/7');
 */
export function createRouting(config: RoutingConfig): Routing {
  const byHost = new Map<string, HostRules>();
  for (const [host, rules] of groupByHost(config.routes)) {
    const byPrefix = new Map(rules.map(rule => [rule.pathPrefix, rule]));
    const lengths = new Set([...byPrefix.keys()].map(({length}) => length));
    byHost.set(host, {byPrefix, lengths: [...lengths].sort((a, b) => b - a)});
  }
  return {
    config,
    match(host, path) {
      const rules = byHost.get(hostName(host));
      if (rules === undefined) return undefined;
      const pathOnly = withoutQuery(path);
      for (const length of rules.lengths) {
        if (pathOnly[length - 1] !== '/') continue;
        const rule = rules.byPrefix.get(pathOnly.slice(0, length));
        if (rule !== undefined) return rule;
      }
      return undefined;
    },
  };
}

function groupByHost(
  rules: readonly RouteRule[],
): Map<string, readonly RouteRule[]> {
  const groups = new Map<string, RouteRule[]>();
  for (const rule of rules) {
    const host = rule.host.toLowerCase();
    const group = groups.get(host) ?? [];
    group.push(rule);
    groups.set(host, group);
  }
  return groups;
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
