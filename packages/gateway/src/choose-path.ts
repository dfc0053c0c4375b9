import type {EndpointId, Random} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import {searchRoute, type Candidate} from '@chivewick/routes';
import type {EndpointState} from './endpoint-table.js';
import {crossingMs, type PipeUse} from './pipe-use.js';
import type {EngineProfile} from './types.js';

/** Delay of a hop inside a failure domain, in microseconds. */
const NEAR_HOP_US = 200;
/**
 * Charge for each stage, in microseconds: each is one more endpoint whose death
 * stalls the response.
 */
const STAGE_RISK_US = 30_000;
/** Part of the memory above which an endpoint counts as nearly full. */
const MOST_USED = 0.97;
/**
 * Price of memory: small while an endpoint has room, since fast engines serve
 * best when they are used to the full, and steep near the end.
 */
const MEMORY_PRICE = 1;
const MEMORY_PRICE_POWER = 2;
/** Slow-down of decoding by each other request whose prompt may be read. */
const READ_SHARE = 0.01;
const MICROSECONDS = 1_000;

/**
 * Streams that may all choose the same endpoint unseen: about a quarter of what
 * the memory of a large engine holds at once.
 */
const STARTS_WITH_ROOM = 25;
/** Failure domains that a choice considers when it does not consider all. */
const DRAWN_DOMAINS = 2;
/** With fewer endpoints of a domain, a whole path is seldom found inside it. */
const LEAST_DOMAIN_PART = 0.6;
/** An engine's own word that it is slow counts for so long. */
const SLOWNESS_KEPT_MS = 6_000;

/** A request that needs a path through all layers. */
export interface PathRequest {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly exclude: ReadonlySet<EndpointId>;
  /** Hosts whose load is not known; they are taken to be like this one. */
  readonly missingHosts: number;
  /** Part of the endpoints that this choice considers, drawn at random. */
  readonly consideredPart: number;
  readonly random: Random;
  readonly pipes: Pick<PipeUse, 'busyPart'>;
  readonly nowMs: number;
}

/**
 * Chooses the path with the least expected time for a request over everything
 * that is placed, weighing speed, load, memory for tokens and the links between
 * failure domains. Answers uneven load: a busy or nearly full engine costs more,
 * so that requests spread over slower ones before anything waits.
 *
 * @returns the stages in order; undefined where some layer has no endpoint.
 * @example
 * const stages = choosePath(table.usable(service), profile, request);
 */
export function choosePath(
  endpoints: readonly EndpointState[],
  profile: EngineProfile,
  request: PathRequest,
): Stage[] | undefined {
  const candidates: Candidate[] = [];
  for (const state of endpoints) {
    const candidate = candidateOf(state, profile, request);
    if (candidate !== undefined) candidates.push(candidate);
  }
  const linkUs = createLinkCosts(profile, request);
  const search = (from: readonly Candidate[]) =>
    searchRoute(from, {layers: profile.layers, linkUs});
  if (request.consideredPart < 1) {
    const route =
      search(drawFromDomains(candidates, request)) ??
      search(drawFromDomains(candidates, request));
    if (route !== undefined) return [...route];
  }
  const route = search(candidates);
  return route === undefined ? undefined : [...route];
}

/**
 * Time that each link between two failure domains adds to a response, computed
 * once a choice: the search asks for it at every pair of candidates.
 */
function createLinkCosts(
  profile: EngineProfile,
  request: PathRequest,
): (from: number | undefined, to: number) => number {
  const delayMs = longestDelayMs(profile);
  const nearUs = NEAR_HOP_US * request.answerTokens;
  const known: (number | undefined)[][] = [];
  return (from, to) => {
    if (from === undefined || from === to) return 0;
    const costs = (known[from] ??= []);
    const cost = costs[to];
    if (cost !== undefined) return cost;
    const busyPart = request.pipes.busyPart(from, to);
    const addedMs = crossingMs(profile, {...request, delayMs, busyPart});
    return (costs[to] = addedMs * MICROSECONDS - nearUs);
  };
}

