import {pause} from './pause.js';

/**
 * Time for which an address that is in use is tried again. It is free as soon as the
 * process before, or a connection that has its port by chance, has ended.
 */
const MAX_BIND_MS = 5_000;
const RETRY_MS = 100;

/**
 * Binds an address, and waits for a while if it is in use. A process that ends instead
 * loses the time of its restart, and meets the same address again.
 *
 * @param bind rejects with the error of the socket; called for each attempt.
 * @example
 * await bindWithRetry(() => listen(server, '10.1.0.40:8227'));
 */
export async function bindWithRetry<T>(bind: () => Promise<T>): Promise<T> {
  const untilMs = performance.now() + MAX_BIND_MS;
  for (;;) {
    try {
      return await bind();
    } catch (err) {
      const isInUse = (err as NodeJS.ErrnoException).code === 'EADDRINUSE';
      if (!isInUse || performance.now() > untilMs) throw err;
    }
    await pause(RETRY_MS);
  }
}
