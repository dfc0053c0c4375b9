import {
  ERROR_RESPONSES,
  failure,
  id,
  pause,
  type Failure,
  type RequestId,
} from '@chivewick/common';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {respondWithFailure} from './responses.js';
import type {ExchangeResult, Exchange, ExchangeContext} from './exchange.js';
import type {Freshness} from './freshness.js';
import {headerBytes} from './caller-server.js';
import type {Charge} from './intake/index.js';
import {readBody, type Body} from './read-body.js';
import {pickTarget, type Routing} from './routing.js';
import {servePlain} from './serve-plain.js';
import {serveStream} from './serve-stream.js';
import type {
  CallerLimits,
  HostBounds,
  RequestFacts,
  RequestKind,
  RouteRule,
  ServiceRule,
  Workspace,
} from './types.js';

/**
 * Subtracted from the maximum age of the last confirmation of the keys, to allow for
 * differences in clock rate.
 */
const AGE_MARGIN_MS = 200;
/** The first confirmation after a process suspension takes one call to the store. */
const CONFIRM_WAIT_MS = 250;
/** A tenth of `CONFIRM_WAIT_MS`. */
const CONFIRM_POLL_MS = 25;
/**
 * A host rejects unknown routes and keys permanently only if its configuration is
 * not older than this; an older configuration may lack recently added ones.
 */
const MAX_CURRENT_AGE_MS = 3_000;
/** Short, because another host may serve the request immediately. */
const ELSEWHERE_RETRY_AFTER_MS = 50;

/** Time in which most bodies that arrive at the same time are served. */
const EVICTED_RETRY_AFTER_MS = 1_000;

/** Characters that Node's parser takes in a path, but that no request may be sent with. */
const INVALID_PATH = /[^\x21-\xff]/;

/** Dependencies of the request handler. */
export interface HandlerOptions {
  readonly ctx: ExchangeContext;
  readonly freshness: Freshness;
  readonly bounds: () => HostBounds;
  readonly routing: () => Routing | undefined;
  /** Requests an immediate confirmation of the configuration. */
  readonly confirm: () => void;
  /** Whether the host is stopping, so that callers should disconnect. */
  readonly stopping: () => boolean;
  /** Whether a new request can still be completed before the stop of this host. */
  readonly accepts: (kind: RequestKind, durationMs: number) => boolean;
}

/** Handles a request, whose bytes are charged to `charge`. */
export type HandleRequest = (
  req: IncomingMessage,
  res: ServerResponse,
  charge: Charge,
) => Promise<void>;

interface Admitted {
  readonly rule: RouteRule;
  readonly service: ServiceRule;
  readonly workspace?: Workspace;
  readonly configVersion: number;
}

type Admission =
  | {readonly ok: true; readonly value: Admitted}
  | {readonly ok: false; readonly err: Failure};

/**
 * Creates the handler of callers' requests: it matches the route, checks the key,
 * reads the body and serves the request.
 */
