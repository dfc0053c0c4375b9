/**
 * Waits; resolves early when the signal aborts.
 *
 * @example
 * await pause(100, closing.signal);
 */
export function pause(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted || ms <= 0) return resolve();
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, Math.ceil(ms));
    signal?.addEventListener('abort', finish);
  });
}
