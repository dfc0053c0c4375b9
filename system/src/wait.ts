/** Waits for conditions that depend on other processes. */
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_INTERVAL_MS = 25;
const DEFAULT_TIMEOUT_MS = 15_000;

/**
 * Polls a condition until it holds. Throws an error with its description if it
 * does not hold within the timeout, in milliseconds.
 *
 * @example
 * await until('the host is ready', () => isReady(host));
 */
export async function until(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline)
      throw new Error(`timeout: ${description}`);
    await sleep(POLL_INTERVAL_MS);
  }
}
