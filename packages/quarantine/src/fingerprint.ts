import type {ModelName, WorkspaceId} from '@chivewick/common';
import {createHmac} from 'node:crypto';

/** The content of a request that its fingerprint covers. */
export interface FingerprintedRequest {
  readonly workspace: WorkspaceId;
  readonly model: ModelName;
  /** The prompt, or any other part of the body that determines what an engine runs. */
  readonly body: string;
}

/**
 * Keyed hash of a request (HMAC-SHA256 in hex). The key is the firm's secret, so
 * that a fingerprint in a log or in the platform's store cannot be used to test
 * guesses of the prompt.
 *
 * @example
 * fingerprintOf(secret, {workspace, model, body: prompt}); // 64 hex digits
 */
export function fingerprintOf(
  secret: string,
  {workspace, model, body}: FingerprintedRequest,
): string {
  const parts = [workspace, model, body];
  const lengthPrefixed = parts.map(part => `${part.length}:${part}`).join('');
  return createHmac('sha256', secret).update(lengthPrefixed).digest('hex');
}
