/**
 * Calls `fn` after a time unless the returned function is called before. After a pause of
 * this process timers run before the input that arrived in the meantime is read; `fn` runs
 * after it.
 *
 * @example
 * const clear = startTimeLimit(() => socket.destroy(new Error('connect timeout')), 300);
 */
export function startTimeLimit(fn: () => void, ms: number): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => void (immediate = setImmediate(fn)), ms);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
