import {createRandom, fail, ok} from '@chivewick/common';
import type {HostId, Result} from '@chivewick/common';
import type {Link} from './link.js';

const BACKOFF_MIN_MS = 50;
const BACKOFF_MAX_MS = 2_000;

/** Connects to peer hosts, with at most one attempt in progress per host. */
export interface Dialler {
  /** Connects, or joins the attempt in progress; fails immediately during the backoff. */
  dial(host: HostId, address: string): Promise<Result<Link>>;
  /** Clears the backoff of a host, for example after its address changed. */
  reset(host: HostId): void;
}

/**
 * Creates a dialler; after a failed attempt the next one waits for an
 * exponential backoff with jitter, from 50 ms to 2 s.
 *
 * @example
 * const dialler = createDialler((host, address) => establish(host, address));
 */
export function createDialler(
  establish: (host: HostId, address: string) => Promise<Link>,
): Dialler {
  const random = createRandom();
  const inProgress = new Map<HostId, Promise<Result<Link>>>();
  const backoffs = new Map<HostId, {failures: number; untilMs: number}>();

  function delayMs(failures: number): number {
    const maxDelayMs = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** failures);
    return maxDelayMs * (0.5 + random.next() / 2);
  }

  async function attempt(host: HostId, address: string): Promise<Result<Link>> {
    try {
      const link = await establish(host, address);
      backoffs.delete(host);
      return ok(link);
    } catch (err) {
      const failures = backoffs.get(host)?.failures ?? 0;
      const untilMs = performance.now() + delayMs(failures);
      backoffs.set(host, {failures: failures + 1, untilMs});
      const message = `cannot connect to host ${host}: ${(err as Error).message}`;
      return fail('endpoint_failed', message, {ran: 'not_run'});
    } finally {
      inProgress.delete(host);
    }
  }

  return {
    async dial(host, address) {
      const current = inProgress.get(host);
      if (current !== undefined) return current;
      const untilMs = backoffs.get(host)?.untilMs ?? 0;
      if (performance.now() < untilMs)
        return fail('endpoint_failed', `host ${host} is not reachable`, {
          ran: 'not_run',
        });
      const attemptResult = attempt(host, address);
      inProgress.set(host, attemptResult);
      return attemptResult;
    },
    reset: host => void backoffs.delete(host),
  };
}
