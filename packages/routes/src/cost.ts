import type {EngineStatus, LayerRange} from '@chivewick/engines';
import type {Candidate} from './search.js';
import type {Endpoint} from './endpoint.js';

/** Assumed number of tokens of a response, to weigh decode against prefill. */
export const EXPECTED_TOKENS = 32;
/** Number of requests that a prefill delays, for each request on the engine. */
const PREFILL_DELAY_PER_REQUEST = 2.5;
/** Number of requests in a batch that doubles the duration of a decode step. */
const STEP_DOUBLING_REQUESTS = 16;
/** Added for an adapter that the engine has to load first. */
const ADAPTER_LOAD_US = 2_000_000;
/** Price of KV cache when half of it is in use. */
const KV_PRICE_AT_HALF_USE = 0.03;
/** Upper bound of the used share of the KV cache for its price. */
const MAX_KV_USED = 0.95;
/** Weight of the wait for the first token against the rest of the response. */
const FIRST_TOKEN_WAIT_WEIGHT = 4;
/** Uncertainty of the number of requests for which KV cache is free. */
const KV_CAPACITY_ERROR = 4;

/** Properties of the request that the cost of a stage depends on. */
export interface CostContext {
  readonly adapter: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Prompt tokens that the endpoint does not have to compute. */
  readonly cachedTokens: (endpoint: Endpoint) => number;
  /** Random factor on the cost that breaks ties. */
  readonly tieBreakFactor: () => number;
}

/**
 * Estimates the requests on the endpoint now: the reported ones, corrected by
 * those that this host started and finished since the report was measured.
 *
 * @example
 * const requests = currentRequests(endpoint, status);
 */
export function currentRequests(
  endpoint: Endpoint,
  {load}: EngineStatus,
): number {
  return Math.max(0, load.running + load.queued + endpoint.ownSinceReport);
}

/**
 * Duration of one decode step for a number of layers, in microseconds.
 *
 * @example
 * const us = decodeStepUs(endpoint, status, {from: 0, to: 12});
 */
export function decodeStepUs(
  endpoint: Endpoint,
  status: EngineStatus,
  {from, to}: LayerRange,
): number {
  const batch = 1 + currentRequests(endpoint, status) / STEP_DOUBLING_REQUESTS;
  return (to - from) * status.decodeUs * batch * endpoint.slowness;
}

/**
 * Returns an endpoint as a candidate, with its costs for one request. Times are in
 * microseconds over the whole response.
 *
 * @example
 * const candidate = endpointCost(endpoint, status, ctx);
 */
export function endpointCost(
  endpoint: Endpoint,
  status: EngineStatus,
  ctx: CostContext,
): Candidate {
  const {load, layers, decodeUs, prefillUs} = status;
  const uncached = Math.max(0, ctx.promptTokens - ctx.cachedTokens(endpoint));
  const requests = currentRequests(endpoint, status);
  const decodeWorkUs =
    EXPECTED_TOKENS * decodeUs * (1 + requests / STEP_DOUBLING_REQUESTS);
  const prefillWorkUs =
    uncached * prefillUs * (1 + requests * PREFILL_DELAY_PER_REQUEST);
  const perLayerUs =
    (decodeWorkUs + prefillWorkUs) * endpoint.slowness * ctx.tieBreakFactor();
  const neededTokens = ctx.promptTokens + ctx.maxTokens;
  const freeTokens = Math.max(0, load.kvFree - endpoint.ownTokensSinceReport);
  const expectedQueued =
    load.queued +
    KV_CAPACITY_ERROR *
      Math.log1p(Math.exp(-freeTokens / neededTokens / KV_CAPACITY_ERROR));
  // A queued request is admitted when a running one ends.
  const waitUs =
    (expectedQueued * perLayerUs * (layers.to - layers.from)) /
    Math.max(1, load.running);
  const usedShare = Math.min(MAX_KV_USED, 1 - freeTokens / load.kvTotal);
  return {
    endpoint,
    from: layers.from,
    to: layers.to,
    perLayerUs,
    fixedUs: FIRST_TOKEN_WAIT_WEIGHT * waitUs + adapterUs(status, ctx),
    price: (KV_PRICE_AT_HALF_USE * usedShare) / (1 - usedShare),
  };
}

function adapterUs(status: EngineStatus, {adapter}: CostContext): number {
  const loaded = adapter === '' || status.adapters.includes(adapter);
  return loaded ? 0 : ADAPTER_LOAD_US;
}
