/** Lets bodies in very small chunks be read one at a time. */
export interface ReadingTurns {
  /** Calls `read` when it is the turn of this body. */
  wait(read: () => void): void;
}

/**
 * Creates the turns. They handle many bodies in chunks of a few bytes: one read of 64 KB
 * of those takes the process some 20 ms, and without turns all other requests wait for
 * the reads of all such bodies. A single one of them is read without delay.
 *
 * @param schedule calls its argument in the next iteration of the event loop.
 * @example
 * const turns = createReadingTurns(callback => setImmediate(callback));
 * socket.pause();
 * turns.wait(() => socket.resume());
 */
export function createReadingTurns(
  schedule: (callback: () => void) => void,
): ReadingTurns {
  const waiting: (() => void)[] = [];

  function next(): void {
    waiting.shift()?.();
    if (waiting.length > 0) schedule(next);
  }

  return {
    wait(read) {
      waiting.push(read);
      if (waiting.length === 1) schedule(next);
    },
  };
}
