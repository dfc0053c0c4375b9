import {
  fail,
  id,
  ok,
  withSpan,
  type Result,
  type ServiceGrant,
  type ServiceName,
} from '@chivewick/common';
import type {ServiceResponse, ServiceCall} from '@chivewick/services';
import {propagation, type Context} from '@opentelemetry/api';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {sendFailure, sendJson} from '../http/responses.js';
import {readText} from '../http/body.js';
import type {RequestContext} from '../http/request-context.js';
import type {Outcome} from '../models/model-response.js';
import type {Handler} from '../models/routes.js';
import type {CallersPorts, RequestClass} from '../ports.js';

const CALL_DEADLINE_MS = 15_000;
const LOOKUP_DEADLINE_MS = 2_000;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const READ_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

interface ParsedCall {
  readonly grant: ServiceGrant;
  readonly call: ServiceCall;
  /** The caller's Idempotency-Key. */
  readonly key?: string;
  readonly repeatable: boolean;
}

/** Handler of `ANY /v1/services/{service}/{path}`. */
export const callService: Handler = async (ports, req, res, ctx) => {
  const parsed = await parseCall(req, ctx);
  if (!parsed.ok) return refuse(res, parsed.err, ctx);
  const permit = await ports.limits.acquire(ctx.grant, 0, ctx.signal);
  if (!permit.ok) return refuse(res, permit.err, ctx);
  try {
    return await send(ports, res, ctx, parsed.value);
  } finally {
    permit.value.release();
  }
};

/** Handler of `GET /v1/calls/{key}`: the outcome of a non-idempotent call. */
export const lookUpCall: Handler = async (ports, req, res, ctx) => {
  const {pathname} = new URL(req.url ?? '/', 'http://localhost');
  const key = decodeURIComponent(pathname.split('/').slice(3).join('/'));
  const found = await ports.ledger.lookup(ctx.grant.workspace, key);
  if (!found.ok) return refuse(res, found.err, ctx);
  sendJson(res, 200, found.value);
  return 'ok';
};

async function send(
  ports: CallersPorts,
  res: ServerResponse,
  ctx: RequestContext,
  parsed: ParsedCall,
): Promise<Outcome> {
  const requestClass: RequestClass = parsed.repeatable ? 'lookup' : 'call';
  const slot = await ports.admission.acquire({
    workspace: ctx.grant.workspace,
    priority: ctx.grant.priority,
    class: requestClass,
    deadlineMs: LOOKUP_DEADLINE_MS,
    signal: ctx.signal,
  });
  if (!slot.ok) return refuse(res, slot.err, ctx);
  const service = parsed.grant.service;
  try {
    return await withSpan(ctx.trace, requestClass, {service}, trace => {
      const call = {...parsed.call, traceparent: traceparentOf(trace)};
      const traced = {...parsed, call};
      return parsed.repeatable
        ? sendRepeatable(ports, res, ctx, traced)
        : sendOnce(ports, res, ctx, traced);
    });
  } finally {
    slot.value.release();
  }
}

async function sendRepeatable(
  ports: CallersPorts,
  res: ServerResponse,
  ctx: RequestContext,
  {grant, call}: ParsedCall,
): Promise<Outcome> {
  const outcome = await ports.lookup(grant.service, call);
  if (outcome.kind !== 'answered') return refuse(res, outcome.err, ctx);
  return forwardResponse(res, outcome.answer);
}

async function sendOnce(
  ports: CallersPorts,
  res: ServerResponse,
  ctx: RequestContext,
  {grant, call, key = ''}: ParsedCall,
): Promise<Outcome> {
  const outcome = await ports.ledger.call({
    workspace: ctx.grant.workspace,
    service: grant.service,
    key,
    call,
    deadlineMs: CALL_DEADLINE_MS,
  });
  if (outcome.kind === 'failed') return refuse(res, outcome.err, ctx);
  if (outcome.replayed) res.setHeader('idempotency-replayed', 'true');
  return forwardResponse(res, outcome.answer);
}

async function parseCall(
  req: IncomingMessage,
  ctx: RequestContext,
): Promise<Result<ParsedCall>> {
  const url = new URL(req.url ?? '/', 'http://localhost');
  const [, , , name, ...rest] = url.pathname.split('/');
  const service = id<ServiceName>(decodeURIComponent(name ?? ''));
  const grant = ctx.grant.services.get(service);
  if (grant === undefined) {
    return fail('not_found', `the plan has no service "${service}"`);
  }
  const text = await readText(req);
  if (!text.ok) return text;
  const path = `/${rest.join('/')}`;
  const key = keyOf(req);
  if (!key.ok) return key;
  const method = req.method ?? 'GET';
  const repeatable =
    READ_METHODS.has(method) ||
    (key.value === undefined && isRepeatable(grant, path));
  if (!repeatable && key.value === undefined) {
    return fail(
      'invalid_request',
      `${method} ${path} needs an Idempotency-Key`,
    );
  }
  const call: ServiceCall = {
    method,
    path: `${path}${url.search}`,
    contentType: req.headers['content-type'],
    body: text.value === '' ? undefined : text.value,
    idempotencyKey: serviceKey(ctx, key.value),
  };
  return ok({grant, call, key: key.value, repeatable});
}

/**
 * Returns the idempotency key sent to the service, prefixed with the workspace.
 * Callers choose their keys freely, so a service that deduplicates by key alone
 * would otherwise mix up the calls of two workspaces.
 */
function serviceKey(ctx: RequestContext, key?: string): string | undefined {
  return key === undefined ? undefined : `${ctx.grant.workspace}:${key}`;
}

function isRepeatable(grant: ServiceGrant, path: string): boolean {
  if (!grant.repeatable) return false;
  return !grant.nonRepeatablePaths.some(
    excluded => path === excluded || path.startsWith(`${excluded}/`),
  );
}

function keyOf(req: IncomingMessage): Result<string | undefined> {
  const key = req.headers['idempotency-key'];
  if (key === undefined) return ok(undefined);
  const valid = typeof key === 'string' && key.length > 0;
  if (valid && key.length <= MAX_IDEMPOTENCY_KEY_LENGTH) return ok(key);
  return fail(
    'invalid_request',
    `Idempotency-Key must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
  );
}

function traceparentOf(trace: Context): string | undefined {
  const carrier: Record<string, string> = {};
  propagation.inject(trace, carrier);
  return carrier['traceparent'];
}

function forwardResponse(
  res: ServerResponse,
  answer: ServiceResponse,
): Outcome {
  res.statusCode = answer.status;
  res.setHeader('content-type', answer.contentType);
  res.end(answer.body);
  return 'ok';
}

function refuse(
  res: ServerResponse,
  err: Parameters<typeof sendFailure>[1],
  ctx: RequestContext,
): Outcome {
  sendFailure(res, err, ctx.requestId);
  return err.kind;
}
