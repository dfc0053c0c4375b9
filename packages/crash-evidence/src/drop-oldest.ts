/**
 * Keeps the newest entries of a map.
 *
 * @example
 * dropOldest(crashes, 128);
 */
export function dropOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
