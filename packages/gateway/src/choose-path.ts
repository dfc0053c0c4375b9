import type {EndpointId, Random} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import {searchRoute, type Candidate} from '@chivewick/routes';
import type {EndpointState} from './endpoint-table.js';
import {crossingMs, transferMs, type PipeUsage} from './pipe-usage.js';
import type {EngineProfile} from './types.js';

/** Delay of a hop within a failure domain, in microseconds. */
const LOCAL_HOP_US = 200;
/**
 * Cost added per stage, in microseconds: each stage is one more endpoint whose
 * failure stalls the response.
 */
const STAGE_RISK_US = 30_000;
/** Cap on the used fraction of memory, which keeps the memory price finite. */
const MAX_USED_FRACTION = 0.97;
/**
 * Parameters of the memory price. It is small while an endpoint has free memory,
 * because fast engines should be fully used, and steep close to the limit.
 */
const MEMORY_PRICE = 1;
const MEMORY_PRICE_POWER = 2;
/**
 * Reserved memory relative to the memory of an engine, up to which it is granted. A
 * stream reserves its whole output from the start, of which it holds half on
 * average, and its end is known about 100 ms late.
 */
const MEMORY_OVERCOMMIT = 1.25;
/**
 * Part of an engine's slots that are given to streams which begin there. Streams beyond the
 * slots wait in the engine for seconds before their first event. The rest is for those that
 * other failure domains have started and not yet reported.
 */
const USED_SLOTS = 0.9;
/** Slowdown of decoding per concurrent request, whose prefill may interfere. */
const PREFILL_SLOWDOWN = 0.01;
const US_PER_MS = 1_000;

/**
 * Unreported streams that may all choose the same endpoint: about a quarter of the
 * streams that fit into the memory of a large engine.
 */
const MAX_UNSEEN_STARTS = 25;
/** Failure domains that are sampled when not all endpoints are considered. */
const SAMPLED_DOMAINS = 2;
/** With a smaller fraction, a domain seldom contains a complete path. */
const MIN_DOMAIN_FRACTION = 0.6;
/** Time for which an engine's report of its slowness is valid. */
const SLOWNESS_VALID_MS = 6_000;

/** Parameters of the choice of a path through all layers. */
export interface PathRequest {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly exclude: ReadonlySet<EndpointId>;
  /** Hosts whose load is unknown; assumed to be equal to that of this host. */
  readonly missingHosts: number;
  /** Fraction of the endpoints to consider, sampled at random. */
  readonly sampleFraction: number;
  /** Failure domain of this host, whose endpoints are always considered. */
  readonly localDomain?: number;
  readonly random: Random;
  readonly pipes: Pick<PipeUsage, 'utilization' | 'isSaturated'>;
  readonly nowMs: number;
  /**
   * What keeps endpoints and pipes off a path: `capacity`, if the load on them is
   * known; `refusals` of endpoints only; or `nothing`, to learn if waiting may help.
   */
  readonly limitedBy: 'capacity' | 'refusals' | 'nothing';
  /** Whether an endpoint takes one more request as the first stage; default all. */
  readonly mayStart?: (endpoint: EndpointId) => boolean;
  /** Time until an endpoint has read the prompts it was given; default 0. */
  readonly waitMs?: (endpoint: EndpointId) => number;
  /** Layers that are needed, if they continue a stage before them; default all. */
  readonly range?: {readonly from: number; readonly to: number};
}

/**
 * Chooses the path with the shortest expected time for a request over all placed
 * layers. The cost includes speed, load, KV cache memory and the links between
 * failure domains. A busy or nearly full engine costs more, so that requests spread
 * to slower engines before any request has to wait.
 *
 * @returns the stages in order; undefined if some layer has no endpoint.
 * @example
 * const stages = choosePath(table.usable(service), profile, request);
 */
export function choosePath(
  endpoints: readonly EndpointState[],
  profile: EngineProfile,
  request: PathRequest,
): Stage[] | undefined {
  const candidates: Candidate[] = [];
  const offset = request.range?.from ?? 0;
  const layerCount = (request.range?.to ?? profile.layers) - offset;
  const stagesOf = (route: readonly Stage[]) =>
    route.map(stage => ({
      ...stage,
      from: stage.from + offset,
      to: stage.to + offset,
    }));
  for (const state of endpoints) {
    const candidate = candidateOf(state, profile, request);
    if (candidate !== undefined) candidates.push(candidate);
  }
  const linkUs = createLinkCosts(profile, request);
  const search = (from: readonly Candidate[]) =>
    searchRoute(from, {layers: layerCount, linkUs});
  if (request.sampleFraction < 1) {
    const route =
      search(sampleDomains(candidates, request)) ??
      search(sampleDomains(candidates, request));
    if (route !== undefined) return stagesOf(route);
  }
  const route = search(candidates);
  return route === undefined ? undefined : stagesOf(route);
}

