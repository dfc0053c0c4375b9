import {fail, type Failure, type Result} from '@chivewick/common';
import type {Permit} from './limits-api.js';

/** A request that waits for a slot and, if it generates tokens, for tokens. */
export interface Waiter {
  readonly tokens: number;
  readonly queuedAtMs: number;
  settle(result: Result<Permit>): void;
}

/** The requests of one workspace that wait on this host. */
export interface Waiters {
  /** Queues a request until it is settled, times out or is cancelled. */
  wait(tokens: number, signal: AbortSignal): Promise<Result<Permit>>;
  /** The next request to start; requests without tokens come first. */
  next(hasTokens: (tokens: number) => boolean): Waiter | undefined;
  size(): number;
  /** Milliseconds that the oldest request has waited; 0 if none waits. */
  longestWaitMs(): number;
  /** Total tokens that the waiting requests may generate. */
  tokens(): number;
  failAll(err: Failure): void;
}

export interface WaitersOptions {
  /** Maximum wait, in milliseconds. */
  readonly waitMs: number;
  /** Creates the failure of a request that has waited for `waitMs`. */
  readonly limitExceeded: () => Failure;
  /** Called when a request starts or stops waiting. */
  readonly onChange: () => void;
}

/**
 * Creates the queue of one workspace. Requests that generate no tokens, such as
 * status lookups, don't wait behind requests that wait for tokens.
 *
 * @example
 * const waiters = createWaiters({waitMs: 1000, limitExceeded, onChange: () => {}});
 */
export function createWaiters(options: WaitersOptions): Waiters {
  const {waitMs, limitExceeded, onChange} = options;
  const withoutTokens = new Set<Waiter>();
  const withTokens = new Set<Waiter>();

  const failAll = (err: Failure) => {
    for (const waiter of [...withoutTokens, ...withTokens])
      waiter.settle({ok: false, err});
  };

  return {
    wait(tokens, signal) {
      if (signal.aborted) return Promise.resolve(cancelled());
      const queue = tokens > 0 ? withTokens : withoutTokens;
      return new Promise(resolve => {
        const settle = (result: Result<Permit>) => {
          queue.delete(waiter);
          clearTimeout(timer);
          signal.removeEventListener('abort', onAbort);
          onChange();
          resolve(result);
        };
        const waiter: Waiter = {tokens, queuedAtMs: performance.now(), settle};
        const onAbort = () => settle(cancelled());
        const onTimeout = () => settle({ok: false, err: limitExceeded()});
        const timer = setTimeout(onTimeout, waitMs);
        signal.addEventListener('abort', onAbort);
        queue.add(waiter);
        onChange();
      });
    },
    next(hasTokens) {
      const [tokenless] = withoutTokens;
      if (tokenless !== undefined) return tokenless;
      const [generating] = withTokens;
      return generating !== undefined && hasTokens(generating.tokens)
        ? generating
        : undefined;
    },
    longestWaitMs() {
      const [tokenless] = withoutTokens;
      const [generating] = withTokens;
      const queuedAtMs = Math.min(
        tokenless?.queuedAtMs ?? Infinity,
        generating?.queuedAtMs ?? Infinity,
      );
      return queuedAtMs === Infinity ? 0 : performance.now() - queuedAtMs;
    },
    size: () => withoutTokens.size + withTokens.size,
    tokens: () => [...withTokens].reduce((sum, {tokens}) => sum + tokens, 0),
    failAll,
  };
}

function cancelled(): Result<Permit> {
  return fail('request_timeout', 'the request was cancelled while it waited');
}
