import type {ServerResponse} from 'node:http';
import {ERROR_RESPONSES, type Failure} from '@chivewick/common';

/** Response of a handler: a JSON value or plain text, with headers. */
export interface AdminResponse {
  readonly status?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly json?: unknown;
  readonly text?: string;
}

/**
 * Sends a response, as JSON unless it has a text.
 *
 * @example
 * sendResponse(res, {json: {hosts}});
 */
export function sendResponse(
  res: ServerResponse,
  response: AdminResponse,
): void {
  if (res.headersSent) return;
  const isText = response.text !== undefined;
  const body = isText ? response.text : JSON.stringify(response.json);
  res.writeHead(response.status ?? 200, {
    'content-type': isText
      ? 'text/plain; charset=utf-8'
      : 'application/json; charset=utf-8',
    'cache-control': 'no-store',
    ...response.headers,
  });
  res.end(body);
}

/**
 * Sends a failure in the format that is also used for callers' errors, with
 * `Retry-After` in full seconds if a time is known.
 *
 * @param details faults of a list, as data
 * @example
 * sendFailure(res, failure('not_found', 'no such request'), requestId);
 */
export function sendFailure(
  res: ServerResponse,
  err: Failure,
  requestId: string,
  details: unknown = detailsOf(err),
): void {
  const {kind, retryAfterMs} = err;
  const {status} = ERROR_RESPONSES[kind];
  sendResponse(res, {
    status,
    headers: {
      ...(retryAfterMs !== undefined && {
        'retry-after': String(Math.ceil(retryAfterMs / 1000)),
      }),
      ...(kind === 'unauthenticated' && {'www-authenticate': 'Bearer'}),
    },
    json: errorBody(err, requestId, details),
  });
}

/**
 * Creates the JSON body of an error response.
 *
 * @example
 * errorBody(failure('not_found', 'no such request'), requestId);
 */
export function errorBody(
  err: Failure,
  requestId: string,
  details?: unknown,
): object {
  const {retry} = ERROR_RESPONSES[err.kind];
  const {kind, message, hint, ran, retryAfterMs} = err;
  const error = {kind, message, hint, ran, retry, retryAfterMs, requestId};
  return {error: {...error, ...(details !== undefined && {details})}};
}

/** Cause of a failure that carries structured details to its response. */
export class FailureDetails {
  constructor(readonly details: unknown) {}
}

function detailsOf(err: Failure): unknown {
  return err.cause instanceof FailureDetails ? err.cause.details : undefined;
}
