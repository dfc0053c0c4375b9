import type {EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import {searchRoute, type Candidate} from '@chivewick/routes';
import type {EndpointState} from './endpoint-table.js';
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

/** An engine's own word that it is slow counts for so long. */
const SLOWNESS_KEPT_MS = 6_000;

/** A request that needs a path through all layers. */
export interface PathRequest {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly exclude: ReadonlySet<EndpointId>;
  /** Hosts whose load is not known; they are taken to be like this one. */
  readonly missingHosts: number;
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
  const crossUs = crossDomainUs(profile, request);
  const route = searchRoute(candidates, {
    layers: profile.layers,
    linkUs: (from, to) => (from === undefined || from === to ? 0 : crossUs),
  });
  return route === undefined ? undefined : [...route];
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

/** Time that crossing between two failure domains adds to a response. */
function crossDomainUs(profile: EngineProfile, request: PathRequest): number {
  const {promptTokens, answerTokens} = request;
  const delayMs = Math.max(0, ...profile.delays.map(delay => delay.delayMs));
  const bits = (promptTokens + answerTokens) * profile.activationBytes * 8;
  const pipeMs = bits / (profile.pipeMbps * 1_000);
  return (
    (delayMs * answerTokens + pipeMs) * MICROSECONDS -
    NEAR_HOP_US * answerTokens
  );
}
