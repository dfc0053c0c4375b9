/** Faults of the network and of the store; each occurrence decrements its count. */
export interface HostFaults {
  /** Hosts that can reach each other, but not the other hosts or the store. */
  isolatedHosts: Set<string>;
  /** Number of requests to lose. */
  loseRequests: number;
  /** Number of responses to lose after the handler has run. */
  loseAnswers: number;
  /** Maximum additional delay of a message, in milliseconds. */
  slowMs: number;
  /** Whether the store does not respond. */
  outage: boolean;
  /** Number of writes whose response is lost after they took effect. */
  loseWriteAnswers: number;
  /** Number of writes whose response is lost and that take effect later. */
  lateWrites: number;
}

/**
 * Creates faults of which none is active.
 *
 * @example
 * const faults = createHostFaults();
 * faults.lateWrites = 1;
 */
export const createHostFaults = (): HostFaults => ({
  isolatedHosts: new Set(),
  loseRequests: 0,
  loseAnswers: 0,
  slowMs: 0,
  outage: false,
  loseWriteAnswers: 0,
  lateWrites: 0,
});

/**
 * Decrements the count of a fault; returns false if it is already 0.
 *
 * @example
 * if (consumeFault(faults, 'loseAnswers')) return;
 */
export const consumeFault = (
  faults: HostFaults,
  name: 'loseRequests' | 'loseAnswers' | 'loseWriteAnswers' | 'lateWrites',
) => {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
};
