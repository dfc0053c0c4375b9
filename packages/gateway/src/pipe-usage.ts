import type {EngineProfile} from './types.js';

/**
 * Time constant of the utilization average, in milliseconds. It is long because a
 * host in a large fleet starts only two or three streams a second, and few of them
 * cross between failure domains.
 */
const AVERAGING_TIME_MS = 10_000;
/** Maximum utilization that is reported; above it a pipe counts as saturated. */
const MAX_UTILIZATION = 0.95;

/** Utilization of the pipes, the shared links between failure domains. */
export interface PipeUsage {
  /** Records a stream that crosses between two domains, and its transfer time. */
  record(from: number, to: number, transferMs: number): void;
  /** Fraction of time that a pipe is busy, between 0 and 0.95. */
  utilization(from: number, to: number): number;
}

interface Pipe {
  /** Exponentially decayed busy time, in milliseconds. */
  busyMs: number;
  atMs: number;
}

/**
 * Creates the tracker with all pipes idle. A host sees only its own streams; hosts
 * get similar shares of the requests, so the others are assumed to cause the same
 * utilization.
 *
 * @param hosts number of hosts that share the pipes.
 * @example
 * const pipes = createPipeUsage(() => fleet.count());
 * pipes.record(0, 1, 49);
 */
export function createPipeUsage(
  hosts: () => number,
  now: () => number = () => performance.now(),
): PipeUsage {
  const pipes = new Map<string, Pipe>();
  const keyOf = (from: number, to: number) =>
    from < to ? `${from}-${to}` : `${to}-${from}`;

  function decayedBusyMs(pipe: Pipe | undefined): number {
    if (pipe === undefined) return 0;
    return pipe.busyMs * Math.exp((pipe.atMs - now()) / AVERAGING_TIME_MS);
  }

  return {
    record(from, to, transferMs) {
      const key = keyOf(from, to);
      const busyMs = decayedBusyMs(pipes.get(key)) + transferMs;
      pipes.set(key, {busyMs, atMs: now()});
    },
    utilization(from, to) {
      const busyMs = decayedBusyMs(pipes.get(keyOf(from, to))) * hosts();
      return Math.min(MAX_UTILIZATION, busyMs / AVERAGING_TIME_MS);
    },
  };
}

/**
 * Time to transfer the activations of some tokens over a pipe, in milliseconds.
 *
 * @example
 * transferMs(profile, 974); // 49 at 10,400 Mbit/s and 65,767 bytes a token
 */
export function transferMs(profile: EngineProfile, tokens: number): number {
  return (tokens * profile.activationBytes * 8) / (profile.pipeMbps * 1_000);
}

/**
 * Time that crossing a pipe adds to a response, in milliseconds. A pipe carries one
 * transfer after another, so when many long prompts cross between failure domains,
 * each output token waits behind the prompts of other streams. The wait is modelled
 * as an M/D/1 queue: one server with constant service times.
 *
 * @example
 * crossingMs(profile, {promptTokens: 774, outputTokens: 200, delayMs: 0.75, utilization: 0.5});
 */
export function crossingMs(
  profile: EngineProfile,
  request: {
    promptTokens: number;
    outputTokens: number;
    delayMs: number;
    utilization: number;
  },
): number {
  const {promptTokens, outputTokens, delayMs, utilization} = request;
  const promptMs = transferMs(profile, promptTokens);
  const waitMs = (promptMs / 2) * (utilization / (1 - utilization));
  const passes = outputTokens + 1;
  return (
    passes * (delayMs + waitMs) +
    transferMs(profile, promptTokens + outputTokens)
  );
}
