/** Collects exceptions that the system under test did not handle. */
export interface EscapeWatch {
  /** Rejects if an unhandled exception occurred since the last call. */
  check(): Promise<void>;
  close(): void;
}

/**
 * Watches the process for uncaught exceptions and unhandled rejections.
 *
 * @example
 * const escapes = watchEscapes();
 * await exchange(input);
 * await escapes.check();
 */
export function watchEscapes(): EscapeWatch {
  const escaped: unknown[] = [];
  const record = (err: unknown) => void escaped.push(err);
  process.on('uncaughtException', record);
  process.on('unhandledRejection', record);
  return {
    async check() {
      // Rejections are reported after the microtasks of the current turn.
      await nextTurn();
      const [first] = escaped.splice(0);
      if (first !== undefined)
        throw new Error('an exception escaped', {cause: first});
    },
    close() {
      process.off('uncaughtException', record);
      process.off('unhandledRejection', record);
    },
  };
}

/**
 * Resolves in the next turn of the event loop.
 *
 * @example
 * await nextTurn();
 */
export function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/**
 * Waits up to 1000 turns of the event loop for a condition, so that the result
 * does not depend on the speed of the machine; rejects with `message`.
 *
 * @example
 * await settles(() => permits === 0, 'a permit was not released');
 */
export async function settles(
  condition: () => boolean,
  message: string,
): Promise<void> {
  const maxTurns = 1_000;
  for (let turn = 0; turn < maxTurns; turn += 1) {
    if (condition()) return;
    await nextTurn();
  }
  throw new Error(message);
}
