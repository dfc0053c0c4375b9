import {failure, type EndpointId, type Failure} from '@chivewick/common';
import {startAnswer} from './answers.js';
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
const RETRY_AFTER_MS = 300;

type Outcome =
  | {kind: 'answer'; status: number; headers: Headers; body: Buffer}
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
  let runs = 0;
  let sends = 0;
  let lastFailure: Failure | undefined;
  for (;;) {
    const leftMs = exchange.deadlineAtMs - performance.now();
    if (leftMs < LEAST_TIME_MS) return ended(lastFailure ?? tooLate());
    const usable = parts.table.usable(service.name);
    const draw = parts.random.next();
    const state =
      chooseEndpoint(usable, tried, performance.now(), draw) ??
      (runs === 0 ? anyRegistered(exchange, parts, tried) : undefined);
    if (state === undefined) {
      return ended(lastFailure ?? noEndpoint(usable.length, tried.size));
    }
    if (sends > 0 && !parts.allowance.take(service.name)) {
      return ended(lastFailure ?? noEndpoint(usable.length, tried.size));
    }
    tried.add(state.record.id);
    sends += 1;
    const outcome = await sendOnce(exchange, parts, state);
    if (outcome.kind === 'caller_left') return {kind: 'caller_left', sends};
    if (outcome.kind === 'deadline') {
      return ended(
        outcome.sent || runs > 0
          ? failure('deadline_exceeded', 'no answer before the deadline')
          : tooLate(),
      );
    }
    if (outcome.kind === 'answer') {
      const again =
        outcome.status >= 500 &&
        rule.kind === 'repeatable' &&
        runs + 1 < rule.maxEndpoints;
      if (!again) return deliver(exchange, outcome, sends);
      runs += 1;
      const next = await retryAnswer(outcome);
      if (next !== undefined) return next;
      continue;
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
      if (runs === 0) {
        lastFailure = failure('overloaded', outcome.reason, {
          retryAfterMs: RETRY_AFTER_MS,
        });
      }
      if (sends - runs >= MOST_REFUSALS) return ended(lastFailure!);
      continue;
    }
    runs += 1;
    lastFailure = failure('outcome_unknown', outcome.reason);
    if (rule.kind !== 'repeatable' || runs >= rule.maxEndpoints) {
      return ended(lastFailure);
    }
  }

  function ended(err: Failure): Ending {
    return {kind: 'failed', err, sends};
  }

  /** Passes a failed answer on where it cannot be asked for again. */
  async function retryAnswer(
    answer: Extract<Outcome, {kind: 'answer'}>,
  ): Promise<Ending | undefined> {
    const usable = parts.table.usable(service.name);
    const other = usable.some(state => !tried.has(state.record.id));
    const leftMs = exchange.deadlineAtMs - performance.now();
    if (!other || leftMs < LEAST_TIME_MS)
      return deliver(exchange, answer, sends);
    lastFailure = failure('endpoint_failed', `answered ${answer.status}`);
    return undefined;
  }
}

function deliver(
  {res}: Exchange,
  answer: Extract<Outcome, {kind: 'answer'}>,
  sends: number,
): Ending {
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
