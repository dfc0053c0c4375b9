import type {Permit} from './limits-api.js';

export interface PermitOptions {
  /** Maximum tokens that the request may generate. */
  readonly tokens: number;
  /** Time until the permit expires, in milliseconds. */
  readonly maxRequestMs: number;
  /** Called once with the unused tokens and the time that the permit was held. */
  readonly onRelease: (unusedTokens: number, heldMs: number) => void;
}

/**
 * Creates a permit for a request that starts now.
 *
 * @example
 * const permit = createPermit({tokens: 256, maxRequestMs: 600_000, onRelease});
 */
export function createPermit(options: PermitOptions): Permit {
  const startedMs = performance.now();
  const expiry = new AbortController();
  const timer = setTimeout(() => expiry.abort(), options.maxRequestMs);
  timer.unref();
  let generated = 0;
  let released = false;
  return {
    expired: expiry.signal,
    recordTokens: count => void (generated += count),
    release() {
      if (released) return;
      released = true;
      clearTimeout(timer);
      const unused = Math.max(0, options.tokens - generated);
      options.onRelease(unused, performance.now() - startedMs);
    },
  };
}
