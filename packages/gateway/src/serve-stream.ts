import {failure, pause, type EndpointId, type Failure} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import {startAnswer} from './answers.js';
import {
  choosePath,
  layersWithoutRoom,
  type PathRequest,
} from './choose-path.js';
import type {EndpointState} from './endpoint-table.js';
import type {Ending, Exchange, ExchangeParts} from './exchange.js';
import {createPathLoad} from './path-load.js';
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
/** An endpoint that refused for want of room is passed over so long. */
const FULL_MS = 250;
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
  const load = createPathLoad(parts.table, promptTokens + answerTokens);
  const progress: StreamProgress = {
    lastEventId: facts.lastEventId,
    events: 0,
    firstEventMs: 0,
    lastEventMs: 0,
    longestGapMs: 0,
  };
  const exclude = new Set<EndpointId>();
  let runs = 0;
  let sends = 0;
  let lastFailure: Failure | undefined;
  try {
    for (;;) {
      const leftMs = exchange.deadlineAtMs - performance.now();
      if (leftMs < LEAST_TIME_MS) return ended(lastFailure ?? timedOut());
      const usable = parts.table.usable(service.name);
      const stages = choosePath(usable, profile, pathRequest());
      if (stages === undefined) {
        const waitedMs = performance.now() - exchange.arrivedMs;
        const mayWait = waitedMs < MOST_WAIT_MS && isOnlyFull(usable);
        if (!mayWait) return ended(lastFailure ?? noPath(usable));
        await pause(WAIT_STEP_MS);
        if (res.destroyed) return {kind: 'caller_left', sends};
        continue;
      }
      if (sends > 0 && !parts.allowance.take(service.name)) {
        return ended(lastFailure ?? noPath(usable));
      }
      sends += 1;
      load.move(stages);
      parts.log.event('pathChosen', {
        requestId,
        stages: describe(stages),
        usable: usable.length,
        send: sends,
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
            runs + 1 < rule.maxEndpoints &&
            parts.allowance.hasOne(service.name),
        },
        headers => startAnswer(res, 200, headers),
      );
      const next = afterLeg(outcome, stages);
      if (next !== undefined) return next;
      const refusals = sends - runs;
      if (outcome.kind === 'refused' && refusals > QUICK_REFUSALS) {
        await pause(REFUSED_PAUSE_MS * 2 ** (refusals - QUICK_REFUSALS - 1));
        if (res.destroyed) return {kind: 'caller_left', sends};
      }
    }
  } finally {
    load.release();
  }

  function pathRequest(): PathRequest {
    return {
      promptTokens: promptTokens + progress.events,
      answerTokens,
      exclude,
      missingHosts: parts.missingHosts(),
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
      return {kind: 'served', status: 200, sends, stream: progress};
    }
    if (outcome.kind === 'caller_left') return {kind: 'caller_left', sends};
    if (outcome.kind === 'answered') {
      startAnswer(res, outcome.status, outcome.headers);
      res.setHeader('content-length', outcome.body.length);
      res.end(outcome.body);
      return {kind: 'served', status: outcome.status, sends};
    }
    if (outcome.kind === 'deadline') {
      return ended(failure('deadline_exceeded', 'the time of the route is up'));
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
      if (runs === 0) {
        lastFailure = failure('overloaded', outcome.reason, {
          retryAfterMs: RETRY_AFTER_MS,
        });
      }
      return sends - runs >= MOST_REFUSALS ? ended(lastFailure!) : undefined;
    }
    runs += 1;
    lastFailure = failure('outcome_unknown', outcome.reason);
    const mayContinue = rule.resumable && runs < rule.maxEndpoints;
    return mayContinue ? undefined : ended(lastFailure);
  }

  /** Whether there is a path apart from endpoints that were full just now. */
  function isOnlyFull(usable: readonly EndpointState[]): boolean {
    const request = {...pathRequest(), nowMs: Infinity};
    return choosePath(usable, profile, request) !== undefined;
  }

  function ended(err: Failure): Ending {
    if (!res.headersSent) return {kind: 'failed', err, sends};
    // Without its last chunk the answer cannot be taken for a whole one.
    res.destroy();
    return {kind: 'broken_off', err, sends};
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

/** Stages as one short text for the log. */
export function describe(stages: readonly Stage[]): string {
  return stages
    .map(({endpoint, from, to}) => `${endpoint}=${from}-${to}`)
    .join(',');
}
