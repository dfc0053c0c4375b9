import {failure, type EndpointId, type Failure} from '@chivewick/common';
import {UnreachableError} from '@chivewick/tunnels';
import {endResponse, shuttingDown, startResponse} from './responses.js';
import {createAttempts} from './attempts.js';
import {createByteBuffer} from './byte-buffer.js';
import {chooseWithinLimits} from './choose-within-limits.js';
import {
  acceptsRequests,
  observeLatency,
  type EndpointState,
} from './endpoint-table.js';
import {observeNotices} from './endpoint-notices.js';
import type {ExchangeResult, Exchange, ExchangeContext} from './exchange.js';
import {rejectQuarantined} from './quarantine/index.js';
import type {Headers} from './types.js';

/** Time for which an endpoint that refused a request as full is avoided. */
const FULL_BACKOFF_MS = 150;
/** A request with less time before its deadline is not sent. */
const MIN_REMAINING_MS = 15;
/** Refused sends, none of which ran the request, after which it fails. */
const MAX_REFUSALS = 3;
/** Cap on the response time that one request adds to the average. */
const MAX_LATENCY_SAMPLE_MS = 2_000;
/** Consecutive failures after which an endpoint is suspected. */
const FAILURES_UNTIL_SUSPECTED = 3;
/**
 * Limit on a response, which is buffered whole: an endpoint in trouble may send
 * bytes until the connection is closed.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/**
 * Limit on the bytes of all responses that are buffered at the same time: a sixth of the
 * memory of a small host. Responses of up to `SMALL_RESPONSE_BYTES` are not limited.
 */
const MAX_TOTAL_BYTES = 48 * 1024 * 1024;
const SMALL_RESPONSE_BYTES = 65_536;
/**
 * Parts after which their mean size is checked. Each takes some microseconds, so that a
 * long response in parts of one byte would hold up all other requests.
 */
const MAX_SMALL_PARTS = 1_000;
const MIN_MEAN_PART_BYTES = 16;
/** Twice `FULL_BACKOFF_MS`. */
const RETRY_AFTER_MS = 300;

interface EndpointResponse {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: Headers;
  readonly body: Buffer;
}

type Outcome =
  | EndpointResponse
  /** `isUnreachable` is set if it is not known whether the endpoint is up. */
  | {kind: 'not_run'; reason: string; full: boolean; isUnreachable?: boolean}
  /** `isDisconnected` is set if the endpoint ended the connection. */
  | {kind: 'unknown'; reason: string; isDisconnected?: boolean}
  | {kind: 'deadline'; sent: boolean}
  | {kind: 'gave_up'; sent: boolean}
  | {kind: 'caller_left'};

/**
 * Serves a request to a plain service. The complete response is read before its
 * first byte is forwarded, so that a broken response leads to a retry on another
 * endpoint (`repeatable`) or to a failure, never to a truncated response.
 */
export async function servePlain(
  exchange: Exchange,
  ctx: ExchangeContext,
): Promise<ExchangeResult> {
  try {
    return await sendUntilServed(exchange, ctx);
  } finally {
    ctx.quarantine.finished(exchange);
  }
}

