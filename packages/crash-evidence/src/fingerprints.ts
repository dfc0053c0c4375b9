import {createHash} from 'node:crypto';
import type {Fingerprint} from './types.js';

const REQUEST_PREFIX = 'request:';
/** Callers choose the names of parts; a longer one is replaced by a digest. */
const MAX_PART_CHARS = 32;

/**
 * Fingerprint of a request by a digest of what its repetitions have in common.
 *
 * @example
 * requestFingerprint('9f86d081'); // 'request:9f86d081'
 */
export function requestFingerprint(digest: string): Fingerprint {
  return `${REQUEST_PREFIX}${digest}` as Fingerprint;
}

/**
 * Fingerprint of a part of a prompt of a service.
 *
 * @example
 * partFingerprint('model', '48720f35'); // 'part:model:48720f35'
 */
export function partFingerprint(service: string, part: string): Fingerprint {
  const name =
    part.length <= MAX_PART_CHARS
      ? part
      : createHash('sha256')
          .update(part)
          .digest('hex')
          .slice(0, MAX_PART_CHARS);
  return `part:${service}:${name}` as Fingerprint;
}

/** Whether a fingerprint is that of one request and not of a part. */
export function isRequestFingerprint(fingerprint: Fingerprint): boolean {
  return fingerprint.startsWith(REQUEST_PREFIX);
}
