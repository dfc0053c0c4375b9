import type {Random} from '@chivewick/common';
import type {EventQueue} from './routes-event-queue.js';

const WORKERS = 4;
const SERVICE_MS = 20;
/** Maximum number of queued requests per endpoint; more are refused. */
const MAX_QUEUED = 64;
/**
 * Fraction of requests that hit a pause, such as garbage collection or slow
 * disk I/O.
 */
const PAUSE_FRACTION = 0.01;
const PAUSE_FACTOR = 10;

/** Requests per second that one endpoint can complete. */
export const CAPACITY_PER_SECOND =
  (WORKERS * 1000) / (SERVICE_MS * (1 + PAUSE_FRACTION * (PAUSE_FACTOR - 1)));

/** A simulated endpoint: some workers and a bounded queue. */
export interface Server {
  /**
   * Sends a request; `done` receives its outcome, also after the sender timed
   * out.
   */
  send(done: (ok: boolean) => void): void;
  /** Sets the factor on the duration of requests that start from now on. */
  setSlowness(factor: number): void;
}

/**
 * Creates an idle endpoint; a request continues after its sender has timed out.
 */
export function createServer(queue: EventQueue, random: Random): Server {
  const waiting: ((ok: boolean) => void)[] = [];
  let busy = 0;
  let slowness = 1;

  function work(done: (ok: boolean) => void): void {
    busy += 1;
    const pauseFactor = random.next() < PAUSE_FRACTION ? PAUSE_FACTOR : 1;
    const ms =
      -SERVICE_MS * Math.log(1 - random.next()) * pauseFactor * slowness;
    queue.after(ms, () => {
      busy -= 1;
      done(true);
      const next = waiting.shift();
      if (next !== undefined) work(next);
    });
  }

  return {
    send(done) {
      if (busy < WORKERS) work(done);
      else if (waiting.length < MAX_QUEUED) waiting.push(done);
      else done(false);
    },
    setSlowness(factor) {
      slowness = factor;
    },
  };
}
