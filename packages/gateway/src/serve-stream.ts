import {failure, pause, type EndpointId, type Failure} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import {startAnswer} from './answers.js';
import {createAttempts} from './attempts.js';
import {
  choosePath,
  consideredPart,
  layersWithoutRoom,
  type PathRequest,
} from './choose-path.js';
import type {EndpointState} from './endpoint-table.js';
import type {Ending, Exchange, ExchangeParts} from './exchange.js';
import {createPathLoad} from './path-load.js';
import {transferMs} from './pipe-use.js';
import {runLeg, type LegOutcome, type StreamProgress} from './stream-leg.js';
import type {EngineProfile} from './types.js';

/** A request with less time left is not worth sending. */
const LEAST_TIME_MS = 50;
/** Sends of one request that endpoints refuse without running it. */
const MOST_REFUSALS = 6;
/** Refusals after which the next send goes out at once, over another path. */
const QUICK_REFUSALS = 2;
/** Pause after the first refusal beyond those; doubles with each further one. */
const REFUSED_PAUSE_MS = 60;
/** A caller leaves after two seconds of silence, so a pause is a part of that. */
const MOST_REFUSED_PAUSE_MS = 500;
/** An endpoint that refused for want of room is passed over so long. */
const FULL_MS = 250;
/** As long as a stream that has just come waits for room itself. */
const RETRY_AFTER_MS = 1_000;
/**
 * Longest wait for room on a path: callers leave after two seconds without an
 * event, and the first event takes some hundred milliseconds at such times.
 */
const MOST_WAIT_MS = 1_000;
/** Some stream ends every few dozen milliseconds on a busy path. */
const WAIT_STEP_MS = 50;

/**
 * Serves a stream over a path through all layers. A leg is one send over one
 * path; after a broken leg the stream continues on another path from the last
 * event that the caller has.
 */