export function createRequestHandler(options: HandlerOptions): HandleRequest {
  const {ctx} = options;

  return async (req, res, charge) => {
    const arrivedMs = performance.now();
    const facts = ctx.dialect.readRequest(req.headers);
    if (options.stopping()) res.setHeader('connection', 'close');
    if (req.headers.host === undefined && req.httpVersion === '1.1') {
      res.setHeader('connection', 'close');
      const err = failure('invalid_request', 'missing Host header');
      return refuse(req, res, facts, err, arrivedMs);
    }
    let admission = await admit(options, req, facts);
    if (!admission.ok) return refuse(req, res, facts, admission.err, arrivedMs);
    const {rule: firstRule} = admission.value;
    const deadlineAtMs = arrivedMs + longestMs(firstRule, facts);
    const {limits} = options.routing()!.config;
    const body = await readBody(
      req,
      {
        maxBytes: limits.maxBodyBytes,
        idleMs: limits.idleTimeoutMs,
        untilMs: deadlineAtMs,
      },
      charge,
    );
    if (body.kind === 'aborted') {
      return ctx.log.event('callerLeft', {
        requestId: facts.requestId,
        sends: 0,
        elapsedMs: Math.round(performance.now() - arrivedMs),
      });
    }
    const invalid = validateRequest(body, facts, limits);
    if (invalid !== undefined)
      return refuse(req, res, facts, invalid, arrivedMs);
    if (performance.now() - arrivedMs > AGE_MARGIN_MS) {
      // The key or the route may have been removed while the body arrived.
      admission = await admit(options, req, facts);
      if (!admission.ok) {
        return refuse(req, res, facts, admission.err, arrivedMs);
      }
    }
    const admitted = admission.value;
    const {service} = admitted;
    const exchange: Exchange = {
      req,
      res,
      requestId: id<RequestId>(facts.requestId!),
      facts,
      ...admitted,
      body: body.kind === 'read' ? body.bytes : undefined,
      arrivedMs,
      deadlineAtMs,
    };
    ctx.allowance.countRequest(service.name);
    const result =
      service.engine === undefined
        ? await servePlain(exchange, ctx)
        : await serveStream(exchange, ctx, service.engine);
    finishExchange(exchange, result);
    // The response takes the place of the body.
    const wholeBytes = result.kind === 'served' ? (result.bytes ?? 0) : 0;
    charge.set(Math.max(wholeBytes, res.writableLength));
    charge.setEvict(() => res.req.socket.destroy());
  };

  function finishExchange(exchange: Exchange, result: ExchangeResult): void {
    const {res, requestId, rule, workspace, service} = exchange;
    ctx.metrics.requests.inc({kind: rule.kind, outcome: result.kind});
    const fields = {
      requestId,
      route: rule.name,
      service: service.name,
      workspace: workspace?.id,
      configVersion: exchange.configVersion,
      sends: result.sends,
      elapsedMs: Math.round(performance.now() - exchange.arrivedMs),
    };
    if (result.kind === 'served') {
      const {status, stream} = result;
      return ctx.log.event('requestServed', {
        ...fields,
        status,
        events: stream?.events,
        firstEventMs:
          stream && Math.round(stream.firstEventMs - exchange.arrivedMs),
        longestGapMs: stream && Math.round(stream.longestGapMs),
      });
    }
    if (result.kind === 'caller_left') {
      return ctx.log.event('callerLeft', fields);
    }
    if (result.kind === 'failed') respondWithFailure(res, result.err);
    const {kind, message, ran} = result.err;
    ctx.log.event('requestNotServed', {
      ...fields,
      ending: result.kind,
      error: kind,
      message,
      ran,
    });
  }

  function refuse(
    req: IncomingMessage,
    res: ServerResponse,
    facts: RequestFacts,
    err: Failure,
    arrivedMs: number,
  ): void {
    ctx.metrics.requests.inc({kind: 'none', outcome: err.kind});
    ctx.log.event('requestNotServed', {
      requestId: facts.requestId,
      error: err.kind,
      message: err.message,
      configVersion: options.routing()?.config.version,
      configAgeMs: Math.round(options.freshness.ageMs()),
      elapsedMs: Math.round(performance.now() - arrivedMs),
    });
    // Closing makes callers reconnect, which leads them to another host.
    const shouldReconnect =
      err.kind === 'rights_unconfirmed' || err.kind === 'shutting_down';
    if (shouldReconnect) res.setHeader('connection', 'close');
    respondWithFailure(res, err);
    req.resume();
  }
}

/** Longest time that a request may take, in milliseconds. */
function longestMs({timeoutMs}: RouteRule, {deadlineMs}: RequestFacts): number {
  return Math.min(timeoutMs, deadlineMs ?? timeoutMs);
}

