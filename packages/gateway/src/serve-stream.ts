import {failure, pause, type EndpointId, type Failure} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import {shuttingDown, startResponse} from './responses.js';
import {createAttempts} from './attempts.js';
import type {PathChoice, PathWork} from './coordination/index.js';
import type {EndpointState} from './endpoint-table.js';
import type {ExchangeResult, Exchange, ExchangeContext} from './exchange.js';
import {createPathLoad} from './path-load.js';
import {transferMs} from './pipe-usage.js';
import {rejectQuarantined} from './quarantine/index.js';
import {
  BEGUN_EVENTS,
  runStreamAttempt,
  type StreamAttemptOutcome,
  type StreamProgress,
} from './stream-attempt.js';
import type {EngineProfile} from './types.js';

/** A request with less time before its deadline is not sent. */
const MIN_REMAINING_MS = 50;
/** Refused sends, none of which ran the request, after which it fails. */
const MAX_REFUSALS = 6;
/** Number of refusals that are retried immediately, over another path. */
const IMMEDIATE_RETRIES = 2;
/** Backoff after the first refusal beyond those; doubles with each further one. */
const REFUSAL_BACKOFF_MS = 60;
/** Well below the two seconds without an event after which a caller leaves. */
const MAX_REFUSAL_BACKOFF_MS = 500;
/** Time for which an endpoint that refused a stream as full is avoided. */
const FULL_BACKOFF_MS = 250;
/**
 * Time for which an endpoint that answered a stream with an error is avoided;
 * doubles with each further error, up to `MAX_BACKOFF_DOUBLINGS` times.
 */
const ERROR_BACKOFF_MS = 2_000;
const MAX_BACKOFF_DOUBLINGS = 3;
/** Equal to `MAX_CAPACITY_WAIT_MS`, the wait of a new stream for capacity. */
const RETRY_AFTER_MS = 1_000;
/**
 * Time in which the loss of engines is noticed and others are ordered to load their
 * layers; added to the load time when no engine holds some layers.
 */
const REPLACEMENT_ORDER_MS = 2_500;
/** Part of the layers that one engine loads at most. */
const LOADED_FRACTION = 0.25;
/**
 * Silence after which an engine is watched for a crash where the caller leaves. Engines that
 * are only busy send an event within that time, and need no check.
 */
const MIN_SUSPECT_SILENCE_MS = 1_000;
/** Spread of the returns of callers that are rejected at the same time. */
const RETRY_SPREAD = 0.3;
/**
 * Maximum wait for capacity on a path: callers leave after two seconds without an
 * event, and under such load the first event takes some hundred milliseconds.
 */
const MAX_CAPACITY_WAIT_MS = 1_000;
/** Each poll asks the coordinator, for all hosts of a failure domain. */
const CAPACITY_POLL_MS = 100;

type AnsweredOutcome = Extract<StreamAttemptOutcome, {kind: 'answered'}>;
type NoPath = Exclude<PathChoice, {kind: 'path'}>;

/**
 * Serves a stream over a path through all layers. A stream attempt is one send over
 * one path; after a broken attempt the stream resumes on another path after the
 * last event that the caller has received.
 */
