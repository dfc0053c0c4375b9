/**
 * Name of an object within its kind: what follows the first slash of its key.
 *
 * @example
 * nameOfKey('hosts/nav-a-1'); // 'nav-a-1'
 */
export function nameOfKey(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}