/** Returns the failure of a request that is invalid, otherwise undefined. */
function validateRequest(
  body: Body,
  facts: RequestFacts,
  {maxBodyBytes}: CallerLimits,
): Failure | undefined {
  if (body.kind === 'too_large') {
    return failure('body_too_large', `over ${maxBodyBytes} bytes`);
  }
  if (body.kind === 'evicted') {
    return failure('overloaded', 'the bodies of all requests need too much', {
      retryAfterMs: EVICTED_RETRY_AFTER_MS,
    });
  }
  if (body.kind === 'too_slow') {
    return failure('request_timeout', 'the body did not arrive in time');
  }
  if (facts.requestId === undefined) {
    return failure('invalid_request', 'the request has no request id');
  }
  return undefined;
}

/** Resolves the route, workspace and service of a request, or rejects it. */
async function admit(
  options: HandlerOptions,
  req: IncomingMessage,
  facts: RequestFacts,
): Promise<Admission> {
  if (options.routing() === undefined) {
    return refusal('platform_unavailable', 'no configuration loaded yet');
  }
  const {maxHeaderBytes} = options.routing()!.config.limits;
  if (headerBytes(req.rawHeaders) > maxHeaderBytes) {
    return refusal('headers_too_large', `over ${maxHeaderBytes} bytes`);
  }
  const host = req.headers.host ?? '';
  const path = req.url ?? '/';
  if (INVALID_PATH.test(path)) {
    return refusal('invalid_request', 'the path has invalid characters');
  }
  const {strictRevocation, revokeMs} = options.bounds();
  const maxAgeMs = revokeMs - AGE_MARGIN_MS;
  if (strictRevocation && options.freshness.ageMs() > maxAgeMs) {
    const rule = options.routing()!.match(host, path);
    if (
      rule?.isPublic !== true &&
      !(await waitForConfirmation(options, maxAgeMs))
    ) {
      return refusal(
        'rights_unconfirmed',
        'the store has not confirmed the keys in time',
      );
    }
  }
  const {config, match} = options.routing()!;
  const rule = match(host, path);
  const isCurrent = options.freshness.ageMs() <= MAX_CURRENT_AGE_MS;
  if (rule === undefined) {
    return isCurrent
      ? refusal('not_found', 'no route matches')
      : refusal(
          'platform_unavailable',
          'no route matches in an outdated configuration',
        );
  }
  if (!options.accepts(rule.kind, longestMs(rule, facts))) {
    return refusal('shutting_down', 'this host is shutting down');
  }
  let workspace: Workspace | undefined;
  if (!rule.isPublic && config.workspaceOfKey !== undefined) {
    workspace = config.workspaceOfKey.get(facts.key ?? '');
    if (workspace === undefined) {
      return isCurrent || facts.key === undefined
        ? refusal('unauthenticated', 'unknown key')
        : refusal(
            'platform_unavailable',
            'unknown key in an outdated configuration',
          );
    }
  }
  const name = pickTarget(rule.targets, options.ctx.random.next());
  const service = name && config.services.get(name);
  if (!service) return refusal('no_route', 'the route has no service');
  const value = {rule, service, workspace, configVersion: config.version};
  return {ok: true, value};
}

function refusal(kind: Failure['kind'], message: string): Admission {
  const retryAfterMs = ERROR_RESPONSES[kind].retry
    ? ELSEWHERE_RETRY_AFTER_MS
    : undefined;
  return {ok: false, err: failure(kind, message, {retryAfterMs})};
}

/** Waits briefly for a confirmation, needed after a suspension of the process. */
async function waitForConfirmation(
  options: HandlerOptions,
  maxAgeMs: number,
): Promise<boolean> {
  options.confirm();
  for (
    let waitedMs = 0;
    waitedMs < CONFIRM_WAIT_MS;
    waitedMs += CONFIRM_POLL_MS
  ) {
    await pause(CONFIRM_POLL_MS);
    if (options.freshness.ageMs() <= maxAgeMs) return true;
  }
  return false;
}