export async function serveStream(
  exchange: Exchange,
  ctx: ExchangeContext,
  profile: EngineProfile,
): Promise<ExchangeResult> {
  const {rule, service, facts, res, requestId} = exchange;
  const outputTokens = Math.min(
    facts.maxOutputTokens || Infinity,
    facts.expectedOutputTokens ?? profile.typicalOutputTokens,
  );
  const promptTokens = facts.promptTokens || profile.typicalPromptTokens;
  const tokens = promptTokens + outputTokens;
  const {coordination} = ctx;
  const load = createPathLoad({
    table: ctx.table,
    tokens,
    held: coordination.held,
    onCrossing: (from, to) =>
      ctx.pipes.record(from, to, transferMs(profile, tokens)),
  });
  const progress: StreamProgress = {
    lastEventId: facts.lastEventId,
    events: 0,
    attemptEvents: 0,
    firstEventMs: 0,
    lastEventMs: 0,
    longestGapMs: 0,
  };
  const exclude = new Set<EndpointId>();
  let errorResponse: AnsweredOutcome | undefined;
  const attempts = createAttempts(RETRY_AFTER_MS);
  try {
    for (;;) {
      const leftMs = exchange.deadlineAtMs - performance.now();
      if (leftMs < MIN_REMAINING_MS) {
        return failed(attempts.failure ?? deadlineTooClose());
      }
      if (ctx.gaveUp.aborted) {
        return failed(attempts.failure ?? shuttingDown());
      }
      const context = {exchange, ctx, attempts};
      const expected = rejectQuarantined('considered', context);
      if (expected !== undefined) return failed(expected);
      const choice = await coordination.choosePath({
        service: service.name,
        profile,
        ...remainingWork(),
        isRetry: attempts.sends > 0,
      });
      if (choice.kind === 'no_retry')
        ctx.metrics.retries.inc({result: 'denied'});
      if (choice.kind !== 'path') {
        if (res.destroyed) return callerLeft();
        if (!mayWait(choice)) {
          return failed(attempts.failure ?? noPath(choice));
        }
        await pause(CAPACITY_POLL_MS);
        if (res.destroyed) return callerLeft();
        continue;
      }
      const {stages} = choice;
      if (res.destroyed) {
        coordination.held.release(choice.id);
        return callerLeft();
      }
      const rejected = rejectQuarantined('sent', context);
      if (rejected !== undefined) {
        coordination.held.release(choice.id);
        return failed(rejected);
      }
      if (attempts.sends > 0) ctx.metrics.retries.inc({result: 'allowed'});
      attempts.sent();
      load.start(choice.id, stages);
      ctx.log.event('pathChosen', {
        requestId,
        stages: formatStages(stages),
        send: attempts.sends,
        lastEventId: progress.lastEventId,
      });
      const first = ctx.table.get(stages[0].endpoint);
      const sentAtMs = performance.now();
      const outcome = await runStreamAttempt(
        {
          exchange,
          ctx,
          profile,
          stages,
          load,
          progress,
          remainingWork,
          mayContinue: () =>
            rule.resumable &&
            attempts.runs + 1 < rule.maxEndpoints &&
            coordination.mayRetry(service.name),
        },
        headers => startResponse(res, 200, headers),
      );
      await recordCrash(outcome, {first, sentAtMs});
      const next = handleOutcome(outcome, stages);
      if (next !== undefined) return next;
      if (outcome.kind !== 'refused') continue;
      await pause(refusalBackoffMs(attempts.refusals));
      if (res.destroyed) return callerLeft();
    }
  } finally {
    load.release();
    ctx.quarantine.finished(exchange);
  }

  function remainingWork(): PathWork {
    return {
      promptTokens: promptTokens + progress.events,
      outputTokens,
      exclude,
    };
  }

  /** Records what may have crashed an endpoint, before the request is sent again. */
  async function recordCrash(
    outcome: StreamAttemptOutcome,
    {first, sentAtMs}: {first: EndpointState | undefined; sentAtMs: number},
  ): Promise<void> {
    if (first === undefined || outcome.kind === 'refused') return;
    // Events of several attempts prove nothing: each endpoint may have sent one before
    // it crashed.
    if (progress.attemptEvents >= BEGUN_EVENTS) return;
    const disconnected =
      outcome.kind === 'broken' ? outcome.disconnected : undefined;
    if (disconnected !== undefined) {
      const hasHead = disconnected === 'after_head';
      return ctx.quarantine.disconnected(exchange, first, hasHead);
    }
    const isOther = outcome.kind === 'broken' && outcome.suspect !== first;
    const isEnd = outcome.kind === 'complete' || outcome.kind === 'answered';
    if (isEnd || (isOther && outcome.suspect !== undefined)) return;
    // A caller leaves a silent stream by itself, and the engine may end after that.
    const silentMs =
      performance.now() - Math.max(sentAtMs, progress.lastEventMs);
    if (outcome.kind === 'broken' || silentMs > MIN_SUSPECT_SILENCE_MS)
      ctx.quarantine.gaveUp(exchange, first, res.headersSent);
  }

  /** Returns the result of the request, or undefined if another attempt follows. */
  function handleOutcome(
    outcome: StreamAttemptOutcome,
    stages: readonly Stage[],
  ): ExchangeResult | undefined {
    if (outcome.kind === 'complete') {
      ctx.quarantine.succeeded(exchange);
      const first = ctx.table.get(stages[0].endpoint);
      if (first !== undefined) first.consecutiveFailures = 0;
      res.end();
      const {sends} = attempts;
      return {kind: 'served', status: 200, sends, stream: progress};
    }
    if (outcome.kind === 'caller_left') return callerLeft();
    if (outcome.kind === 'gave_up') {
      if (!outcome.sent) return failed(attempts.failure ?? shuttingDown());
      return failed(attempts.mayHaveRun('this host has stopped'));
    }
    if (outcome.kind === 'answered') {
      const mayRepeat = rule.resumable && attempts.runs + 1 < rule.maxEndpoints;
      if (outcome.status < 500 || !mayRepeat) return deliver(outcome);
      errorResponse ??= outcome;
      avoidFailing(stages[0].endpoint);
      attempts.mayHaveRun(`answered ${outcome.status}`);
      return undefined;
    }
    if (outcome.kind === 'deadline') {
      return failed(
        failure(
          'deadline_exceeded',
          'the stream did not complete before the deadline',
        ),
      );
    }
    const suspect = outcome.suspect ?? ctx.table.get(stages[0].endpoint);
    ctx.log.event('requestResent', {
      requestId,
      endpoint: suspect?.record.id,
      outcome: outcome.kind,
      reason: outcome.reason,
      events: progress.events,
    });
    ctx.metrics.resent.inc({reason: outcome.kind});
    if (suspect !== undefined) exclude.add(suspect.record.id);
    if (outcome.kind === 'refused') {
      if (suspect !== undefined) {
        suspect.fullUntilMs = performance.now() + FULL_BACKOFF_MS;
        exclude.delete(suspect.record.id);
      }
      const err = attempts.refused(outcome.reason);
      const isLast = !shouldKeepRetrying() && attempts.refusals >= MAX_REFUSALS;
      return isLast ? failed(err) : undefined;
    }
    const err = attempts.mayHaveRun(outcome.reason);
    const mayContinue = rule.resumable && attempts.runs < rule.maxEndpoints;
    return mayContinue ? undefined : failed(err);
  }

  /** Keeps an endpoint that answers with errors off the next paths. */
  function avoidFailing(endpoint: EndpointId): void {
    exclude.add(endpoint);
    const state = ctx.table.get(endpoint);
    if (state === undefined) return;
    const failures = Math.min(state.consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
    state.fullUntilMs = performance.now() + ERROR_BACKOFF_MS * 2 ** failures;
    state.consecutiveFailures += 1;
  }

  function deliver(response: AnsweredOutcome): ExchangeResult {
    const {status, headers, body} = response;
    startResponse(res, status, headers);
    res.setHeader('content-length', body.length);
    res.end(body);
    return {kind: 'served', status, sends: attempts.sends};
  }

  /**
   * Whether the caller has received part of a response that may be resumed. Such a
   * stream is retried for as long as the caller waits: the caller disconnects by
   * itself when the gap is too long, while ending the stream loses all of it.
   */
  function shouldKeepRetrying(): boolean {
    return progress.events > 0 && rule.resumable;
  }

  /** Whether a path may gain capacity, or a retry become available, in time. */
  function mayWait(choice: NoPath): boolean {
    if (shouldKeepRetrying()) return true;
    if (errorResponse !== undefined) return false;
    const waitedMs = performance.now() - exchange.arrivedMs;
    if (waitedMs >= MAX_CAPACITY_WAIT_MS) return false;
    return choice.kind === 'no_retry' || choice.mayFree;
  }

  function failed(err: Failure): ExchangeResult {
    const {sends} = attempts;
    // The endpoint's own error is more specific than a failure of a retry.
    if (errorResponse !== undefined && !res.headersSent)
      return deliver(errorResponse);
    if (!res.headersSent) return {kind: 'failed', err, sends};
    // Without the final chunk, the caller cannot mistake the response for complete.
    res.destroy();
    return {kind: 'broken_off', err, sends};
  }

  /**
   * Time after which a rejected caller may expect a path: a wait for capacity, or
   * the time in which lost layers are loaded again. Without it, callers of a fleet
   * that has lost some layers return at once and are rejected again.
   */
  function retryAfterMs(choice: NoPath): number {
    const waitMs =
      choice.kind === 'no_capacity' && !choice.mayFree
        ? REPLACEMENT_ORDER_MS + 1_000 * LOADED_FRACTION * profile.loadS
        : RETRY_AFTER_MS;
    return Math.round(waitMs * (1 + RETRY_SPREAD * ctx.random.next()));
  }

  function callerLeft(): ExchangeResult {
    return {kind: 'caller_left', sends: attempts.sends};
  }

  function deadlineTooClose(): Failure {
    return failure(
      'overloaded',
      'too little time before the deadline to run the request',
    );
  }

  function noPath(choice: NoPath): Failure {
    const message =
      choice.kind === 'no_retry'
        ? 'no retry is available'
        : `no capacity for layers ${choice.layers}`;
    return failure('no_route', message, {retryAfterMs: retryAfterMs(choice)});
  }
}

/** Backoff before a refused stream is sent again, by the number of refusals. */
function refusalBackoffMs(refusals: number): number {
  if (refusals <= IMMEDIATE_RETRIES) return 0;
  const backoffMs =
    REFUSAL_BACKOFF_MS * 2 ** (refusals - IMMEDIATE_RETRIES - 1);
  return Math.min(MAX_REFUSAL_BACKOFF_MS, backoffMs);
}

/** Formats the stages of a path for the log. */
function formatStages(stages: readonly Stage[]): string {
  return stages
    .map(({endpoint, from, to}) => `${endpoint}=${from}-${to}`)
    .join(',');
}
