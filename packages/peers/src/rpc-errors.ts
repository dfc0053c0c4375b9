import {
  createJSONRPCErrorResponse,
  type JSONRPCErrorResponse,
  type JSONRPCID,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import {
  ERROR_RESPONSES,
  fail,
  ok,
  toFailure,
  type ErrorKind,
  type Failure,
  type Result,
} from '@chivewick/common';

/** Error codes, from the range that JSON-RPC 2.0 reserves for implementations. */
export const RPC_DEADLINE = -32001;
export const RPC_NOT_SENT = -32002;
export const RPC_REFUSED = -32003;
const RPC_FAILURE = -32004;

/** Message of calls that were in progress when the connection closed. */
export const RPC_CLOSED = 'connection closed before the response';

/**
 * Maps an error that a handler threw to an error response with the failure.
 *
 * @example
 * server.mapErrorToJSONRPCErrorResponse = toErrorResponse;
 */
export function toErrorResponse(
  id: JSONRPCID,
  err: unknown,
): JSONRPCErrorResponse {
  if (err instanceof RefusedError)
    return createJSONRPCErrorResponse(id, RPC_REFUSED, err.message);
  const {kind, message, hint, ran, retryAfterMs} = toFailure(err);
  const data = {kind, hint, ran, retryAfterMs};
  return createJSONRPCErrorResponse(id, RPC_FAILURE, message, data);
}

/** Thrown for a request that this host refuses before any handler runs. */
export class RefusedError extends Error {}

/**
 * Converts a JSON-RPC response to a result. A failure of an unknown kind, such as
 * one added by a newer release, becomes `endpoint_failed`.
 *
 * @example
 * return toResult<Pong>(await link.call('membership.ping', ping, 300));
 */
export function toResult<R>(response: JSONRPCResponse): Result<R> {
  const {error} = response;
  if (error === undefined) return ok(response.result as R);
  const {code, message} = error;
  if (code === RPC_DEADLINE) return fail('deadline_exceeded', message);
  if (code === RPC_NOT_SENT || code === RPC_REFUSED || code === -32601)
    return fail('endpoint_failed', message, {ran: 'not_run'});
  if (code !== RPC_FAILURE) return fail('endpoint_failed', message);
  const data = error.data as Partial<Failure> | undefined;
  if (!isErrorKind(data?.kind)) return fail('endpoint_failed', message);
  const {hint, ran, retryAfterMs} = data as Failure;
  return fail(data.kind, message, {
    hint,
    ran,
    ...(retryAfterMs !== undefined && {retryAfterMs}),
  });
}

function isErrorKind(kind: unknown): kind is ErrorKind {
  return typeof kind === 'string' && Object.hasOwn(ERROR_RESPONSES, kind);
}
