/** Half the length of the window, in milliseconds. */
const HALF_WINDOW_MS = 500;

/** The maximum of a quantity over the last 0.5 to 1 s. */
export interface PeakWindow {
  record(value: number): void;
  peak(): number;
}

/**
 * Creates a sliding-window maximum over two half windows, so that allowance
 * that is unused only briefly doesn't count as idle.
 *
 * @example
 * const rate = createPeakWindow();
 * rate.record(chargedInSecond);
 */
export function createPeakWindow(): PeakWindow {
  let halfIndex = 0;
  let current = 0;
  let previous = 0;

  const advance = () => {
    const now = Math.floor(performance.now() / HALF_WINDOW_MS);
    if (now === halfIndex) return;
    previous = now === halfIndex + 1 ? current : 0;
    current = 0;
    halfIndex = now;
  };

  return {
    record(value) {
      advance();
      current = Math.max(current, value);
    },
    peak() {
      advance();
      return Math.max(current, previous);
    },
  };
}
