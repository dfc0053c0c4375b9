/**
 * Waits for a promise for at most `ms` milliseconds; undefined on timeout.
 *
 * @example
 * const read = await withTimeout(3_000, platform.get('lists/plans'));
 */
export async function withTimeout<T>(
  ms: number,
  promise: Promise<T>,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), ms);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
