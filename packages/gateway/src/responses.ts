import {ERROR_RESPONSES, failure, type Failure} from '@chivewick/common';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Headers} from './types.js';

/** Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1). */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
]);

/**
 * Returns the response body for a failure.
 *
 * @example
 * res.end(JSON.stringify(failureBody(err)));
 */
export function failureBody({kind, message, ran}: Failure): object {
  return {error: {kind, message, ran}};
}

/**
 * Responds to a request with a failure of this host itself. Does nothing if the
 * response has already started.
 *
 * @example
 * respondWithFailure(res, failure('overloaded', 'no path has capacity', {retryAfterMs: 500}));
 */
export function respondWithFailure(res: ServerResponse, err: Failure): void {
  if (res.headersSent || res.destroyed) return;
  removeHeaders(res);
  const {status} = ERROR_RESPONSES[err.kind];
  const body = JSON.stringify(failureBody(err));
  res.statusCode = status;
  res.setHeader('content-type', 'application/json');
  res.setHeader('content-length', Buffer.byteLength(body));
  if (err.retryAfterMs !== undefined) {
    res.setHeader('retry-after', (err.retryAfterMs / 1_000).toFixed(2));
  }
  // Unread bytes of the request body would be parsed as the next request.
  if (!(res.req as IncomingMessage).complete) {
    res.setHeader('connection', 'close');
  }
  res.end(body);
}

/**
 * Removes headers of an earlier response that was not sent, such as an endpoint's
 * signature.
 */
function removeHeaders(res: ServerResponse): void {
  for (const name of res.getHeaderNames())
    if (!HOP_BY_HOP_HEADERS.has(name)) res.removeHeader(name);
}

/**
 * Starts a response with an endpoint's status and headers.
 *
 * @example
 * startResponse(res, 200, headers);
 */
export function startResponse(
  res: ServerResponse,
  status: number,
  headers: Headers,
): void {
  removeHeaders(res);
  res.statusCode = status;
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (name === 'content-length') continue;
    res.setHeader(name, value);
  }
}

/** Bytes that are given to the kernel at a time, so that its progress is seen. */
const PART_BYTES = 65_536;

/**
 * Ends a response with a body. A long body is written in parts: the kernel reports only
 * whole writes as taken, and a slow reader of one long write would seem to read nothing.
 *
 * @example
 * endResponse(res, body);
 */
export function endResponse(res: ServerResponse, body: Buffer): void {
  if (body.length <= PART_BYTES) {
    res.end(body);
    return;
  }
  let offset = 0;
  const writeNext = (err?: Error | null) => {
    if (err || res.destroyed) return;
    const part = body.subarray(offset, offset + PART_BYTES);
    offset += part.length;
    if (offset >= body.length) res.end(part);
    else res.write(part, writeNext);
  };
  writeNext();
}

/** The failure of a request that has not run and will not run on this host. */
export function shuttingDown(): Failure {
  return failure('shutting_down', 'this host is shutting down');
}
