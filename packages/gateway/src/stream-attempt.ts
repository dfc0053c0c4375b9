import type {EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import {UnreachableError} from '@chivewick/tunnels';
import {createByteBuffer} from './byte-buffer.js';
import type {PathWork} from './coordination/index.js';
import {observeNotices} from './endpoint-notices.js';
import type {EndpointState} from './endpoint-table.js';
import {
  createEventSplitter,
  isComment,
  type StreamEvent,
} from './event-splitter.js';
import type {Exchange, ExchangeContext} from './exchange.js';
import type {PathLoad} from './path-load.js';
import type {PathFindings} from './path-probe.js';
import {createPathRepair} from './path-repair.js';
import {silenceAfterRepairMs, silenceBeforeProbeMs} from './stall.js';
import type {EngineProfile, Headers} from './types.js';
import type {UpstreamCall} from './upstream.js';

/**
 * Silence (time without an event) after which an attempt is abandoned even if no
 * stage is known dead.
 */
const MAX_SILENCE_MS = 1_400;
/** Silence before the first event after which an attempt is abandoned. */
const MAX_FIRST_SILENCE_MS = 6_000;
/** Silence after which the path is probed as soon as one of its stages is suspected. */
const SUSPECT_SILENCE_MS = 40;
/**
 * Events of one attempt after which a response has really begun: a request that crashes
 * endpoints does so when they begin to write, and an event may still arrive before that
 * is seen.
 */
export const BEGUN_EVENTS = 3;
/** Prevents a check that is due from running in every turn of the event loop. */
const MIN_TIMER_MS = 10;
/**
 * Limit on a buffered error response, on one event and on comments without an event;
 * those of engines are short, but an engine in trouble may send bytes until the
 * connection is closed.
 */
const MAX_BUFFERED_BYTES = 262_144;
/**
 * Parts in which one event may arrive. Each takes some microseconds, so that an event of
 * `MAX_BUFFERED_BYTES` in parts of one byte would hold up all other requests.
 */
const MAX_EVENT_PARTS = 1_000;

/** What the caller of a stream has received; shared by its attempts. */
export interface StreamProgress {
  lastEventId?: number;
  events: number;
  /** Most events that one attempt has forwarded. */
  attemptEvents: number;
  firstEventMs: number;
  lastEventMs: number;
  longestGapMs: number;
}

/** Options of `runStreamAttempt`. */
export interface StreamAttemptOptions {
  readonly exchange: Exchange;
  readonly ctx: ExchangeContext;
  readonly profile: EngineProfile;
  readonly stages: readonly Stage[];
  readonly load: PathLoad;
  readonly progress: StreamProgress;
  readonly remainingWork: () => PathWork;
  /** Whether another attempt may follow; a silent last attempt is not abandoned. */
  readonly mayContinue: () => boolean;
}

/** How a stream attempt ended. */
export type StreamAttemptOutcome =
  | {kind: 'complete'}
  | {kind: 'caller_left'}
  | {kind: 'deadline'}
  /** This host stops. */
  | {kind: 'gave_up'; sent: boolean}
  /** A signed response with a status other than 200. */
  | {kind: 'answered'; status: number; headers: Headers; body: Buffer}
  /** The request has not run. */
  | {kind: 'refused'; reason: string; suspect?: EndpointState}
  /** The request may have run; `progress` contains what the caller has received. */
  | {
      kind: 'broken';
      reason: string;
      suspect?: EndpointState;
      /** Set if the endpoint ended the connection. */
      disconnected?: 'before_head' | 'after_head';
    };

/**
 * Sends a stream over one path and forwards its events until it ends. When no event
 * arrives, the stages are probed: a dead or stalled stage other than the first is
 * replaced within the attempt; if that is not possible, the attempt ends.
 */
export function runStreamAttempt(
  options: StreamAttemptOptions,
  start: (headers: Headers) => void,
): Promise<StreamAttemptOutcome> {
  const {exchange, ctx, profile, load, progress} = options;
  const {req, res, rule, facts, workspace, body, requestId} = exchange;
  const first = ctx.table.get(options.stages[0].endpoint);
  const attemptStartMs = performance.now();
  return new Promise(resolve => {
    let stages = options.stages;
    let status = 0;
    let headers: Headers = {};
    let sent = false;
    let ended = false;
    let checking = false;
    let paused = false;
    /** Whether this host has lost the first stage since the connection was opened. */
    let isCutOff = false;
    let attemptEvents = 0;
    let lastActivityMs = performance.now();
    let lastCheckMs = 0;
    /** `lastActivityMs` when the path was last checked. */
    let checkedActivityMs = lastActivityMs;
    /** Time until which the replacement of a repair may read the prompt. */
    let readUntilMs = 0;
    const errorBody = createByteBuffer();
    /** Bytes of comments since the last event. */
    let commentBytes = 0;
    /** Parts of the body that have arrived since the last event. */
    let parts = 0;
    const splitter = createEventSplitter();
    let silenceTimer: NodeJS.Timeout | undefined;
    const repairStages = createPathRepair({
      exchange,
      ctx,
      profile,
      load,
      remainingWork: options.remainingWork,
      isEnded: () => ended,
      hasRecovered: () => paused || lastActivityMs !== checkedActivityMs,
      describe: () => ({
        events: progress.events,
        silentMs: Math.round(performance.now() - lastActivityMs),
        legMs: Math.round(performance.now() - attemptStartMs),
      }),
    });

    const finish = (outcome: StreamAttemptOutcome) => {
      if (ended) return;
      ended = true;
      clearTimeout(deadlineTimer);
      clearTimeout(silenceTimer);
      res.off('close', onCallerLeft);
      res.off('drain', onDrain);
      ctx.gaveUp.removeEventListener('abort', onGaveUp);
      unsubscribe();
      unsubscribeLost();
      resolve(outcome);
    };
    const abortWith = (outcome: StreamAttemptOutcome) => {
      if (ended) return;
      call.abort();
      finish(outcome);
    };
    const onCallerLeft = () => abortWith({kind: 'caller_left'});
    const onGaveUp = () => abortWith({kind: 'gave_up', sent});
    const onDrain = () => {
      if (!paused) return;
      paused = false;
      lastActivityMs = performance.now();
      call.resume();
    };
    const deadlineTimer = setTimeout(
      () => abortWith({kind: 'deadline'}),
      exchange.deadlineAtMs - performance.now(),
    );
    res.on('close', onCallerLeft);
    res.on('drain', onDrain);
    ctx.gaveUp.addEventListener('abort', onGaveUp);
    const unsubscribe = ctx.table.onSuspected(state => {
      const silentMs = performance.now() - lastActivityMs;
      if (load.holds(state) && silentMs > SUSPECT_SILENCE_MS) void checkPath();
    });

    // The connection may live on, so only a silent stream takes another way.
    const unsubscribeLost = ctx.dialer.onLost(lost => {
      if (!sent || lost !== options.stages[0].address) return;
      isCutOff = true;
      if (performance.now() - lastActivityMs > SUSPECT_SILENCE_MS)
        void checkPath();
    });

    const leftMs = exchange.deadlineAtMs - performance.now();
    const call: UpstreamCall = ctx.upstream.send(
      {
        address: stages[0].address,
        method: req.method ?? 'POST',
        path: req.url ?? '/',
        headers: ctx.dialect.forwardHeaders(req.rawHeaders, {
          endpoint: stages[0].endpoint,
          workspace: workspace?.id,
          deadlineMs: Math.max(1, Math.floor(leftMs)),
          lastEventId: progress.lastEventId ?? facts.lastEventId,
          priority: workspace?.priority ?? rule.priority,
          stages,
        }),
        body,
      },
      {
        sent: () => (sent = true),
        answered,
        data,
        ended: onResponseComplete,
        failed: err => {
          const isDown = !(err instanceof UnreachableError);
          if (!sent && isDown && first !== undefined) {
            ctx.table.suspect(first, err.message);
          }
          finish(
            sent
              ? {
                  kind: 'broken',
                  reason: err.message,
                  suspect: first,
                  disconnected: status === 0 ? 'before_head' : 'after_head',
                }
              : {kind: 'refused', reason: err.message, suspect: first},
          );
        },
      },
    );
    scheduleSilenceCheck();

    function answered(responseStatus: number, responseHeaders: Headers): void {
      status = responseStatus;
      headers = responseHeaders;
      const responseFacts = ctx.dialect.readResponse(status, headers);
      if (first !== undefined) observeNotices(ctx, first, responseFacts);
      if (
        responseFacts.requestId !== undefined &&
        responseFacts.requestId !== requestId
      ) {
        return abortWith({
          kind: 'broken',
          reason: 'response to another request',
        });
      }
      if (responseFacts.notRun) {
        const {suspectAddress} = responseFacts;
        const suspect =
          suspectAddress === undefined
            ? first
            : (ctx.table.byAddress(suspectAddress) ?? first);
        return abortWith({
          kind: 'refused',
          reason: `answered ${status}`,
          suspect,
        });
      }
      if (!responseFacts.signed || responseFacts.encoded) {
        const reason = `unsigned response with status ${status}`;
        return abortWith({kind: 'broken', reason, suspect: first});
      }
      lastActivityMs = performance.now();
      if (status === 200 && !res.headersSent) start(headers);
    }

    function data(chunk: Buffer): void {
      parts += 1;
      if (parts > MAX_EVENT_PARTS) return abandonOversized();
      if (status !== 200) {
        errorBody.append(chunk);
        if (errorBody.length > MAX_BUFFERED_BYTES) abandonOversized();
        return;
      }
      for (const event of splitter.push(chunk)) {
        if (ended) return;
        if (isComment(event.bytes)) {
          commentBytes += event.bytes.length;
          if (commentBytes > MAX_BUFFERED_BYTES) return abandonOversized();
          write(event.bytes);
          continue;
        }
        if (!isNext(event)) continue;
        commentBytes = 0;
        parts = 0;
        forwardEvent(event.bytes, event.id);
      }
      if (splitter.restBytes() > MAX_BUFFERED_BYTES) abandonOversized();
    }

    function abandonOversized(): void {
      const reason = `over ${MAX_BUFFERED_BYTES} bytes or ${MAX_EVENT_PARTS} parts without an end`;
      abortWith({kind: 'broken', reason, suspect: first});
    }

    /**
     * Whether an event is the next one for the caller. A gap ends the attempt, and so do
     * bytes that are no event, such as the error page of an endpoint that has failed.
     */
    function isNext({id}: StreamEvent): boolean {
      const lastId = progress.lastEventId;
      if (id === undefined) {
        const isExpected = lastId === undefined && !rule.resumable;
        return isExpected || endSequence('an event without an id');
      }
      if (lastId === undefined || id === lastId + 1) return true;
      return id > lastId && endSequence(`a gap before event ${id}`);
    }

    function endSequence(fault: string): false {
      const reason = `${fault} in the stream`;
      abortWith({kind: 'broken', reason, suspect: first});
      return false;
    }

    function forwardEvent(bytes: Buffer, id: number | undefined): void {
      const nowMs = performance.now();
      if (id !== undefined) progress.lastEventId = id;
      if (progress.events === 0) {
        progress.firstEventMs = nowMs;
        const seconds = (nowMs - exchange.arrivedMs) / 1_000;
        ctx.metrics.firstByte.observe({kind: rule.kind}, seconds);
      }
      if (progress.events > 0) {
        const gapMs = nowMs - progress.lastEventMs;
        progress.longestGapMs = Math.max(progress.longestGapMs, gapMs);
      }
      progress.events += 1;
      attemptEvents += 1;
      progress.attemptEvents = Math.max(progress.attemptEvents, attemptEvents);
      if (attemptEvents === BEGUN_EVENTS) ctx.quarantine.succeeded(exchange);
      progress.lastEventMs = nowMs;
      lastActivityMs = nowMs;
      write(bytes);
    }

    function write(bytes: Buffer): void {
      if (res.write(bytes)) return;
      paused = true;
      call.pause();
    }

    function onResponseComplete(): void {
      if (status !== 200) {
        if (res.headersSent) {
          const reason = `answered ${status} to a resumed stream`;
          return finish({kind: 'broken', reason, suspect: first});
        }
        const body = errorBody.take();
        return finish({kind: 'answered', status, headers, body});
      }
      if (splitter.restBytes() > 0) {
        return finish({
          kind: 'broken',
          reason: 'stream ended in the middle of an event',
        });
      }
      finish({kind: 'complete'});
    }

    function scheduleSilenceCheck(): void {
      const gaps = progress.events - 1;
      const meanGapMs =
        gaps < 1 ? 0 : (progress.lastEventMs - progress.firstEventMs) / gaps;
      const limitMs = silenceBeforeProbeMs(
        attemptEvents,
        meanGapMs,
        rule.gapGoalMs,
      );
      const silentMs =
        performance.now() - Math.max(lastActivityMs, lastCheckMs);
      silenceTimer = setTimeout(
        () => {
          const silentSinceMs = Math.max(lastActivityMs, lastCheckMs);
          if (paused || performance.now() - silentSinceMs < limitMs) {
            return scheduleSilenceCheck();
          }
          void checkPath().then(() => {
            if (!ended) scheduleSilenceCheck();
          });
        },
        Math.max(MIN_TIMER_MS, paused ? limitMs : limitMs - silentMs),
      );
    }

    /** Probes why no event arrives, and repairs the path or ends the attempt. */
    async function checkPath(): Promise<void> {
      if (checking || ended || paused) return;
      if (leavesLostPath()) return;
      checking = true;
      checkedActivityMs = lastActivityMs;
      const findings = await ctx.probe.check(stages, requestId);
      if (!ended && lastActivityMs === checkedActivityMs && !leavesLostPath())
        await handleFindings(findings);
      lastCheckMs = performance.now();
      checking = false;
    }

    /** Ends a silent attempt whose first stage is only reached another way. */
    function leavesLostPath(): boolean {
      if (!isCutOff || !options.mayContinue()) return false;
      abortWith({kind: 'broken', reason: 'this host was cut off'});
      return true;
    }

    async function handleFindings(findings: PathFindings): Promise<void> {
      const failedStages = new Set(findings.unresponsive ? [] : findings.dead);
      const waitsFor = stages.find(
        ({address}) => address === findings.waitsFor,
      );
      if (waitsFor !== undefined) failedStages.add(waitsFor);
      for (const stage of failedStages) {
        const state = ctx.table.get(stage.endpoint);
        if (state === undefined) continue;
        ctx.table.suspect(state, 'stream stalled and stage did not respond');
      }
      for (const stage of stages)
        if (!isUnsuspected(stage.endpoint)) failedStages.add(stage);
      if (failedStages.size > 0) return repair([...failedStages]);
      const maxSilenceMs =
        attemptEvents === 0 ? MAX_FIRST_SILENCE_MS : MAX_SILENCE_MS;
      const nowMs = performance.now();
      if (nowMs - lastActivityMs > maxSilenceMs && nowMs > readUntilMs) {
        abandon('no event for an unknown reason');
      }
    }

    function isUnsuspected(endpoint: EndpointId): boolean {
      const state = ctx.table.get(endpoint);
      return state !== undefined && state.suspectedUntilMs <= performance.now();
    }

    /** Moves the stream to a path without the failed stages, or ends the attempt. */
    async function repair(failedStages: readonly Stage[]): Promise<void> {
      const outcome = await repairStages(stages, failedStages);
      if (ended || outcome.kind === 'ended' || outcome.kind === 'recovered')
        return;
      if (outcome.kind === 'failed')
        return abandon(outcome.reason, outcome.suspect);
      stages = outcome.stages;
      lastActivityMs = performance.now();
      readUntilMs = lastActivityMs + silenceAfterRepairMs(outcome.readMs);
    }

    /**
     * Ends a silent attempt if another one may follow. While the first stage is
     * alive, the next check may find capacity for a repair, which costs less than
     * another attempt.
     */
    function abandon(reason: string, suspect?: EndpointState): void {
      const silentMs = performance.now() - lastActivityMs;
      if (suspect !== first && silentMs < MAX_SILENCE_MS) return;
      if (options.mayContinue()) abortWith({kind: 'broken', reason, suspect});
    }
  });
}