async function sendUntilServed(
  exchange: Exchange,
  ctx: ExchangeContext,
): Promise<ExchangeResult> {
  const {rule, service, requestId, res} = exchange;
  const tried = new Set<EndpointId>();
  const attempts = createAttempts(RETRY_AFTER_MS);
  let errorResponse: EndpointResponse | undefined;
  for (;;) {
    const leftMs = exchange.deadlineAtMs - performance.now();
    if (leftMs < MIN_REMAINING_MS)
      return failed(attempts.failure ?? deadlineTooClose());
    if (ctx.gaveUp.aborted) return failed(attempts.failure ?? shuttingDown());
    const context = {exchange, ctx, attempts};
    const expected = rejectQuarantined('considered', context);
    if (expected !== undefined) return failed(expected);
    const usable = () => ctx.table.usable(service.name);
    // If no unsuspected endpoint is left, a suspected one is better than none.
    const suspected = () =>
      attempts.runs === 0 ? suspectedEndpoints(exchange, ctx) : [];
    const state =
      (await chooseWithinLimits(exchange, ctx, usable, tried)) ??
      (await chooseWithinLimits(exchange, ctx, suspected, tried));
    if (res.destroyed) return {kind: 'caller_left', sends: attempts.sends};
    const isRetry = attempts.sends > 0;
    const maySend = !isRetry || ctx.allowance.take(service.name);
    if (isRetry)
      ctx.metrics.retries.inc({result: maySend ? 'allowed' : 'denied'});
    if (state === undefined || !maySend) {
      return failed(
        attempts.failure ??
          noEndpoint(usable().length, tried.size, pauseLeftMs(exchange, ctx)),
      );
    }
    const rejected = rejectQuarantined('sent', context);
    if (rejected !== undefined) return failed(rejected);
    tried.add(state.record.id);
    attempts.sent();
    const outcome = await sendOnce(exchange, ctx, state);
    if (outcome.kind === 'unknown' && outcome.isDisconnected === true)
      await ctx.quarantine.disconnected(exchange, state, false);
    if (outcome.kind === 'deadline' && outcome.sent)
      ctx.quarantine.gaveUp(exchange, state, false);
    const next = handleOutcome(outcome, state);
    if (next !== undefined) return next;
  }

  /** Returns the result of the request, or undefined if it is to be sent again. */
  function handleOutcome(
    outcome: Outcome,
    state: EndpointState,
  ): ExchangeResult | undefined {
    const {sends} = attempts;
    if (outcome.kind === 'caller_left') return {kind: 'caller_left', sends};
    if (outcome.kind === 'deadline') {
      const mayHaveRun = outcome.sent || attempts.runs > 0;
      if (!mayHaveRun) return failed(attempts.failure ?? deadlineTooClose());
      return failed(
        failure('deadline_exceeded', 'no response before the deadline'),
      );
    }
    if (outcome.kind === 'gave_up') {
      if (!outcome.sent) return failed(attempts.failure ?? shuttingDown());
      return failed(attempts.mayHaveRun('this host has stopped'));
    }
    if (outcome.kind === 'answer') {
      const mayRepeat =
        rule.kind === 'repeatable' && attempts.runs + 1 < rule.maxEndpoints;
      if (outcome.status < 500) ctx.quarantine.succeeded(exchange);
      if (outcome.status < 500 || !mayRepeat) {
        return deliver(exchange, outcome, sends);
      }
      errorResponse ??= outcome;
      attempts.mayHaveRun(`answered ${outcome.status}`);
      return undefined;
    }
    ctx.log.event('requestResent', {
      requestId,
      endpoint: state.record.id,
      outcome: outcome.kind,
      reason: outcome.reason,
      failuresInRow: state.consecutiveFailures,
    });
    ctx.metrics.resent.inc({reason: outcome.kind});
    if (outcome.kind === 'not_run') {
      const err = attempts.refused(outcome.reason);
      return attempts.refusals >= MAX_REFUSALS ? failed(err) : undefined;
    }
    const err = attempts.mayHaveRun(outcome.reason);
    const mayRepeat =
      rule.kind === 'repeatable' && attempts.runs < rule.maxEndpoints;
    return mayRepeat ? undefined : failed(err);
  }

  /** Prefers an endpoint's error response, which is more specific, to `err`. */
  function failed(err: Failure): ExchangeResult {
    const {sends} = attempts;
    if (errorResponse !== undefined) {
      return deliver(exchange, errorResponse, sends);
    }
    return {kind: 'failed', err, sends};
  }
}

function deliver(
  {res}: Exchange,
  response: EndpointResponse,
  sends: number,
): ExchangeResult {
  startResponse(res, response.status, response.headers);
  const noBody = response.status === 204 || response.status === 304;
  if (!noBody) res.setHeader('content-length', response.body.length);
  endResponse(res, response.body);
  const bytes = response.body.length;
  return {kind: 'served', status: response.status, sends, bytes};
}

function deadlineTooClose(): Failure {
  return failure(
    'overloaded',
    'too little time before the deadline to run the request',
  );
}

function noEndpoint(usable: number, tried: number, pauseMs: number): Failure {
  return failure('no_route', `${usable} endpoints usable, ${tried} tried`, {
    retryAfterMs: Math.max(RETRY_AFTER_MS, pauseMs),
  });
}

/** Time until the first of the endpoints that have asked for a pause accepts requests. */
function pauseLeftMs({service}: Exchange, {table}: ExchangeContext): number {
  const nowMs = performance.now();
  const paused = table
    .ofService(service.name)
    .filter(state => !state.leaving && state.pausedUntilMs > nowMs)
    .map(state => Math.round(state.pausedUntilMs - nowMs));
  return paused.length > 0 ? Math.min(...paused) : 0;
}

function suspectedEndpoints(
  {service}: Exchange,
  {table}: ExchangeContext,
): EndpointState[] {
  const nowMs = performance.now();
  return table
    .ofService(service.name)
    .filter(
      state => acceptsRequests(state, nowMs) && state.suspectedUntilMs > nowMs,
    );
}

