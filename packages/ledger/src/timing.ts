/** Result of `withTimeout` if the timeout passed first. */
export const TIMED_OUT = Symbol('timed out');

/**
 * Resolves to the promise's value, or to `TIMED_OUT` after `ms` milliseconds.
 * The promise itself is not cancelled.
 *
 * @example
 * if ((await withTimeout(takeover, 500)) === TIMED_OUT) return moved;
 */
export function withTimeout<T>(
  promise: Promise<T>,
  ms: number,
): Promise<T | typeof TIMED_OUT> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => resolve(TIMED_OUT),
      Math.max(0, Math.ceil(ms)),
    );
    promise.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}

/**
 * Time in milliseconds until the next attempt, doubling from 20 ms for attempt
 * 0 up to 1 s.
 *
 * @example
 * await pause(backoffMs(attempt++));
 */
export function backoffMs(attempt: number): number {
  return Math.min(1_000, 20 * 2 ** attempt);
}
