import {ERROR_RESPONSES, type Failure, type RequestId} from '@chivewick/common';
import type {ServerResponse} from 'node:http';

const MS_PER_SECOND = 1_000;

/** Returns the JSON body of an error response. */
export function errorBody(err: Failure, requestId: string): object {
  const {retry} = ERROR_RESPONSES[err.kind];
  return {
    error: {
      kind: err.kind,
      // Fields that OpenAI-compatible clients read.
      type: err.kind,
      code: err.kind,
      message: err.message,
      hint: err.hint,
      ran: err.ran,
      retry,
      ...(err.retryAfterMs !== undefined && {retryAfterMs: err.retryAfterMs}),
      requestId,
    },
  };
}

/**
 * Sends an error response; the status follows from the error's kind. Does
 * nothing when the headers were already sent or the connection is closed.
 *
 * @example
 * sendFailure(res, failure('not_found', 'no model "x"'), requestId);
 */
export function sendFailure(
  res: ServerResponse,
  err: Failure,
  requestId: RequestId,
): void {
  if (res.headersSent || res.destroyed) return;
  if (err.retryAfterMs !== undefined) {
    const seconds = Math.ceil(err.retryAfterMs / MS_PER_SECOND);
    res.setHeader('retry-after', String(Math.max(1, seconds)));
  }
  if (err.kind === 'body_too_large') res.setHeader('connection', 'close');
  sendJson(res, ERROR_RESPONSES[err.kind].status, errorBody(err, requestId));
}

/** Sends a JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  res.statusCode = status;
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(value));
}
