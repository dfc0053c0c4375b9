import {failure, type EndpointId, type Failure} from '@chivewick/common';
import {startAnswer} from './answers.js';
import {createAttempts} from './attempts.js';
import {chooseEndpoint} from './choose-endpoint.js';
import {observeLatency, type EndpointState} from './endpoint-table.js';
import type {Ending, Exchange, ExchangeParts} from './exchange.js';
import type {Headers} from './types.js';

/** An endpoint that refused a request for want of room is passed over so long. */
const FULL_MS = 150;
/** A request with less time left is not worth sending. */
const LEAST_TIME_MS = 15;
/** Sends of one request that endpoints refuse without running it. */
const MOST_REFUSALS = 3;
/** Longest answer time that is learned from one answer. */
const LONGEST_LATENCY_MS = 2_000;
/** Failures in a row after which an endpoint is suspected. */
const FAILURES_UNTIL_SUSPECTED = 3;
/** Twice the time for which a full endpoint is passed over. */
const RETRY_AFTER_MS = 300;

interface Answer {
  readonly kind: 'answer';
  readonly status: number;
  readonly headers: Headers;
  readonly body: Buffer;
}

type Outcome =
  | Answer
  | {kind: 'not_run'; reason: string; full: boolean}
  | {kind: 'unknown'; reason: string}
  | {kind: 'deadline'; sent: boolean}
  | {kind: 'caller_left'};

/**
 * Serves a request to a plain service. The whole answer is read before its first
 * byte is passed on, so that a broken answer can be asked for again elsewhere
 * (`repeatable`) or becomes a failure instead of half an answer.
 */
export async function servePlain(
  exchange: Exchange,
  parts: ExchangeParts,
): Promise<Ending> {
  const {rule, service, requestId} = exchange;
  const tried = new Set<EndpointId>();
  const attempts = createAttempts(RETRY_AFTER_MS);
  let failedAnswer: Answer | undefined;
  for (;;) {
    const leftMs = exchange.deadlineAtMs - performance.now();
    if (leftMs < LEAST_TIME_MS) return failed(attempts.failure ?? tooLate());
    const usable = parts.table.usable(service.name);
    const draw = parts.random.next();
    const state =
      chooseEndpoint(usable, tried, performance.now(), draw) ??
      (attempts.runs === 0 ? anyRegistered(exchange, parts, tried) : undefined);
    const maySend = attempts.sends === 0 || parts.allowance.take(service.name);
    if (state === undefined || !maySend) {
      return failed(attempts.failure ?? noEndpoint(usable.length, tried.size));
    }
    tried.add(state.record.id);
    attempts.sent();
    const outcome = await sendOnce(exchange, parts, state);
    const next = afterSend(outcome, state);
    if (next !== undefined) return next;
  }

  /** How the request ends after a send; undefined where another one follows. */
  function afterSend(
    outcome: Outcome,
    state: EndpointState,
  ): Ending | undefined {
    const {sends} = attempts;
    if (outcome.kind === 'caller_left') return {kind: 'caller_left', sends};
    if (outcome.kind === 'deadline') {
      const mayHaveRun = outcome.sent || attempts.runs > 0;
      if (!mayHaveRun) return failed(attempts.failure ?? tooLate());
      return failed(
        failure('deadline_exceeded', 'no answer before the deadline'),
      );
    }
    if (outcome.kind === 'answer') {
      const mayRepeat =
        rule.kind === 'repeatable' && attempts.runs + 1 < rule.maxEndpoints;
      if (outcome.status < 500 || !mayRepeat) {
        return deliver(exchange, outcome, sends);
      }
      failedAnswer ??= outcome;
      attempts.mayHaveRun(`answered ${outcome.status}`);
      return undefined;
    }
    parts.log.event('requestResent', {
      requestId,
      endpoint: state.record.id,
      outcome: outcome.kind,
      reason: outcome.reason,
      failuresInRow: state.failuresInRow,
    });
    parts.metrics.resent.inc({reason: outcome.kind});
    if (outcome.kind === 'not_run') {
      const err = attempts.refused(outcome.reason);
      return attempts.refusals >= MOST_REFUSALS ? failed(err) : undefined;
    }
    const err = attempts.mayHaveRun(outcome.reason);
    const mayRepeat =
      rule.kind === 'repeatable' && attempts.runs < rule.maxEndpoints;
    return mayRepeat ? undefined : failed(err);
  }

  /** A failed answer of an endpoint says more than a failure of this host. */
  function failed(err: Failure): Ending {
    const {sends} = attempts;
    if (failedAnswer !== undefined) {
      return deliver(exchange, failedAnswer, sends);
    }
    return {kind: 'failed', err, sends};
  }
}

