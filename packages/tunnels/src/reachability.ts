import type {Random} from '@chivewick/common';
import {isListening} from './sockets.js';

/** Endpoints that are tried to tell a host that is cut off from an endpoint that is down. */
const SAMPLE_SIZE = 4;
/** With fewer endpoints, an outage of them all looks the same. */
const MIN_SAMPLE_SIZE = 2;
/** Time for which the result of a check is used again. */
const RESULT_VALID_MS = 200;
/** Interval of the checks while this host is cut off. */
const RECHECK_MS = 400;

/** Whether this host reaches endpoints by itself. */
export interface Reachability {
  /** Whether none of the endpoints that were last tried could be reached. */
  isCutOff(): boolean;
  /** Tries some endpoints, after a failed connection; resolves to `isCutOff`. */
  check(): Promise<boolean>;
  /** Registers a listener for the loss; returns its unsubscribe function. */
  onCutOff(fn: () => void): () => void;
  close(): void;
}

/**
 * Creates the check. It costs nothing until a connection fails: then a few endpoints are
 * tried, of which one that accepts is enough. While none does, they are tried again
 * until one accepts.
 *
 * @param options.endpoints addresses of the endpoints in use, as `ip:port`.
 * @example
 * const reachability = createReachability({endpoints, random, onChange});
 * if (await reachability.check()) connectThroughAnotherHost();
 */
export function createReachability(options: {
  readonly endpoints: () => readonly string[];
  readonly random: Random;
  /** Called when this host is cut off, and when it no longer is. */
  readonly onChange: (isCutOff: boolean) => void;
  readonly accepts?: (address: string) => Promise<boolean>;
}): Reachability {
  const {endpoints, random, accepts = isListening} = options;
  const listeners = new Set<() => void>();
  let isCutOff = false;
  let running: Promise<boolean> | undefined;
  let checkedAtMs = -Infinity;
  let recheckTimer: NodeJS.Timeout | undefined;
  let isClosed = false;

  function sample(): string[] {
    const left = [...endpoints()];
    const chosen: string[] = [];
    while (left.length > 0 && chosen.length < SAMPLE_SIZE)
      chosen.push(...left.splice(Math.floor(random.next() * left.length), 1));
    return chosen;
  }

  async function run(): Promise<boolean> {
    const addresses = sample();
    // `any` resolves with the first endpoint that accepts.
    const isReached = await Promise.any(
      addresses.map(async address => {
        if (!(await accepts(address))) throw new Error(`${address} refuses`);
      }),
    ).then(
      () => true,
      () => false,
    );
    checkedAtMs = performance.now();
    running = undefined;
    if (isClosed) return false;
    const wasCutOff = isCutOff;
    isCutOff = !isReached && addresses.length >= MIN_SAMPLE_SIZE;
    if (isCutOff) recheckTimer = setTimeout(() => void check(), RECHECK_MS);
    if (isCutOff !== wasCutOff) options.onChange(isCutOff);
    if (isCutOff && !wasCutOff) for (const listener of listeners) listener();
    return isCutOff;
  }

  function check(): Promise<boolean> {
    if (running !== undefined) return running;
    if (performance.now() - checkedAtMs < RESULT_VALID_MS)
      return Promise.resolve(isCutOff);
    clearTimeout(recheckTimer);
    return (running = run());
  }

  return {
    isCutOff: () => isCutOff,
    check,
    onCutOff(fn) {
      listeners.add(fn);
      return () => void listeners.delete(fn);
    },
    close() {
      isClosed = true;
      isCutOff = false;
      clearTimeout(recheckTimer);
    },
  };
}