function sendOnce(
  exchange: Exchange,
  ctx: ExchangeContext,
  state: EndpointState,
): Promise<Outcome> {
  const {req, res, workspace, rule, body, requestId} = exchange;
  const {id, address} = state.record;
  const leftMs = exchange.deadlineAtMs - performance.now();
  const startMs = performance.now();
  state.running += 1;
  return new Promise<Outcome>(resolve => {
    let sent = false;
    /** Whether another host reaches the endpoint while this one no longer does. */
    let isCutOff = false;
    let status = 0;
    let headers: Headers = {};
    const received = createByteBuffer();
    let receivedBytes = 0;
    let parts = 0;
    const finish = (outcome: Outcome) => {
      ctx.buffered.add(-receivedBytes);
      clearTimeout(timer);
      res.off('close', onCallerLeft);
      ctx.gaveUp.removeEventListener('abort', onGaveUp);
      unsubscribe();
      state.running -= 1;
      const hasResponse =
        outcome.kind === 'answer' || outcome.kind === 'not_run';
      if (hasResponse || !isCutOff)
        updateEndpoint(ctx, state, outcome, performance.now() - startMs);
      resolve(outcome);
    };
    const onCallerLeft = () => {
      call.abort();
      finish({kind: 'caller_left'});
    };
    const timer = setTimeout(() => {
      call.abort();
      finish({kind: 'deadline', sent});
    }, leftMs);
    const onGaveUp = () => {
      call.abort();
      finish({kind: 'gave_up', sent});
    };
    res.on('close', onCallerLeft);
    ctx.gaveUp.addEventListener('abort', onGaveUp);
    // No response will arrive; a request that may be repeated goes another way.
    const unsubscribe = ctx.dialer.onLost(lost => {
      if (!sent || lost !== address) return;
      isCutOff = true;
      if (rule.kind !== 'repeatable') return;
      call.abort();
      finish({kind: 'unknown', reason: 'this host was cut off'});
    });
    const call = ctx.upstream.send(
      {
        address,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: ctx.dialect.forwardHeaders(req.rawHeaders, {
          endpoint: id,
          workspace: workspace?.id,
          deadlineMs: Math.max(1, Math.floor(leftMs)),
          lastEventId: undefined,
          priority: workspace?.priority ?? rule.priority,
        }),
        body,
      },
      {
        sent: () => (sent = true),
        answered(responseStatus, responseHeaders) {
          status = responseStatus;
          headers = responseHeaders;
          const responseFacts = ctx.dialect.readResponse(status, headers);
          observeNotices(ctx, state, responseFacts);
        },
        data(chunk) {
          received.append(chunk);
          receivedBytes += chunk.length;
          ctx.buffered.add(chunk.length);
          parts += 1;
          const reason = findExcess(receivedBytes, parts, ctx.buffered.total());
          if (reason === undefined) return;
          call.abort();
          finish({kind: 'unknown', reason});
        },
        ended: () => finish(classifyResponse()),
        failed: err =>
          finish(
            sent
              ? {kind: 'unknown', reason: err.message, isDisconnected: true}
              : {
                  kind: 'not_run',
                  reason: err.message,
                  full: false,
                  isUnreachable: err instanceof UnreachableError,
                },
          ),
      },
    );

    function classifyResponse(): Outcome {
      const responseFacts = ctx.dialect.readResponse(status, headers);
      if (
        responseFacts.requestId !== undefined &&
        responseFacts.requestId !== requestId
      ) {
        return {kind: 'unknown', reason: 'response to another request'};
      }
      if (responseFacts.notRun) {
        return {kind: 'not_run', reason: `answered ${status}`, full: true};
      }
      if (!responseFacts.signed || responseFacts.encoded) {
        return {
          kind: 'unknown',
          reason: `unsigned response with status ${status}`,
        };
      }
      return {kind: 'answer', status, headers, body: received.take()};
    }
  });
}

/** Returns why a response is not read any further, otherwise undefined. */
function findExcess(
  bytes: number,
  parts: number,
  totalBytes: number,
): string | undefined {
  if (bytes > MAX_RESPONSE_BYTES)
    return `response over ${MAX_RESPONSE_BYTES} bytes`;
  if (bytes > SMALL_RESPONSE_BYTES && totalBytes > MAX_TOTAL_BYTES)
    return `responses over ${MAX_TOTAL_BYTES} bytes in total`;
  if (parts > MAX_SMALL_PARTS && bytes < MIN_MEAN_PART_BYTES * parts)
    return `response in ${parts} parts`;
  return undefined;
}

/** Updates the latency and health of an endpoint from the outcome of a request. */
function updateEndpoint(
  ctx: ExchangeContext,
  state: EndpointState,
  outcome: Outcome,
  elapsedMs: number,
): void {
  const latencyMs = Math.min(elapsedMs, MAX_LATENCY_SAMPLE_MS);
  if (outcome.kind === 'answer') {
    observeLatency(state, latencyMs);
    if (outcome.status < 500) state.consecutiveFailures = 0;
    return;
  }
  if (outcome.kind === 'caller_left' || outcome.kind === 'gave_up') return;
  if (outcome.kind === 'not_run' && outcome.full) {
    state.fullUntilMs = performance.now() + FULL_BACKOFF_MS;
    return;
  }
  if (outcome.kind === 'not_run' && outcome.isUnreachable === true) return;
  if (outcome.kind === 'deadline') observeLatency(state, latencyMs);
  state.consecutiveFailures += 1;
  if (
    outcome.kind === 'not_run' ||
    state.consecutiveFailures >= FAILURES_UNTIL_SUSPECTED
  ) {
    ctx.table.suspect(state, `plain request: ${outcome.kind}`);
  }
}