export async function serveStream(
  exchange: Exchange,
  parts: ExchangeParts,
  profile: EngineProfile,
): Promise<Ending> {
  const {rule, service, facts, res, requestId} = exchange;
  const answerTokens = Math.min(
    facts.maxAnswerTokens || Infinity,
    facts.likelyAnswerTokens ?? profile.usualAnswerTokens,
  );
  const promptTokens = facts.promptTokens || profile.usualPromptTokens;
  const tokens = promptTokens + answerTokens;
  const load = createPathLoad(parts.table, tokens, (from, to) =>
    parts.pipes.note(from, to, transferMs(profile, tokens)),
  );
  const progress: StreamProgress = {
    lastEventId: facts.lastEventId,
    events: 0,
    firstEventMs: 0,
    lastEventMs: 0,
    longestGapMs: 0,
  };
  const exclude = new Set<EndpointId>();
  const {loadExchange} = parts;
  loadExchange.streamBegins();
  const attempts = createAttempts(RETRY_AFTER_MS);
  try {
    for (;;) {
      const leftMs = exchange.deadlineAtMs - performance.now();
      if (leftMs < LEAST_TIME_MS) {
        return failed(attempts.failure ?? timedOut());
      }
      const usable = parts.table.usable(service.name);
      const maySend =
        attempts.sends === 0 || parts.allowance.hasOne(service.name);
      const stages = maySend
        ? choosePath(usable, profile, pathRequest())
        : undefined;
      if (stages === undefined) {
        if (!mayWait(usable)) {
          return failed(attempts.failure ?? noPath(usable));
        }
        await pause(WAIT_STEP_MS);
        if (res.destroyed) return callerLeft();
        continue;
      }
      if (attempts.sends > 0) parts.allowance.take(service.name);
      attempts.sent();
      load.move(stages);
      parts.log.event('pathChosen', {
        requestId,
        stages: describe(stages),
        usable: usable.length,
        send: attempts.sends,
        lastEventId: progress.lastEventId,
      });
      const outcome = await runLeg(
        {
          exchange,
          parts,
          profile,
          stages,
          load,
          progress,
          pathRequest,
          mayContinue: () =>
            rule.resumable &&
            attempts.runs + 1 < rule.maxEndpoints &&
            parts.allowance.hasOne(service.name),
        },
        headers => startAnswer(res, 200, headers),
      );
      const next = afterLeg(outcome, stages);
      if (next !== undefined) return next;
      if (outcome.kind !== 'refused') continue;
      await pause(pauseAfterRefusals(attempts.refusals));
      if (res.destroyed) return callerLeft();
    }
  } finally {
    load.release();
  }

  function pathRequest(): PathRequest {
    return {
      promptTokens: promptTokens + progress.events,
      answerTokens,
      exclude,
      missingHosts: loadExchange.missing(),
      consideredPart: consideredPart(loadExchange.unseenStarts()),
      random: parts.random,
      pipes: parts.pipes,
      nowMs: performance.now(),
    };
  }

  /** How the request ends after a leg; undefined where another leg follows. */
  function afterLeg(
    outcome: LegOutcome,
    stages: readonly Stage[],
  ): Ending | undefined {
    if (outcome.kind === 'complete') {
      res.end();
      const {sends} = attempts;
      return {kind: 'served', status: 200, sends, stream: progress};
    }
    if (outcome.kind === 'caller_left') return callerLeft();
    if (outcome.kind === 'answered') {
      startAnswer(res, outcome.status, outcome.headers);
      res.setHeader('content-length', outcome.body.length);
      res.end(outcome.body);
      const {sends} = attempts;
      return {kind: 'served', status: outcome.status, sends};
    }
    if (outcome.kind === 'deadline') {
      return failed(
        failure('deadline_exceeded', 'the time of the route is up'),
      );
    }
    const blamed = outcome.blamed ?? parts.table.get(stages[0].endpoint);
    parts.log.event('requestResent', {
      requestId,
      endpoint: blamed?.record.id,
      outcome: outcome.kind,
      reason: outcome.reason,
      events: progress.events,
    });
    parts.metrics.resent.inc({reason: outcome.kind});
    if (blamed !== undefined) exclude.add(blamed.record.id);
    if (outcome.kind === 'refused') {
      if (blamed !== undefined) {
        blamed.fullUntilMs = performance.now() + FULL_MS;
        exclude.delete(blamed.record.id);
      }
      const err = attempts.refused(outcome.reason);
      const isLast = !mustContinue() && attempts.refusals >= MOST_REFUSALS;
      return isLast ? failed(err) : undefined;
    }
    const err = attempts.mayHaveRun(outcome.reason);
    const mayContinue = rule.resumable && attempts.runs < rule.maxEndpoints;
    return mayContinue ? undefined : failed(err);
  }

  /**
   * Whether the caller has part of an answer that may go on elsewhere. It leaves
   * by itself when the silence is too long for it, so that trying again for as
   * long as it waits costs it nothing, and ending the stream costs it all.
   */
  function mustContinue(): boolean {
    return progress.events > 0 && rule.resumable;
  }

  /** Whether room on a path may come in time. */
  function mayWait(usable: readonly EndpointState[]): boolean {
    if (mustContinue()) return true;
    const waitedMs = performance.now() - exchange.arrivedMs;
    return waitedMs < MOST_WAIT_MS && isOnlyFull(usable);
  }

  /** Whether there is a path apart from endpoints that were full just now. */
  function isOnlyFull(usable: readonly EndpointState[]): boolean {
    const request = {...pathRequest(), nowMs: Infinity};
    return choosePath(usable, profile, request) !== undefined;
  }

  function failed(err: Failure): Ending {
    const {sends} = attempts;
    if (!res.headersSent) return {kind: 'failed', err, sends};
    // Without its last chunk the answer cannot be taken for a whole one.
    res.destroy();
    return {kind: 'broken_off', err, sends};
  }

  function callerLeft(): Ending {
    return {kind: 'caller_left', sends: attempts.sends};
  }

  function timedOut(): Failure {
    return failure('overloaded', 'no time left to run the request');
  }

  function noPath(usable: readonly EndpointState[]): Failure {
    const layers = layersWithoutRoom(usable, profile, pathRequest());
    const message = `${usable.length} endpoints, no room for layers ${layers}`;
    return failure('no_route', message, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}

/** Pause before a refused stream is sent again, by the refusals so far. */
function pauseAfterRefusals(refusals: number): number {
  if (refusals <= QUICK_REFUSALS) return 0;
  const pauseMs = REFUSED_PAUSE_MS * 2 ** (refusals - QUICK_REFUSALS - 1);
  return Math.min(MOST_REFUSED_PAUSE_MS, pauseMs);
}

/** Stages as one short text for the log. */
function describe(stages: readonly Stage[]): string {
  return stages
    .map(({endpoint, from, to}) => `${endpoint}=${from}-${to}`)
    .join(',');
}
