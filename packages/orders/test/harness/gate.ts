/** Blocks the I/O of a host while the host is paused. */
export interface Gate {
  /** Resolves immediately, or once a paused host is resumed. */
  pass(): Promise<void>;
  /** Pauses after `n` more calls of `pass`; 0 pauses at the next one. */
  pauseAt(n: number): void;
  pause(): void;
  resume(): void;
  paused(): boolean;
}

export function createGate(): Gate {
  let paused = false;
  let remaining = Infinity;
  let waiting: (() => void)[] = [];
  return {
    pass() {
      if (remaining-- <= 0) paused = true;
      if (!paused) return Promise.resolve();
      return new Promise(resolve => waiting.push(resolve));
    },
    pauseAt(n) {
      remaining = n;
    },
    pause() {
      paused = true;
    },
    resume() {
      paused = false;
      remaining = Infinity;
      const woken = waiting;
      waiting = [];
      for (const wake of woken) wake();
    },
    paused: () => paused,
  };
}

/** Resolves after `ms` on the test clock. */
export function delay(ms: number): Promise<void>;
export function delay<T>(ms: number, value: T): Promise<T>;
export function delay<T>(ms: number, value?: T): Promise<T | undefined> {
  return new Promise(resolve => setTimeout(() => resolve(value), ms));
}
