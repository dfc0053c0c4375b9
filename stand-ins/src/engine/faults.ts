/** Faults of the engine stand-in, set with `POST /faults`. */

/** Active faults. A request may set some of the fields; the others are kept. */
export interface EngineFaults {
  /** Accepts connections but sends no response, and suspends running work. */
  freeze: boolean;
  /** Stops the engine immediately and resets its connections. */
  crash: boolean;
  /** Multiplies the cost of every step. */
  slow: number;
  /** Delay of every message from another engine, in milliseconds. */
  linkDelayMs: number;
  /** Largest random extra delay of a step, in milliseconds. */
  jitterMs: number;
  /** A prompt that contains this text crashes the engine; empty is off. */
  crashOn: string;
  /** Crashes the engine at the start of its n-th step from now; 0 is off. */
  crashAfterSteps: number;
  /** Freezes the engine at the start of its n-th step from now; 0 is off. */
  freezeAfterSteps: number;
  /** Age of the reported load, in milliseconds. */
  reportLagMs: number;
  /** Age at which cache events become visible, in milliseconds. */
  eventLagMs: number;
  /** Every n-th cache event is lost; 0 is off. */
  eventGapEvery: number;
  /** Sends a wrong frame of an earlier epoch before each token frame, and a wrong
   * frame of the same position after it. */
  staleFrames: boolean;
  /** Reports the engine as leaving and refuses new sessions. */
  leaving: boolean;
}

/** No faults. */
export const NO_FAULTS: EngineFaults = {
  freeze: false,
  crash: false,
  slow: 1,
  linkDelayMs: 0,
  jitterMs: 0,
  crashOn: '',
  crashAfterSteps: 0,
  freezeAfterSteps: 0,
  reportLagMs: 0,
  eventLagMs: 0,
  eventGapEvery: 0,
  staleFrames: false,
  leaving: false,
};

/**
 * Returns the first unknown name or wrong type in a `POST /faults` body; undefined
 * if there is none.
 *
 * @example
 * const err = faultsError({freese: true}); // 'unknown fault "freese"'
 */
export function faultsError(body: unknown): string | undefined {
  if (typeof body !== 'object' || body === null) return 'expected an object';
  for (const [name, value] of Object.entries(body)) {
    if (!(name in NO_FAULTS)) return `unknown fault "${name}"`;
    const expectedType = typeof NO_FAULTS[name as keyof EngineFaults];
    if (typeof value !== expectedType)
      return `"${name}" must be a ${expectedType}`;
  }
  return undefined;
}
