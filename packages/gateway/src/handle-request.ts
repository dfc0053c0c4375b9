import {
  ERROR_ANSWERS,
  failure,
  id,
  pause,
  type Failure,
  type RequestId,
} from '@chivewick/common';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {answerFailure} from './answers.js';
import type {Ending, Exchange, ExchangeParts} from './exchange.js';
import type {Freshness} from './freshness.js';
import {headerBytes} from './caller-server.js';
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

/** Taken off the age up to which rights are used, for the clocks' rates. */
const AGE_MARGIN_MS = 200;
/** A first confirmation after a standstill takes one call to the store. */
const CONFIRM_WAIT_MS = 250;
/** A tenth of the wait. */
const CONFIRM_STEP_MS = 25;
/**
 * Unknown routes and keys are refused for good only by hosts whose configuration
 * is not older than this; others may have missed them.
 */
const KNOWN_AGE_MS = 3_000;
/** Another host may serve the request at once. */
const ELSEWHERE_RETRY_AFTER_MS = 50;

/** What the handler of requests needs besides the parts of exchanges. */
export interface HandlerOptions {
  readonly parts: ExchangeParts;
  readonly freshness: Freshness;
  readonly bounds: () => HostBounds;
  readonly routing: () => Routing | undefined;
  /** Asks for a confirmation of the configuration now. */
  readonly confirm: () => void;
  /** Whether the host is stopping, so that callers should leave. */
  readonly stopping: () => boolean;
  /** Whether a new request of a kind can still be served to its end. */
  readonly accepts: (kind: RequestKind) => boolean;
}

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
 * Creates the handler of callers' requests: finds the route, checks the key,
 * reads the body and serves the request to its end.
 */