/**
 * Draws endpoints of two failure domains. Whole paths inside a domain must stay
 * possible, since what passes between domains waits in their pipes; of two
 * domains the search takes the less loaded one.
 */
function drawFromDomains(
  candidates: readonly Candidate[],
  {consideredPart, random}: PathRequest,
): Candidate[] {
  const domains = [...new Set(candidates.map(({endpoint}) => endpoint.domain))];
  const drawn = new Set<number>();
  while (drawn.size < Math.min(DRAWN_DOMAINS, domains.length))
    drawn.add(domains[random.int(domains.length)]);
  const part = Math.max(
    LEAST_DOMAIN_PART,
    (consideredPart * domains.length) / drawn.size,
  );
  return candidates.filter(
    ({endpoint}) => drawn.has(endpoint.domain) && random.next() < part,
  );
}

/**
 * Part of the endpoints that one choice considers. Answers many hosts that
 * choose at once from the same reports: each would take the endpoints that look
 * best, and overload them before the next report. Power of k choices: Mitzenmacher,
 * "The power of two choices in randomized load balancing", 2001, where the
 * choice with old information is worse the more choices it considers.
 *
 * @param unseenStarts streams that others place before their loads are known.
 * @example
 * consideredPart(8); // 1
 * consideredPart(100); // a quarter
 */
export function consideredPart(unseenStarts: number): number {
  return Math.min(1, STARTS_WITH_ROOM / Math.max(1, unseenStarts));
}

/**
 * Lists the layers that no endpoint could take for a request, for the log line
 * of a refusal: `'20-40, 70-80'`.
 *
 * @example
 * layersWithoutRoom(table.usable(service), profile, request);
 */
export function layersWithoutRoom(
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
  return gaps.join(', ');
}

/** Token memory of an endpoint that holds a number of layers: tokens x layers. */
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

function candidateOf(
  state: EndpointState,
  profile: EngineProfile,
  request: PathRequest,
): Candidate | undefined {
  const {layers, accelerator, id, address} = state.record;
  const kind = profile.kinds.get(accelerator ?? '');
  if (layers === undefined || kind === undefined) return undefined;
  if (request.exclude.has(id) || state.fullUntilMs > request.nowMs) {
    return undefined;
  }
  const {promptTokens, answerTokens, missingHosts} = request;
  const held = layers.to - layers.from;
  const running = state.running * (1 + missingHosts) + state.othersRunning;
  const heldTokenLayers =
    state.heldTokenLayers * (1 + missingHosts) + state.othersTokenLayers;
  const contextTokens = promptTokens + answerTokens / 2;
  const stepMs =
    profile.stepMs +
    (running + 1) *
      (profile.perSequenceMs +
        (profile.contextMsPerThousand * contextTokens) / 1_000);
  const readMs = promptTokens / (profile.readTokensPerS / 1_000);
  const decodeMs = answerTokens * stepMs * kind.pace;
  const isSlow = request.nowMs - state.slownessAtMs < SLOWNESS_KEPT_MS;
  const slowness = isSlow ? Math.max(1, state.slowness) : 1;
  const passMs =
    slowness *
    (decodeMs * (1 + READ_SHARE * running) + readMs * kind.readFactor);
  const capacity = tokenLayerCapacity(profile, accelerator, held);
  const used = Math.min(MOST_USED, heldTokenLayers / Math.max(1, capacity));
  return {
    endpoint: {id, address, domain: state.domain},
    from: layers.from,
    to: layers.to,
    perLayerUs: (passMs * MICROSECONDS) / profile.layers,
    fixedUs: STAGE_RISK_US,
    price: (MEMORY_PRICE * used ** MEMORY_PRICE_POWER) / (1 - used),
  };
}

/** Longest delay between two failure domains, in milliseconds. */
function longestDelayMs(profile: EngineProfile): number {
  return Math.max(0, ...profile.delays.map(delay => delay.delayMs));
}