/**
 * Returns the time that a link between two failure domains adds to a response. The
 * cost is cached for one choice, because the search needs it for every pair of
 * candidates.
 */
function createLinkCosts(
  profile: EngineProfile,
  request: PathRequest,
): (from: number | undefined, to: number) => number {
  const delayMs = maxDelayMs(profile);
  const promptMs = transferMs(profile, request.promptTokens);
  const localUs = LOCAL_HOP_US * request.outputTokens;
  const cache: (number | undefined)[][] = [];
  return (from, to) => {
    if (from === undefined || from === to) return 0;
    const costs = (cache[from] ??= []);
    const cost = costs[to];
    if (cost !== undefined) return cost;
    const utilization = request.pipes.utilization(from, to);
    const isSaturated = request.pipes.isSaturated(from, to, promptMs);
    if (isSaturated && request.limitedBy === 'capacity')
      return (costs[to] = Infinity);
    const addedMs = crossingMs(profile, {...request, delayMs, utilization});
    return (costs[to] = addedMs * US_PER_MS - localUs);
  };
}

/**
 * Samples endpoints of two failure domains, of which one is the local domain if it
 * has endpoints. Complete paths within a domain must remain possible, because
 * traffic between domains queues in their pipes; of two domains the search prefers
 * the less loaded one. The load of the local domain is known best, so all of its
 * endpoints are considered.
 */
function sampleDomains(
  candidates: readonly Candidate[],
  {sampleFraction, localDomain, random}: PathRequest,
): Candidate[] {
  const domains = [...new Set(candidates.map(({endpoint}) => endpoint.domain))];
  const sampled = new Set<number>();
  if (localDomain !== undefined && domains.includes(localDomain))
    sampled.add(localDomain);
  while (sampled.size < Math.min(SAMPLED_DOMAINS, domains.length))
    sampled.add(domains[random.int(domains.length)]);
  const fraction = Math.max(
    MIN_DOMAIN_FRACTION,
    (sampleFraction * domains.length) / sampled.size,
  );
  return candidates.filter(
    ({endpoint: {domain}}) =>
      domain === localDomain ||
      (sampled.has(domain) && random.next() < fraction),
  );
}

/**
 * Returns the fraction of the endpoints that one choice considers. Without sampling,
 * many hosts that choose simultaneously from the same reports would all take the
 * endpoints that look best, and overload them before the next report. See
 * Mitzenmacher, "The power of two choices in randomized load balancing", 2001: with
 * stale information, considering more choices gives worse results.
 *
 * @param unseenStarts streams that other hosts start before their loads are known.
 * @example
 * sampleFraction(8); // 1
 * sampleFraction(100); // 0.25
 */
export function sampleFraction(unseenStarts: number): number {
  return Math.min(1, MAX_UNSEEN_STARTS / Math.max(1, unseenStarts));
}

/**
 * Lists the layers for which no endpoint has capacity, for the message of a
 * refusal: `'20-40, 70-80'`.
 *
 * @example
 * layersWithoutCapacity(table.usable(service), profile, request);
 */
export function layersWithoutCapacity(
  endpoints: readonly EndpointState[],
  profile: EngineProfile,
  request: PathRequest,
): string {
  const ranges = endpoints
    .map(state => candidateOf(state, profile, request))
    .filter(candidate => candidate !== undefined)
    .sort((a, b) => a.from - b.from);
  const gaps: string[] = [];
  let covered = 0;
  for (const {from, to} of ranges) {
    if (from > covered) gaps.push(`${covered}-${from}`);
    covered = Math.max(covered, to);
  }
  if (covered < profile.layers) gaps.push(`${covered}-${profile.layers}`);
  // Otherwise the engines with the first layers take no more requests now.
  return gaps.length > 0 ? gaps.join(', ') : '0, by the limits of the engines';
}

