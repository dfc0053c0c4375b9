import {isListening} from './sockets.js';

/** Interval at which a lost endpoint is tried again. */
const RECHECK_MS = 500;
/** Time after its last use after which a lost endpoint is forgotten. */
const FORGET_MS = 5_000;
/** Losses in a row after which the next connection is expected to fail too. */
const EXPECTED_LOSSES = 2;

/** Which endpoints this host cannot reach, although other hosts do. */
export interface DirectPaths {
  isLost(address: string): boolean;
  /** Whether an endpoint that has not been tried yet is probably lost as well. */
  expectsLoss(): boolean;
  /** Records that another host has reached an endpoint that this one did not. */
  lose(address: string): void;
  /** Records that this host has reached an endpoint. */
  reach(address: string): void;
  /** Registers a listener for losses; returns its unsubscribe function. */
  onLost(fn: (address: string) => void): () => void;
  close(): void;
}

/**
 * Creates an empty record. A lost endpoint that is in use is tried again until this host
 * reaches it.
 *
 * @example
 * const paths = createDirectPaths({onChange: logChange});
 * if (paths.isLost(address)) connectThroughAnotherHost(address);
 */
export function createDirectPaths(options: {
  /** Called when an endpoint is lost, and when it is reached again. */
  readonly onChange: (address: string, isLost: boolean) => void;
  readonly accepts?: (address: string) => Promise<boolean>;
}): DirectPaths {
  const {onChange, accepts = isListening} = options;
  const lost = new Map<string, {usedAtMs: number; timer: NodeJS.Timeout}>();
  const listeners = new Set<(address: string) => void>();
  let lossesInRow = 0;

  function recheckLater(address: string): NodeJS.Timeout {
    return setTimeout(() => void recheck(address), RECHECK_MS).unref();
  }

  async function recheck(address: string): Promise<void> {
    const entry = lost.get(address);
    if (entry === undefined) return;
    if (performance.now() - entry.usedAtMs > FORGET_MS) return forget(address);
    if (await accepts(address)) return reach(address);
    if (lost.get(address) === entry) entry.timer = recheckLater(address);
  }

  function forget(address: string): void {
    clearTimeout(lost.get(address)?.timer);
    if (lost.delete(address)) onChange(address, false);
  }

  function reach(address: string): void {
    lossesInRow = 0;
    forget(address);
  }

  return {
    isLost(address) {
      const entry = lost.get(address);
      if (entry !== undefined) entry.usedAtMs = performance.now();
      return entry !== undefined;
    },
    expectsLoss: () => lossesInRow >= EXPECTED_LOSSES,
    lose(address) {
      if (lost.has(address)) return;
      lossesInRow += 1;
      const usedAtMs = performance.now();
      lost.set(address, {usedAtMs, timer: recheckLater(address)});
      onChange(address, true);
      for (const listener of listeners) listener(address);
    },
    reach,
    onLost(fn) {
      listeners.add(fn);
      return () => void listeners.delete(fn);
    },
    close() {
      for (const {timer} of lost.values()) clearTimeout(timer);
      lost.clear();
    },
  };
}
