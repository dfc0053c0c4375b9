import type {HostId} from '@chivewick/common';
import {install} from '@sinonjs/fake-timers';
import {AsyncLocalStorage} from 'node:async_hooks';

const realImmediate = globalThis.setImmediate;

/** Process of a host, whose timers and messages are suspended while it is paused. */
export interface SuspendableHost {
  readonly host: HostId;
  state: 'running' | 'paused' | 'dead';
  /** Steps that became due while the process was paused, except those of intervals,
   * which are dropped. */
  pendingSteps: Array<() => void>;
}

const currentProcess = new AsyncLocalStorage<SuspendableHost>();

/**
 * Runs a step of a process immediately if the process is running, on resume if it
 * is paused, and never if it is dead.
 *
 * @example
 * runStep(process, () => resolve(response));
 */
export function runStep(
  process: SuspendableHost | undefined,
  step: () => void,
): void {
  if (process === undefined) step();
  else if (process.state === 'paused') process.pendingSteps.push(step);
  else if (process.state === 'running') currentProcess.run(process, step);
}

/**
 * Runs a step that belongs to no process, such as the delivery of a message.
 *
 * @example
 * runOutsideHosts(() => setTimeout(deliver, 5));
 */
export function runOutsideHosts(step: () => void): void {
  currentProcess.exit(step);
}

/** Simulated time in which each timer belongs to the process that set it. */
export interface SuspendableTime {
  /** Advances the clock by `ms` and fires the timers that are due one by one. */
  advance(ms: number): Promise<void>;
  /** Runs pending promise callbacks without advancing the clock. */
  settle(): Promise<void>;
  /** Runs a step as part of a process, which owns the timers that it sets. */
  run<T>(process: SuspendableHost, step: () => T): T;
  /** Resumes a paused process; runs the pending steps first, in order. */
  resume(process: SuspendableHost): void;
  uninstall(): void;
}

/**
 * Replaces timers and `performance.now` with a mock clock whose timers are suspended
 * with the process that set them, as under SIGSTOP. Call `uninstall` at the end.
 *
 * @example
 * const time = installSuspendableTime();
 * const host: SuspendableHost = {host: id<HostId>('a'), state: 'running', pendingSteps: []};
 * time.run(host, () => setTimeout(tick, 1000));
 * await time.advance(1000);
 */
export function installSuspendableTime(): SuspendableTime {
  const clock = install({
    now: 1_000_000,
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
      'performance',
    ],
  });
  const {setTimeout: mockSetTimeout, setInterval: mockSetInterval} = globalThis;
  globalThis.setTimeout = ((step: () => void, ms: number) => {
    const process = currentProcess.getStore();
    return mockSetTimeout(() => runStep(process, step), ms);
  }) as typeof setTimeout;
  globalThis.setInterval = ((step: () => void, ms: number) => {
    const process = currentProcess.getStore();
    return mockSetInterval(
      () => process?.state !== 'paused' && runStep(process, step),
      ms,
    );
  }) as typeof setInterval;
  const settle = () => new Promise<void>(resolve => realImmediate(resolve));

  return {
    async advance(ms) {
      let reached = false;
      mockSetTimeout(() => (reached = true), ms);
      // Work that a caller has just started runs before the next timer.
      await settle();
      while (!reached) {
        clock.next();
        await settle();
      }
    },
    settle,
    run: (process, step) => currentProcess.run(process, step),
    resume(process) {
      const held = process.pendingSteps;
      process.pendingSteps = [];
      process.state = 'running';
      for (const step of held) runStep(process, step);
    },
    uninstall: () => clock.uninstall(),
  };
}
