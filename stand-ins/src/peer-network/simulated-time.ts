import FakeTimers from '@sinonjs/fake-timers';

/** Mock timers that let pending promise callbacks run while they advance. */
export interface SimulatedTime {
  /** Advances the clock in steps; pending promise callbacks run after each. */
  advance(ms: number): Promise<void>;
  /** Advances until the condition holds; resolves with false if it does not hold
   * within `ms`. */
  advanceUntil(condition: () => boolean, ms: number): Promise<boolean>;
  uninstall(): void;
}

const STEP_MS = 5;

/**
 * Replaces timers, `Date` and `performance.now` with a mock clock. Unlike
 * `tickAsync`, it runs promise callbacks once per step instead of once per timer,
 * so that a minute with thousands of timers takes well under a second.
 *
 * @example
 * const time = installSimulatedTime();
 * await time.advance(10_000);
 * time.uninstall();
 */
export function installSimulatedTime(): SimulatedTime {
  const setRealImmediate = setImmediate;
  const clock = FakeTimers.install({
    now: Date.UTC(2030, 0, 1),
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
      'Date',
      'performance',
    ],
  });
  const settle = () => new Promise<void>(done => void setRealImmediate(done));
  async function advanceUntil(
    condition: () => boolean,
    ms: number,
  ): Promise<boolean> {
    await settle();
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      if (condition()) return true;
      clock.tick(STEP_MS);
      await settle();
    }
    return condition();
  }
  return {
    advance: async ms => void (await advanceUntil(() => false, ms)),
    advanceUntil,
    uninstall: () => clock.uninstall(),
  };
}
