import type {EndpointId} from '@chivewick/common';

/** Facts that determine how long an engine reads a prompt. */
export interface PromptReading {
  readonly promptTokens: number;
  readonly prefillTokensPerS: number;
  /** Time of this kind of engine for a prompt, relative to the profile. */
  readonly readFactor: number;
  /** Measured slowness of the engine; 1 is usual. */
  readonly slowness: number;
  /** Layers through which the engine reads. */
  readonly layers: number;
  readonly totalLayers: number;
}

/** Prompts that engines still have to read because of granted repairs. */
export interface RepairReadings {
  /** Adds the reading of one prompt. */
  add(endpoint: EndpointId, workMs: number): void;
  /** Time until an engine has read the prompts given to it; never negative. */
  waitMs(endpoint: EndpointId): number;
}

/**
 * Returns the time in which an engine reads a prompt, in milliseconds.
 *
 * @example
 * readingMs({promptTokens: 774, prefillTokensPerS: 105_000, readFactor: 3,
 *   slowness: 1, layers: 40, totalLayers: 80}); // 11.06
 */
export function readingMs(reading: PromptReading): number {
  const {promptTokens, prefillTokensPerS, readFactor, slowness} = reading;
  const allLayersMs =
    (promptTokens / (prefillTokensPerS / 1_000)) * readFactor * slowness;
  return (allLayersMs * reading.layers) / reading.totalLayers;
}

/**
 * Creates an empty record. Answers the load after the loss of engines in the middle
 * of many paths: some hundred streams get replacements within 200 ms, and each
 * replacement reads the whole prompts of its streams, one after the other.
 *
 * @example
 * const readings = createRepairReadings();
 * readings.add(endpoint, 40);
 * readings.waitMs(endpoint); // 40, and 0 after 40 ms
 */
export function createRepairReadings(
  now: () => number = () => performance.now(),
): RepairReadings {
  const doneAtMs = new Map<EndpointId, number>();
  return {
    add(endpoint, workMs) {
      const nowMs = now();
      for (const [other, atMs] of doneAtMs)
        if (atMs <= nowMs) doneAtMs.delete(other);
      doneAtMs.set(endpoint, (doneAtMs.get(endpoint) ?? nowMs) + workMs);
    },
    waitMs: endpoint => Math.max(0, (doneAtMs.get(endpoint) ?? 0) - now()),
  };
}
