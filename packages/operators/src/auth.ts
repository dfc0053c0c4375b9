import {createHash, timingSafeEqual} from 'node:crypto';
import type {AdminKey} from './options.js';

const BEARER = /^Bearer +([^\s]+) *$/i;

/**
 * Finds the administration key of an `Authorization` header. Compares digests
 * in constant time and checks all keys, so that the response time does not
 * reveal how much of a key was correct.
 *
 * @example
 * const key = findAdminKey(req.headers.authorization, options.keys);
 */
export function findAdminKey(
  header: string | undefined,
  keys: readonly AdminKey[],
): AdminKey | undefined {
  const presented = BEARER.exec(header ?? '')?.[1];
  if (presented === undefined) return undefined;
  const digest = createHash('sha256').update(presented).digest();
  let found: AdminKey | undefined;
  for (const key of keys) {
    const expected = Buffer.from(key.sha256, 'hex');
    if (expected.length !== digest.length) continue;
    if (timingSafeEqual(expected, digest)) found = key;
  }
  return found;
}
