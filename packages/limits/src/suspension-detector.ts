const CHECK_INTERVAL_MS = 1_000;

/** Detects that this process was suspended. */
export interface SuspensionDetector {
  /** Reports a suspension that has not been reported yet. */
  check(): void;
  close(): void;
}

/**
 * Creates a detector. A timer fires every second, and a gap between two firings
 * of at least the threshold counts as a suspension. This works because the
 * system's monotonic clock keeps running while a process is stopped.
 *
 * @param thresholdMs minimum gap that counts as a suspension, in milliseconds.
 * @param onTick called every second, after the check.
 * @param onSuspension called once for each suspension.
 * @example
 * const suspension = createSuspensionDetector(300_000, observeHosts, invalidateAllocations);
 */
export function createSuspensionDetector(
  thresholdMs: number,
  onTick: () => void,
  onSuspension: (gapMs: number) => void,
): SuspensionDetector {
  let lastMs = performance.now();

  const check = () => {
    const gapMs = performance.now() - lastMs;
    lastMs = performance.now();
    if (gapMs >= thresholdMs) onSuspension(gapMs);
  };

  const timer = setInterval(() => {
    check();
    onTick();
  }, CHECK_INTERVAL_MS);
  timer.unref();

  return {
    check() {
      if (performance.now() - lastMs >= thresholdMs) check();
    },
    close: () => clearInterval(timer),
  };
}
