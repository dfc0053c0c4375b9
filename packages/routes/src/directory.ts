import {
  fail,
  ok,
  PREFIX_BLOCK_TOKENS,
  type EndpointId,
  type Failure,
  type FailureDomain,
  type Random,
  type Result,
} from '@chivewick/common';
import type {CacheEvent, EngineStatus, Route} from '@chivewick/engines';
import {createBreaker} from '@chivewick/retries';
import {endpointCost, EXPECTED_TOKENS, type CostContext} from './cost.js';
import {
  applyPollFailure,
  applyStatus,
  countOwnRequest,
  createEndpoint,
  isUsableAsFallback,
  isUsable,
  type Endpoint,
} from './endpoint.js';
import {createGroups} from './groups.js';
import {createBlockIndex} from './block-index.js';
import {createLinks} from './links.js';
import {applyPace} from './pace.js';
import {promptBlocks} from './prompt-blocks.js';
import {drawSample} from './sample.js';
import {searchRoute, type Candidate} from './search.js';
import type {Observation, RouteRequest} from './types.js';

/** Costs of routes that differ by no more than this share count as equal. */
const TIE_BREAK_NOISE = 0.1;
/** Maximum number of endpoints added to a sample because they hold the prefix. */
const MAX_HOLDERS = 8;
/** Factor on the slowness of an endpoint for each `slow` observation. */
const SLOW_FACTOR = 2;

/** The state and decisions of a route table, without the polling. */
export interface Directory {
  /** Sets the failure domain of this host. */
  setLocalDomain(domain: FailureDomain): void;
  add(entry: {
    id: EndpointId;
    address: string;
    failureDomain: FailureDomain;
    listedLeaving: boolean;
  }): void;
  remove(endpoint: EndpointId): void;
  setListedLeaving(endpoint: EndpointId, leaving: boolean): void;
  get(endpoint: EndpointId): Endpoint | undefined;
  all(): Iterable<Endpoint>;
  report(status: EngineStatus): void;
  pollFailed(endpoint: EndpointId, err: Failure): void;
  cacheEvents(
    endpoint: EndpointId,
    batch: {events: readonly CacheEvent[]; next: number},
  ): void;
  choose(req: RouteRequest): Result<Route>;
  observe(observation: Observation): void;
}

/**
 * Creates a route table without polling; `createRouteTable` adds the polling.
 *
 * @example
 * const directory = createDirectory({random, now: () => performance.now()});
 * directory.add({id, address, failureDomain, listedLeaving: false});
 * directory.report(status);
 */
