/** Holds back a host's input and output while it is paused or killed. */
export interface Gate {
  /** Resolves while the host runs, waits while paused, never resolves once killed. */
  pass(): Promise<void>;
  pause(): void;
  resume(): void;
  kill(): void;
  state(): 'running' | 'paused' | 'killed';
}

export function createGate(): Gate {
  let state: 'running' | 'paused' | 'killed' = 'running';
  let waiting: (() => void)[] = [];
  return {
    pass: () =>
      state === 'running'
        ? Promise.resolve()
        : new Promise(resolve => waiting.push(resolve)),
    pause() {
      if (state === 'running') state = 'paused';
    },
    resume() {
      if (state !== 'paused') return;
      state = 'running';
      const woken = waiting;
      waiting = [];
      for (const wake of woken) wake();
    },
    kill() {
      state = 'killed';
      waiting = [];
    },
    state: () => state,
  };
}

/** Waits on the test's fake clock. */
export function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
