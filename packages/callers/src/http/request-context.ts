import {
  fail,
  id,
  ok,
  sha256,
  type RequestId,
  type Result,
  type WorkspaceGrant,
} from '@chivewick/common';
import {context, propagation, type Context} from '@opentelemetry/api';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallersPorts} from '../ports.js';

/** Request data that is passed to every handler. */
export interface RequestContext {
  readonly requestId: RequestId;
  readonly grant: WorkspaceGrant;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly trace: Context;
}

/** Generates a request id and sets it as `x-request-id` on the response. */
export function assignRequestId(res: ServerResponse): RequestId {
  const requestId = id<RequestId>(`req_${randomUUID().replaceAll('-', '')}`);
  res.setHeader('x-request-id', requestId);
  return requestId;
}

/**
 * Authenticates a request and builds the context for its handler.
 *
 * Fails with `unauthenticated`, or with the failure from
 * `ports.unavailable()` while this host serves no requests.
 */
export function openContext(
  ports: CallersPorts,
  req: IncomingMessage,
  res: ServerResponse,
  requestId: RequestId,
): Result<RequestContext> {
  const unavailable = ports.unavailable();
  if (unavailable !== undefined) return {ok: false, err: unavailable};
  const key = /^Bearer (\S+)$/i.exec(req.headers.authorization ?? '')?.[1];
  if (key === undefined)
    return fail('unauthenticated', 'the request has no bearer key');
  const grant = ports.grantOfKey(sha256(key));
  if (grant === undefined) return fail('unauthenticated', 'the key is unknown');
  const disconnected = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) disconnected.abort();
  });
  const trace = propagation.extract(context.active(), req.headers);
  return ok({requestId, grant, signal: disconnected.signal, trace});
}
