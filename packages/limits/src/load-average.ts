/** Time constant of the exponential average, in milliseconds. */
const TIME_CONSTANT_MS = 2_000;

/** Time-weighted exponential average of a quantity that changes in steps. */
export interface LoadAverage {
  /** Sets the current value. */
  record(value: number): void;
  /** Returns the average up to now. */
  value(): number;
}

/**
 * Creates an average that starts at 0. It separates sustained load from short
 * bursts, for which moving allowance between hosts is not worth its cost.
 *
 * @example
 * const load = createLoadAverage();
 * load.record(inUse + waiting);
 */
export function createLoadAverage(): LoadAverage {
  let current = 0;
  let average = 0;
  let updatedMs = performance.now();

  const update = () => {
    const now = performance.now();
    const decay = Math.exp(-(now - updatedMs) / TIME_CONSTANT_MS);
    average = current + (average - current) * decay;
    updatedMs = now;
  };

  return {
    record(value) {
      update();
      current = value;
    },
    value() {
      update();
      return average;
    },
  };
}