export function createRequestHandler(
  options: HandlerOptions,
): (req: IncomingMessage, res: ServerResponse) => Promise<void> {
  const {parts} = options;

  return async (req, res) => {
    const arrivedMs = performance.now();
    const facts = parts.dialect.readRequest(req.headers);
    if (options.stopping()) res.setHeader('connection', 'close');
    let admission = await admit(options, req, facts);
    if (!admission.ok) return refuse(req, res, facts, admission.err, arrivedMs);
    const {rule: firstRule} = admission.value;
    const timeMs = Math.min(
      firstRule.timeoutMs,
      facts.deadlineMs ?? firstRule.timeoutMs,
    );
    const deadlineAtMs = arrivedMs + timeMs;
    const {limits} = options.routing()!.config;
    const body = await readBody(req, {
      maxBytes: limits.maxBodyBytes,
      idleMs: limits.idleTimeoutMs,
      untilMs: deadlineAtMs,
    });
    if (body.kind === 'aborted') {
      return parts.log.event('callerLeft', {
        requestId: facts.requestId,
        sends: 0,
        elapsedMs: Math.round(performance.now() - arrivedMs),
      });
    }
    const invalid = findInvalid(body, facts, limits);
    if (invalid !== undefined)
      return refuse(req, res, facts, invalid, arrivedMs);
    if (performance.now() - arrivedMs > AGE_MARGIN_MS) {
      // The key or the route may have gone while the body arrived.
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
    parts.allowance.requested(service.name);
    const ending =
      service.engine === undefined
        ? await servePlain(exchange, parts)
        : await serveStream(exchange, parts, service.engine);
    conclude(exchange, ending);
  };

  function conclude(exchange: Exchange, ending: Ending): void {
    const {res, requestId, rule, workspace, service} = exchange;
    parts.metrics.requests.inc({kind: rule.kind, outcome: ending.kind});
    const fields = {
      requestId,
      route: rule.name,
      service: service.name,
      workspace: workspace?.id,
      configVersion: exchange.configVersion,
      sends: ending.sends,
      elapsedMs: Math.round(performance.now() - exchange.arrivedMs),
    };
    if (ending.kind === 'served') {
      const {status, stream} = ending;
      return parts.log.event('requestServed', {
        ...fields,
        status,
        events: stream?.events,
        firstEventMs:
          stream && Math.round(stream.firstEventMs - exchange.arrivedMs),
        longestGapMs: stream && Math.round(stream.longestGapMs),
      });
    }
    if (ending.kind === 'caller_left') {
      return parts.log.event('callerLeft', fields);
    }
    if (ending.kind === 'failed') answerFailure(res, ending.err);
    const {kind, message, ran} = ending.err;
    parts.log.event('requestNotServed', {
      ...fields,
      ending: ending.kind,
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
    parts.metrics.requests.inc({kind: 'none', outcome: err.kind});
    parts.log.event('requestNotServed', {
      requestId: facts.requestId,
      error: err.kind,
      message: err.message,
      configVersion: options.routing()?.config.version,
      configAgeMs: Math.round(options.freshness.ageMs()),
      elapsedMs: Math.round(performance.now() - arrivedMs),
    });
    // Callers come back over a new connection, which leads to another host.
    const isElsewhere =
      err.kind === 'rights_unconfirmed' || err.kind === 'shutting_down';
    if (isElsewhere) res.setHeader('connection', 'close');
    answerFailure(res, err);
    req.resume();
  }
}

/** Why a request that was read cannot be served at all. */
function findInvalid(
  body: Body,
  facts: RequestFacts,
  {maxBodyBytes}: CallerLimits,
): Failure | undefined {
  if (body.kind === 'too_large') {
    return failure('body_too_large', `over ${maxBodyBytes} bytes`);
  }
  if (body.kind === 'too_slow') {
    return failure('request_timeout', 'the body did not arrive in time');
  }
  if (facts.requestId === undefined) {
    return failure('invalid_request', 'the request has no id');
  }
  return undefined;
}

/** Finds the route and the workspace of a request, and a service for it. */
async function admit(
  options: HandlerOptions,
  req: IncomingMessage,
  facts: RequestFacts,
): Promise<Admission> {
  if (options.routing() === undefined) {
    return refusal('platform_unavailable', 'no configuration yet');
  }
  const {maxHeaderBytes} = options.routing()!.config.limits;
  if (headerBytes(req.rawHeaders) > maxHeaderBytes) {
    return refusal('headers_too_large', `over ${maxHeaderBytes} bytes`);
  }
  const {strictRevocation, revokeMs} = options.bounds();
  const oldestMs = revokeMs - AGE_MARGIN_MS;
  const host = req.headers.host ?? '';
  const path = req.url ?? '/';
  if (strictRevocation && options.freshness.ageMs() > oldestMs) {
    const rule = options.routing()!.match(host, path);
    if (rule?.open !== true && !(await confirmed(options, oldestMs))) {
      return refusal(
        'rights_unconfirmed',
        'the store has not confirmed the keys in time',
      );
    }
  }
  const {config, match} = options.routing()!;
  const rule = match(host, path);
  const isCurrent = options.freshness.ageMs() <= KNOWN_AGE_MS;
  if (rule === undefined) {
    return isCurrent
      ? refusal('not_found', 'no route matches')
      : refusal('platform_unavailable', 'no route in an old configuration');
  }
  if (!options.accepts(rule.kind)) {
    return refusal('shutting_down', 'this host stops');
  }
  let workspace: Workspace | undefined;
  if (!rule.open && config.workspaceOfKey !== undefined) {
    workspace = config.workspaceOfKey.get(facts.key ?? '');
    if (workspace === undefined) {
      return isCurrent || facts.key === undefined
        ? refusal('unauthenticated', 'unknown key')
        : refusal(
            'platform_unavailable',
            'no such key in an old configuration',
          );
    }
  }
  const name = pickTarget(rule.targets, options.parts.random.next());
  const service = name && config.services.get(name);
  if (!service) return refusal('no_route', 'the route has no service');
  const value = {rule, service, workspace, configVersion: config.version};
  return {ok: true, value};
}

function refusal(kind: Failure['kind'], message: string): Admission {
  const retryAfterMs = ERROR_ANSWERS[kind].retry
    ? ELSEWHERE_RETRY_AFTER_MS
    : undefined;
  return {ok: false, err: failure(kind, message, {retryAfterMs})};
}

/** Waits shortly for a confirmation, as after a standstill of the process. */
async function confirmed(
  options: HandlerOptions,
  oldestMs: number,
): Promise<boolean> {
  options.confirm();
  for (
    let waitedMs = 0;
    waitedMs < CONFIRM_WAIT_MS;
    waitedMs += CONFIRM_STEP_MS
  ) {
    await pause(CONFIRM_STEP_MS);
    if (options.freshness.ageMs() <= oldestMs) return true;
  }
  return false;
}
