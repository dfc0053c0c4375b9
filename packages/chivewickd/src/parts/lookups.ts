import {
  failure,
  type Logger,
  type Random,
  type ServiceName,
} from '@chivewick/common';
import {
  createBreaker,
  createHedgeDelay,
  createRetryBudget,
  hedge,
  type Breaker,
  type HedgeDelay,
  type RetryBudget,
  type Send,
} from '@chivewick/retries';
import type {
  ServiceApi,
  ServiceCall,
  ServiceOutcome,
} from '@chivewick/services';

const LOOKUP_TIMEOUT_MS = 2_000;
/** Hedged requests allowed for each successful lookup. */
const HEDGE_RATIO = 0.05;
const SERVER_ERROR_STATUS = 500;

/** Sends repeatable service calls. */
export interface Lookups {
  send(service: ServiceName, call: ServiceCall): Promise<ServiceOutcome>;
}

export interface LookupsOptions {
  readonly services: ServiceApi;
  /** Addresses of a service's live endpoints, best first. */
  readonly addresses: (service: ServiceName) => readonly string[];
  /** Retry budget shared by all lookups of this host. */
  readonly budget: RetryBudget;
  /** Whether this host has no lookups queued; only then are lookups hedged. */
  readonly idle: () => boolean;
  readonly random: Random;
  readonly log: Logger;
}

/**
 * Creates the sender of lookups. Endpoints with an open circuit breaker are
 * skipped, a lookup slower than the 95th percentile is hedged while no request is
 * queued, and a failed one is retried at another endpoint within the retry
 * budget.
 *
 * @example
 * const lookups = createLookups({services, addresses, budget, idle, random, log});
 * const outcome = await lookups.send(service, {method: 'GET', path: '/status'});
 */
export function createLookups(options: LookupsOptions): Lookups {
  const {services, addresses, budget, idle, random, log} = options;
  const breakers = new Map<string, Breaker>();
  const hedgeDelays = new Map<ServiceName, HedgeDelay>();
  const hedgeBudget = createRetryBudget({
    ratio: HEDGE_RATIO,
    reservePerSecond: 0,
  });

  function breakerOf(address: string): Breaker {
    const known = breakers.get(address);
    if (known !== undefined) return known;
    const onOpen = () => log.event('breakerOpened', {endpoint: address});
    const breaker = createBreaker({random, onOpen});
    breakers.set(address, breaker);
    return breaker;
  }

  function hedgeDelayOf(service: ServiceName): HedgeDelay {
    const delay = hedgeDelays.get(service) ?? createHedgeDelay();
    hedgeDelays.set(service, delay);
    return delay;
  }

  /** Returns the endpoints whose breakers allow a request, or all if none does. */
  function candidates(service: ServiceName): readonly string[] {
    const all = addresses(service);
    const allowed = all.filter(address => breakerOf(address).allows());
    return allowed.length > 0 ? allowed : all;
  }

  function sendTo(
    service: ServiceName,
    call: ServiceCall,
    address: string,
  ): Send<ServiceOutcome> {
    return async signal => {
      const breaker = breakerOf(address);
      breaker.started();
      const startedAt = performance.now();
      const limits = {timeoutMs: LOOKUP_TIMEOUT_MS, signal};
      const outcome = await services.call(address, call, limits);
      if (signal.aborted) return outcome;
      if (!isGood(outcome)) {
        breaker.failed();
        return outcome;
      }
      breaker.succeeded();
      budget.succeeded();
      hedgeBudget.succeeded();
      hedgeDelayOf(service).record(performance.now() - startedAt);
      return outcome;
    };
  }

  return {
    async send(service, call) {
      const queue = [...candidates(service)];
      const err = failure(
        'no_route',
        `service ${service} has no live endpoint`,
      );
      let outcome: ServiceOutcome = {kind: 'not_sent', err};
      for (let first = true; queue.length > 0; first = false) {
        if (!first && !budget.take()) return outcome;
        const primary = sendTo(service, call, queue.shift()!);
        const [next] = queue;
        const mayHedge = () =>
          next !== undefined && idle() && hedgeBudget.take();
        outcome = await hedge(
          primary,
          next === undefined ? primary : sendTo(service, call, next),
          hedgeDelayOf(service).delayMs(),
          {isGood, mayHedge},
        );
        if (isGood(outcome)) return outcome;
      }
      return outcome;
    },
  };
}

function isGood(outcome: ServiceOutcome): boolean {
  if (outcome.kind !== 'answered') return false;
  return outcome.answer.status < SERVER_ERROR_STATUS;
}