export function createDirectory(options: {
  random: Random;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Called when an endpoint's breaker opens. */
  breakerOpened?: (endpoint: EndpointId) => void;
}): Directory {
  const {random, now, breakerOpened} = options;
  const links = createLinks();
  const table = new Map<EndpointId, Endpoint>();
  const groups = createGroups(isUsable);
  const blockIndex = createBlockIndex();
  let localDomain = 0;

  function updateEndpoint(
    key: EndpointId,
    act: (endpoint: Endpoint) => void,
  ): void {
    const endpoint = table.get(key);
    if (endpoint === undefined) return;
    act(endpoint);
    groups.place(endpoint);
  }

  function remove(key: EndpointId): void {
    const endpoint = table.get(key);
    if (endpoint !== undefined) groups.remove(endpoint);
    endpoint?.cache.clear();
    table.delete(key);
  }

  function choose(req: RouteRequest): Result<Route> {
    links.decay(now());
    const {model, version, layers, exclude} = req;
    const blocks = promptBlocks(req.prompt, req);
    const sample = drawSample(groups.ranges(model, version), {
      random,
      exclude,
      localDomain,
      layers,
    });
    addHolders(sample, blocks, req);
    const linkUs = (from = localDomain, to: number) =>
      2 * EXPECTED_TOKENS * links.oneWayUs(from, to);
    const search = (endpoints: readonly Endpoint[]) =>
      searchRoute(candidatesOf(endpoints, blocks, req), {layers, linkUs});
    const searchWithFallbacks = (fallbacks: readonly Endpoint[]) =>
      fallbacks.length === 0 ? undefined : search([...sample, ...fallbacks]);
    const route = search(sample) ?? searchWithFallbacks(fallbackEndpoints(req));
    if (route !== undefined) return ok(route);
    return fail(
      'no_route',
      `usable endpoints of ${model} ${version} do not cover layers 0 to ${layers}`,
    );
  }

  /**
   * Returns endpoints that are not usable but may still work, for a model that
   * the usable ones do not cover. A busy machine makes all replicas of a stage
   * miss their polls together, and a request that fails on such an endpoint
   * loses no more than one that is refused.
   */
  function fallbackEndpoints({
    model,
    version,
    exclude,
  }: RouteRequest): Endpoint[] {
    const fallbacks: Endpoint[] = [];
    for (const endpoint of table.values()) {
      const {status} = endpoint;
      if (isUsable(endpoint) || !isUsableAsFallback(endpoint)) continue;
      if (status?.model !== model || status.version !== version) continue;
      if (!exclude.has(endpoint.id)) fallbacks.push(endpoint);
    }
    return fallbacks;
  }

  /** Adds endpoints that hold KV or the prefix and are missing from the sample. */
  function addHolders(
    sample: Endpoint[],
    blocks: readonly string[],
    {model, version, exclude, prefer = []}: RouteRequest,
  ): void {
    const add = (endpoint: Endpoint | undefined): void => {
      if (endpoint === undefined || !isUsable(endpoint)) return;
      const {status} = endpoint;
      if (status?.model !== model || status.version !== version) return;
      if (exclude.has(endpoint.id) || sample.includes(endpoint)) return;
      sample.push(endpoint);
    };
    for (const {endpoint} of prefer) add(table.get(endpoint));
    const prefixHolders = blockIndex.findHolders(blocks);
    if (prefixHolders.length <= MAX_HOLDERS) return prefixHolders.forEach(add);
    for (let draws = 0; draws < MAX_HOLDERS; draws++)
      add(prefixHolders[random.int(prefixHolders.length)]);
  }

  function candidatesOf(
    sample: readonly Endpoint[],
    blocks: readonly string[],
    req: RouteRequest,
  ): Candidate[] {
    const {prefer = [], prompt} = req;
    const promptTokens = Buffer.byteLength(prompt);
    const ctx: CostContext = {
      adapter: req.adapter,
      promptTokens,
      maxTokens: req.maxTokens ?? EXPECTED_TOKENS,
      cachedTokens: endpoint =>
        prefer.some(stage => stage.endpoint === endpoint.id)
          ? promptTokens
          : PREFIX_BLOCK_TOKENS * endpoint.cache.expectedHits(blocks),
      tieBreakFactor: () => 1 + TIE_BREAK_NOISE * random.next(),
    };
    const candidates: Candidate[] = [];
    for (const endpoint of sample)
      if (endpoint.status !== undefined)
        candidates.push(endpointCost(endpoint, endpoint.status, ctx));
    return candidates;
  }

  type ObservationOf<K extends Observation['kind']> = Extract<
    Observation,
    {kind: K}
  >;
  const observers: {
    [K in Observation['kind']]: (observation: ObservationOf<K>) => void;
  } = {
    started: observation => recordStart(observation),
    finished: ({endpoint, tokens = 0}) =>
      updateEndpoint(endpoint, known =>
        countOwnRequest(known, -1, tokens, now()),
      ),
    failed: ({endpoint}) =>
      updateEndpoint(endpoint, known => {
        known.failed = true;
        known.breaker.failed();
      }),
    slow: ({endpoint}) =>
      updateEndpoint(endpoint, known => {
        known.slowness *= SLOW_FACTOR;
      }),
    leaving: ({endpoint}) =>
      updateEndpoint(endpoint, known => {
        known.leavingInstance = known.status?.instance ?? '?';
      }),
    pace: ({route, intervalMs}) => {
      const stages = route.flatMap(({endpoint, from, to}) => {
        const known = table.get(endpoint);
        return known === undefined ? [] : [{endpoint: known, from, to}];
      });
      // A stream with tokens shows that its endpoints work.
      for (const {endpoint} of stages)
        updateEndpoint(endpoint.id, known => known.breaker.succeeded());
      if (stages.length === route.length)
        applyPace(stages, intervalMs * 1000, links);
    },
  };

  function recordStart(
    observation: ObservationOf<'started' | 'finished'>,
  ): void {
    updateEndpoint(observation.endpoint, endpoint => {
      countOwnRequest(endpoint, 1, observation.tokens ?? 0, now());
      endpoint.breaker.started();
      if (observation.prompt === undefined || endpoint.status === undefined)
        return;
      const {workspace, adapter = ''} = observation;
      const scope = {...endpoint.status, workspace, adapter};
      endpoint.cache.predict(promptBlocks(observation.prompt, scope));
    });
  }

  return {
    setLocalDomain(domain) {
      localDomain = links.index(domain);
    },
    add(entry) {
      remove(entry.id);
      const domain = links.index(entry.failureDomain);
      const breaker = createBreaker({
        random,
        now,
        onOpen: () => breakerOpened?.(entry.id),
      });
      const endpoint = createEndpoint({...entry, domain, breaker}, blockIndex);
      table.set(entry.id, endpoint);
    },
    remove,
    setListedLeaving: (key, leaving) =>
      updateEndpoint(key, endpoint => {
        endpoint.listedLeaving = leaving;
      }),
    get: key => table.get(key),
    all: () => table.values(),
    report: status =>
      updateEndpoint(status.endpoint, endpoint =>
        applyStatus(endpoint, status, now()),
      ),
    pollFailed: (key, err) =>
      updateEndpoint(key, endpoint => applyPollFailure(endpoint, err)),
    cacheEvents: (key, {events, next}) =>
      table.get(key)?.cache.apply(events, next),
    choose,
    observe(observation) {
      const observer = observers[observation.kind] as (
        observation: Observation,
      ) => void;
      observer(observation);
    },
  };
}
