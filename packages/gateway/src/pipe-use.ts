import type {EngineProfile} from './types.js';

/**
 * Time over which the use of a pipe is averaged, in milliseconds: a host of a large
 * fleet begins two or three streams a second, of which few cross.
 */
const AVERAGED_MS = 10_000;
/** Above this part of its time a pipe counts as full. */
const MOST_BUSY = 0.95;

/** How busy the pipes between failure domains are. */
export interface PipeUse {
  /** Notes that a stream passes between two domains, and for how long. */
  note(from: number, to: number, transferMs: number): void;
  /** Part of its time that a pipe is busy, between 0 and 0.95. */
  busyPart(from: number, to: number): number;
}

interface Pipe {
  /** Busy time that has not faded yet, in milliseconds. */
  busyMs: number;
  atMs: number;
}

/**
 * Creates the use of idle pipes. A host sees only its own streams; hosts get like
 * shares of the requests, so the others are taken to do the same.
 *
 * @param hosts number of hosts that share the pipes.
 * @example
 * const pipes = createPipeUse(() => fleet.count());
 * pipes.note(0, 1, 49);
 */
export function createPipeUse(
  hosts: () => number,
  now: () => number = () => performance.now(),
): PipeUse {
  const pipes = new Map<string, Pipe>();
  const keyOf = (from: number, to: number) =>
    from < to ? `${from}-${to}` : `${to}-${from}`;

  function faded(pipe: Pipe | undefined): number {
    if (pipe === undefined) return 0;
    return pipe.busyMs * Math.exp((pipe.atMs - now()) / AVERAGED_MS);
  }

  return {
    note(from, to, transferMs) {
      const key = keyOf(from, to);
      const busyMs = faded(pipes.get(key)) + transferMs;
      pipes.set(key, {busyMs, atMs: now()});
    },
    busyPart(from, to) {
      const busyMs = faded(pipes.get(keyOf(from, to))) * hosts();
      return Math.min(MOST_BUSY, busyMs / AVERAGED_MS);
    },
  };
}

/**
 * Time that the activations of some tokens take on a pipe, in milliseconds.
 *
 * @example
 * transferMs(profile, 974); // 49 at 10,400 Mbit/s and 65,767 bytes a token
 */
export function transferMs(profile: EngineProfile, tokens: number): number {
  return (tokens * profile.activationBytes * 8) / (profile.pipeMbps * 1_000);
}

/**
 * Time that crossing a pipe adds to a response, in milliseconds. Answers many
 * long prompts between failure domains: a pipe carries one transfer after
 * another, so each token of an answer waits behind the prompts of others. The
 * wait is that of a queue with one server and constant service times.
 *
 * @example
 * crossingMs(profile, {promptTokens: 774, answerTokens: 200, delayMs: 0.75, busyPart: 0.5});
 */
export function crossingMs(
  profile: EngineProfile,
  request: {
    promptTokens: number;
    answerTokens: number;
    delayMs: number;
    busyPart: number;
  },
): number {
  const {promptTokens, answerTokens, delayMs, busyPart} = request;
  const promptMs = transferMs(profile, promptTokens);
  const waitMs = (promptMs / 2) * (busyPart / (1 - busyPart));
  const passes = answerTokens + 1;
  return (
    passes * (delayMs + waitMs) +
    transferMs(profile, promptTokens + answerTokens)
  );
}