/**
 * Returns the KV cache capacity of an endpoint that holds a number of layers, in
 * tokens times layers; 0 for an unknown accelerator.
 *
 * @example
 * tokenLayerCapacity(profile, 'card', 40);
 */
export function tokenLayerCapacity(
  profile: EngineProfile,
  accelerator: string | undefined,
  layers: number,
): number {
  const kind = profile.kinds.get(accelerator ?? '');
  if (kind === undefined) return 0;
  const freeBytes = (kind.memoryMb - layers * profile.layerMb) * 1e6;
  return Math.max(0, freeBytes / (profile.tokenBytes / profile.layers));
}

/**
 * Returns an engine's slowness according to its last report; 1 if that is too old.
 *
 * @example
 * currentSlowness(state, performance.now());
 */
export function currentSlowness(state: EndpointState, nowMs: number): number {
  const isValid = nowMs - state.slownessAtMs < SLOWNESS_VALID_MS;
  return isValid ? Math.max(1, state.slowness) : 1;
}

function candidateOf(
  state: EndpointState,
  profile: EngineProfile,
  request: PathRequest,
): Candidate | undefined {
  const {layers, accelerator, id, address} = state.record;
  const kind = profile.kinds.get(accelerator ?? '');
  if (layers === undefined || kind === undefined) return undefined;
  const {promptTokens, outputTokens, missingHosts} = request;
  if (request.exclude.has(id)) return undefined;
  const {range = {from: 0, to: profile.layers}} = request;
  const from = Math.max(layers.from, range.from) - range.from;
  const to = Math.min(layers.to, range.to) - range.from;
  if (from >= to) return undefined;
  const running = state.running * (1 + missingHosts) + state.othersRunning;
  const starting = state.starting * (1 + missingHosts) + state.othersStarting;
  const heldTokenLayers =
    state.heldTokenLayers * (1 + missingHosts) + state.othersTokenLayers;
  const contextTokens = promptTokens + outputTokens / 2;
  const stepMs =
    profile.stepMs +
    (running + 1) *
      (profile.perSequenceMs +
        (profile.contextMsPerThousand * contextTokens) / 1_000);
  const prefillMs = promptTokens / (profile.prefillTokensPerS / 1_000);
  const decodeMs = outputTokens * stepMs * kind.pace;
  const slowness = currentSlowness(state, request.nowMs);
  const allLayersMs =
    slowness *
    (decodeMs * (1 + PREFILL_SLOWDOWN * running) + prefillMs * kind.readFactor);
  const capacity = tokenLayerCapacity(
    profile,
    accelerator,
    layers.to - layers.from,
  );
  const neededTokenLayers = (promptTokens + outputTokens) * (to - from);
  const hasRefused = state.fullUntilMs > request.nowMs;
  if (hasRefused && request.limitedBy !== 'nothing') return undefined;
  // An empty engine is tried, because it may hold more than the estimate.
  const isFull =
    heldTokenLayers > 0 &&
    heldTokenLayers + neededTokenLayers > MEMORY_OVERCOMMIT * capacity;
  if (isFull && request.limitedBy === 'capacity') return undefined;
  const usedFraction = Math.min(
    MAX_USED_FRACTION,
    heldTokenLayers / Math.max(1, capacity),
  );
  return {
    endpoint: {id, address, domain: state.domain},
    from,
    to,
    perLayerUs: (allLayersMs * US_PER_MS) / profile.layers,
    fixedUs: STAGE_RISK_US + (request.waitMs?.(id) ?? 0) * US_PER_MS,
    mayBeFirst:
      from > 0 ||
      request.range !== undefined ||
      request.limitedBy === 'nothing' ||
      (request.mayStart?.(id) !== false &&
        (request.limitedBy === 'refusals' ||
          hasFreeSlot(starting, profile.slots))),
    price:
      (MEMORY_PRICE * usedFraction ** MEMORY_PRICE_POWER) / (1 - usedFraction),
  };
}

/**
 * Whether an engine takes one more stream that begins there. Answers a load under which
 * the fastest engine gets most streams.
 */
function hasFreeSlot(starting: number, slots: number): boolean {
  return starting < Math.max(1, USED_SLOTS * slots);
}

/** Maximum delay between two failure domains, in milliseconds. */
function maxDelayMs(profile: EngineProfile): number {
  return Math.max(0, ...profile.delays.map(delay => delay.delayMs));
}