function deliver({res}: Exchange, answer: Answer, sends: number): Ending {
  startAnswer(res, answer.status, answer.headers);
  const noBody = answer.status === 204 || answer.status === 304;
  if (!noBody) res.setHeader('content-length', answer.body.length);
  res.end(answer.body);
  return {kind: 'served', status: answer.status, sends};
}

function tooLate(): Failure {
  return failure('overloaded', 'no time left to run the request');
}

function noEndpoint(usable: number, tried: number): Failure {
  return failure('no_route', `${usable} endpoints usable, ${tried} tried`, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** With every endpoint under suspicion, any of them is better than none. */
function anyRegistered(
  {service}: Exchange,
  parts: ExchangeParts,
  tried: ReadonlySet<EndpointId>,
): EndpointState | undefined {
  const ready = parts.table
    .ofService(service.name)
    .filter(state => state.record.state === 'ready');
  return chooseEndpoint(ready, tried, performance.now(), parts.random.next());
}

function sendOnce(
  exchange: Exchange,
  parts: ExchangeParts,
  state: EndpointState,
): Promise<Outcome> {
  const {req, res, workspace, rule, body, requestId} = exchange;
  const {id, address} = state.record;
  const leftMs = exchange.deadlineAtMs - performance.now();
  const startMs = performance.now();
  state.running += 1;
  return new Promise<Outcome>(resolve => {
    let sent = false;
    let status = 0;
    let headers: Headers = {};
    const chunks: Buffer[] = [];
    const finish = (outcome: Outcome) => {
      clearTimeout(timer);
      res.off('close', left);
      state.running -= 1;
      learn(parts, state, outcome, performance.now() - startMs);
      resolve(outcome);
    };
    const left = () => {
      call.abort();
      finish({kind: 'caller_left'});
    };
    const timer = setTimeout(() => {
      call.abort();
      finish({kind: 'deadline', sent});
    }, leftMs);
    res.on('close', left);
    const call = parts.upstream.send(
      {
        address,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: parts.dialect.forwardHeaders(req.rawHeaders, {
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
        answered(answeredStatus, answeredHeaders) {
          status = answeredStatus;
          headers = answeredHeaders;
        },
        data: chunk => void chunks.push(chunk),
        ended: () => finish(judge()),
        failed: err =>
          finish(
            sent
              ? {kind: 'unknown', reason: err.message}
              : {kind: 'not_run', reason: err.message, full: false},
          ),
      },
    );

    function judge(): Outcome {
      const answer = parts.dialect.readAnswer(status, headers);
      if (answer.requestId !== undefined && answer.requestId !== requestId) {
        return {kind: 'unknown', reason: 'answer to another request'};
      }
      if (answer.notRun) {
        return {kind: 'not_run', reason: `answered ${status}`, full: true};
      }
      if (!answer.signed || answer.encoded) {
        return {kind: 'unknown', reason: `unsigned answer ${status}`};
      }
      return {kind: 'answer', status, headers, body: Buffer.concat(chunks)};
    }
  });
}

/** Takes what an outcome says about the endpoint. */
function learn(
  parts: ExchangeParts,
  state: EndpointState,
  outcome: Outcome,
  elapsedMs: number,
): void {
  const latencyMs = Math.min(elapsedMs, LONGEST_LATENCY_MS);
  if (outcome.kind === 'answer') {
    observeLatency(state, latencyMs);
    if (outcome.status < 500) state.failuresInRow = 0;
    return;
  }
  if (outcome.kind === 'caller_left') return;
  if (outcome.kind === 'not_run' && outcome.full) {
    state.fullUntilMs = performance.now() + FULL_MS;
    return;
  }
  if (outcome.kind === 'deadline') observeLatency(state, latencyMs);
  state.failuresInRow += 1;
  if (
    outcome.kind === 'not_run' ||
    state.failuresInRow >= FAILURES_UNTIL_SUSPECTED
  ) {
    parts.table.suspect(state, `plain request: ${outcome.kind}`);
  }
}
