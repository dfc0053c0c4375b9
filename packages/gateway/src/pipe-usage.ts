import type {EngineProfile} from './types.js';

/**
 * Averaging time at a host that chooses for itself. It is long because a host in a
 * large fleet starts only two or three streams a second, and few of them cross
 * between failure domains.
 */
export const HOST_AVERAGING_TIME_MS = 10_000;
/**
 * Averaging time at a coordinator, which sees all streams of its failure domain:
 * about as long as a stream lasts.
 */
export const COORDINATOR_AVERAGING_TIME_MS = 3_000;
/** Maximum utilization that is reported; from there on a pipe is saturated. */
const MAX_UTILIZATION = 0.95;
/**
 * Wait in a pipe above which it takes no further streams, because every gap between
 * events of all streams that cross it grows by the wait. Three quarters of the
 * shortest gap goal (200 ms).
 */
const MAX_WAIT_MS = 150;

/** Utilization of the pipes, the shared links between failure domains. */
export interface PipeUsage {
  /** Records a stream that crosses between two domains, and its transfer time. */
  record(from: number, to: number, transferMs: number): void;
  /** Fraction of time that a pipe is busy, between 0 and 0.95. */
  utilization(from: number, to: number): number;
  /**
   * Whether a transfer would wait too long, behind those of a burst or in the queue
   * that the utilization leads to.
   */
  isSaturated(from: number, to: number, transferMs: number): boolean;
  /** Pipes with the fraction of time that the recorded streams keep them busy. */
  recorded(): PipeShare[];
}

/** Part of the utilization of the pipe between two failure domains. */
export interface PipeShare {
  readonly from: number;
  readonly to: number;
  readonly utilization: number;
}

interface Pipe {
  readonly from: number;
  readonly to: number;
  /** Exponentially decayed busy time, in milliseconds. */
  busyMs: number;
  /** Transfers that are recorded and not completed yet, in milliseconds. */
  backlogMs: number;
  atMs: number;
}

/**
 * Creates the tracker with all pipes idle.
 *
 * @example
 * const pipes = createPipeUsage({
 *   total: share => share.utilization * fleet.count(),
 *   averagingTimeMs: 10_000,
 * });
 * pipes.record(0, 1, 49);
 */
export function createPipeUsage(options: {
  /** Estimates the utilization by all hosts from that by the recorded streams. */
  readonly total: (recorded: PipeShare) => number;
  readonly averagingTimeMs: number;
  readonly now?: () => number;
}): PipeUsage {
  const {total, averagingTimeMs} = options;
  const now = options.now ?? (() => performance.now());
  const pipes = new Map<string, Pipe>();
  const keyOf = (from: number, to: number) =>
    from < to ? `${from}-${to}` : `${to}-${from}`;

  function decayedBusyMs(pipe: Pipe | undefined): number {
    if (pipe === undefined) return 0;
    return pipe.busyMs * Math.exp((pipe.atMs - now()) / averagingTimeMs);
  }

  function utilization(from: number, to: number): number {
    const busyMs = decayedBusyMs(pipes.get(keyOf(from, to)));
    const share = {from, to, utilization: busyMs / averagingTimeMs};
    return Math.min(MAX_UTILIZATION, total(share));
  }

  function remainingMs(pipe: Pipe | undefined): number {
    return pipe === undefined
      ? 0
      : Math.max(0, pipe.backlogMs - (now() - pipe.atMs));
  }

  return {
    record(from, to, transferMs) {
      const key = keyOf(from, to);
      const pipe = pipes.get(key);
      const busyMs = decayedBusyMs(pipe) + transferMs;
      const backlogMs = remainingMs(pipe) + transferMs;
      pipes.set(key, {from, to, busyMs, backlogMs, atMs: now()});
    },
    utilization,
    isSaturated(from, to, transferMs) {
      const used = utilization(from, to);
      if (used >= MAX_UTILIZATION) return true;
      const queueMs = queueWaitMs(transferMs, used);
      const backlogMs = remainingMs(pipes.get(keyOf(from, to)));
      return Math.max(queueMs, backlogMs) > MAX_WAIT_MS;
    },
    recorded: () =>
      [...pipes.values()].map(pipe => ({
        from: pipe.from,
        to: pipe.to,
        utilization: decayedBusyMs(pipe) / averagingTimeMs,
      })),
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
 * Mean wait behind transfers of a constant duration, in milliseconds: an M/D/1 queue,
 * one server with constant service times (Pollaczek-Khinchine formula).
 */
function queueWaitMs(transferMs: number, utilization: number): number {
  return (transferMs / 2) * (utilization / (1 - utilization));
}

/**
 * Time that crossing a pipe adds to a response, in milliseconds. A pipe carries one
 * transfer after another, so when many long prompts cross between failure domains,
 * each output token waits behind the prompts of other streams.
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
  const waitMs = queueWaitMs(promptMs, utilization);
  const passes = outputTokens + 1;
  return (
    passes * (delayMs + waitMs) +
    transferMs(profile, promptTokens + outputTokens)
  );
}
