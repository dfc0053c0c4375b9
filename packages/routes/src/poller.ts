import {pause, type Random} from '@chivewick/common';

/** Width of the random variation of the interval, as a share of it. */
const JITTER = 0.4;

/** A task that polls one endpoint until it is stopped. */
export interface Poller {
  /** Stops the task; resolves when no poll is in progress. */
  stop(): Promise<void>;
}

/**
 * Starts the polling task of one endpoint. The first poll is immediate; later ones
 * are jittered, so that hosts do not poll at the same time.
 *
 * @example
 * const poller = startPoller({intervalMs: () => 1000, random, poll: () => refresh(endpoint)});
 */
export function startPoller(options: {
  /** Time between polls in milliseconds; read after each poll. */
  intervalMs: () => number;
  random: Random;
  /** Polls once; must not throw. */
  poll: () => Promise<void>;
}): Poller {
  const {intervalMs, random, poll} = options;
  const stopped = new AbortController();
  async function run(): Promise<void> {
    while (!stopped.signal.aborted) {
      await poll();
      const factor = 1 + JITTER * (random.next() - 0.5);
      await pause(intervalMs() * factor, stopped.signal);
    }
  }
  const running = run();
  return {
    stop() {
      stopped.abort();
      return running;
    },
  };
}
