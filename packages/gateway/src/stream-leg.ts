import type {EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import type {PathRequest} from './choose-path.js';
import type {EndpointState} from './endpoint-table.js';
import {createEventSplitter} from './event-splitter.js';
import type {Exchange, ExchangeParts} from './exchange.js';
import type {PathLoad} from './path-load.js';
import type {PathFindings} from './path-probe.js';
import {repairPath} from './repair-path.js';
import {silenceBeforeLook} from './stall.js';
import type {EngineProfile, Headers} from './types.js';
import type {UpstreamCall} from './upstream.js';

/** Silence after which a leg is given up though no stage is known to be down. */
const MOST_SILENCE_MS = 1_400;
/** Silence before the first event after which a leg is given up. */
const MOST_FIRST_SILENCE_MS = 6_000;
/** Silence after which a leg over a suspected stage is examined at once. */
const SUSPECT_SILENCE_MS = 40;
/** Paths that one leg may be moved to. */
const MOST_REPAIRS = 4;
/** An engine that refused a stream for want of room is passed over so long. */
const FULL_MS = 250;
/** Keeps a look that is due from running in every turn of the event loop. */
const LEAST_TIMER_MS = 10;
/** A failed answer of an engine is short. */
const MOST_FAILURE_BYTES = 65_536;

/** What the caller of a stream has; shared by its legs. */
export interface StreamProgress {
  lastEventId?: number;
  events: number;
  firstEventMs: number;
  lastEventMs: number;
  longestGapMs: number;
}

export interface LegOptions {
  readonly exchange: Exchange;
  readonly parts: ExchangeParts;
  readonly profile: EngineProfile;
  readonly stages: readonly Stage[];
  readonly load: PathLoad;
  readonly progress: StreamProgress;
  readonly pathRequest: () => PathRequest;
  /** Whether another leg may follow; a silent last leg is not ended sooner. */
  readonly mayContinue: () => boolean;
}

export type LegOutcome =
  | {kind: 'complete'}
  | {kind: 'caller_left'}
  | {kind: 'deadline'}
  /** A signed answer other than 200. */
  | {kind: 'answered'; status: number; headers: Headers; body: Buffer}
  /** The request has not run. */
  | {kind: 'refused'; reason: string; blamed?: EndpointState}
  /** It may have run, and produced what `progress` says. */
  | {kind: 'broken'; reason: string; blamed?: EndpointState};

/**
 * Sends a stream over one path and passes its events on until it ends. Silence
 * leads to a look at the engine that owns the stream: a stage that it waits for
 * is replaced within the leg, anything else ends the leg.
 */
export function runLeg(
  options: LegOptions,
  start: (headers: Headers) => void,
): Promise<LegOutcome> {
  const {exchange, parts, profile, load, progress} = options;
  const {req, res, rule, facts, workspace, body, requestId} = exchange;
  const first = parts.table.get(options.stages[0].endpoint);
  const legStartMs = performance.now();
  return new Promise(resolve => {
    let stages = options.stages;
    let status = 0;
    let headers: Headers = {};
    let sent = false;
    let ended = false;
    let looking = false;
    let paused = false;
    let repairs = 0;
    let legEvents = 0;
    let lastSignMs = performance.now();
    let lastLookMs = 0;
    const failureChunks: Buffer[] = [];
    let failureBytes = 0;
    const splitter = createEventSplitter();
    const replaced = new Set<EndpointId>();
    let silenceTimer: NodeJS.Timeout | undefined;

    const finish = (outcome: LegOutcome) => {
      if (ended) return;
      ended = true;
      clearTimeout(deadlineTimer);
      clearTimeout(silenceTimer);
      res.off('close', left);
      res.off('drain', drained);
      unsubscribe();
      resolve(outcome);
    };
    const give = (outcome: LegOutcome) => {
      if (ended) return;
      call.abort();
      finish(outcome);
    };
    const left = () => give({kind: 'caller_left'});
    const drained = () => {
      if (!paused) return;
      paused = false;
      lastSignMs = performance.now();
      call.resume();
    };
    const deadlineTimer = setTimeout(
      () => give({kind: 'deadline'}),
      exchange.deadlineAtMs - performance.now(),
    );
    res.on('close', left);
    res.on('drain', drained);
    const unsubscribe = parts.table.onSuspected(state => {
      const silentMs = performance.now() - lastSignMs;
      if (load.holds(state) && silentMs > SUSPECT_SILENCE_MS) void look();
    });

    const leftMs = exchange.deadlineAtMs - performance.now();
    const call: UpstreamCall = parts.upstream.send(
      {
        address: stages[0].address,
        method: req.method ?? 'POST',
        path: req.url ?? '/',
        headers: parts.dialect.forwardHeaders(req.rawHeaders, {
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
        ended: wholeAnswer,
        failed: err => {
          if (!sent && first !== undefined) {
            parts.table.suspect(first, err.message);
          }
          finish(
            sent
              ? {kind: 'broken', reason: err.message, blamed: first}
              : {kind: 'refused', reason: err.message, blamed: first},
          );
        },
      },
    );
    watchSilence();

    function answered(answeredStatus: number, answeredHeaders: Headers): void {
      status = answeredStatus;
      headers = answeredHeaders;
      const answer = parts.dialect.readAnswer(status, headers);
      if (answer.requestId !== undefined && answer.requestId !== requestId) {
        return give({kind: 'broken', reason: 'answer to another request'});
      }
      if (answer.notRun) {
        const {blamedAddress} = answer;
        const blamed =
          blamedAddress === undefined
            ? first
            : (parts.table.byAddress(blamedAddress) ?? first);
        return give({kind: 'refused', reason: `answered ${status}`, blamed});
      }
      if (!answer.signed || answer.encoded) {
        const reason = `unsigned answer ${status}`;
        return give({kind: 'broken', reason, blamed: first});
      }
      lastSignMs = performance.now();
      if (status === 200 && !res.headersSent) start(headers);
    }

    function data(chunk: Buffer): void {
      if (status !== 200) {
        failureBytes += chunk.length;
        if (failureBytes <= MOST_FAILURE_BYTES) failureChunks.push(chunk);
        return;
      }
      for (const event of splitter.push(chunk)) {
        if (!isNext(event.id)) continue;
        if (ended) return;
        passOn(event.bytes, event.id);
      }
    }

    /** Whether an event follows what the caller has; ends the leg on a gap. */
    function isNext(id: number | undefined): boolean {
      if (id === undefined || progress.lastEventId === undefined) return true;
      if (id <= progress.lastEventId) return false;
      if (id === progress.lastEventId + 1) return true;
      give({kind: 'broken', reason: `event ${id} leaves a gap`, blamed: first});
      return false;
    }

    function passOn(bytes: Buffer, id: number | undefined): void {
      const nowMs = performance.now();
      if (id !== undefined) progress.lastEventId = id;
      if (progress.events === 0) {
        progress.firstEventMs = nowMs;
        const seconds = (nowMs - exchange.arrivedMs) / 1_000;
        parts.metrics.firstByte.observe({kind: rule.kind}, seconds);
      }
      if (progress.events > 0) {
        const gapMs = nowMs - progress.lastEventMs;
        progress.longestGapMs = Math.max(progress.longestGapMs, gapMs);
      }
      progress.events += 1;
      progress.lastEventMs = nowMs;
      legEvents += 1;
      lastSignMs = nowMs;
      if (!res.write(bytes)) {
        paused = true;
        call.pause();
      }
    }

    function wholeAnswer(): void {
      if (status !== 200) {
        const answerBody = Buffer.concat(failureChunks);
        if (res.headersSent) {
          const reason = `answered ${status} to a resumed stream`;
          return finish({kind: 'broken', reason, blamed: first});
        }
        return finish({kind: 'answered', status, headers, body: answerBody});
      }
      if (splitter.rest().length > 0) {
        return finish({kind: 'broken', reason: 'ended inside an event'});
      }
      finish({kind: 'complete'});
    }

    function watchSilence(): void {
      const gaps = progress.events - 1;
      const meanGapMs =
        gaps < 1 ? 0 : (progress.lastEventMs - progress.firstEventMs) / gaps;
      const limitMs = silenceBeforeLook(legEvents, meanGapMs, rule.gapGoalMs);
      const silentMs = performance.now() - Math.max(lastSignMs, lastLookMs);
      silenceTimer = setTimeout(
        () => {
          const silentSinceMs = Math.max(lastSignMs, lastLookMs);
          if (paused || performance.now() - silentSinceMs < limitMs) {
            return watchSilence();
          }
          void look().then(() => {
            if (!ended) watchSilence();
          });
        },
        Math.max(LEAST_TIMER_MS, paused ? limitMs : limitMs - silentMs),
      );
    }

    /** Finds out why the stream is silent, and repairs or ends the leg. */
    async function look(): Promise<void> {
      if (looking || ended || paused) return;
      looking = true;
      const signMs = lastSignMs;
      const findings = await parts.probe.look(stages, requestId);
      if (!ended && lastSignMs === signMs) await act(findings);
      lastLookMs = performance.now();
      looking = false;
    }

    async function act(findings: PathFindings): Promise<void> {
      const faulty = new Set(findings.silent ? [] : findings.dead);
      const waitsFor = stages.find(
        ({address}) => address === findings.waitsFor,
      );
      if (waitsFor !== undefined) faulty.add(waitsFor);
      for (const stage of faulty) {
        const state = parts.table.get(stage.endpoint);
        if (state === undefined) continue;
        parts.table.suspect(state, 'a stream is silent, it does not answer');
      }
      for (const stage of stages)
        if (!isTrusted(stage.endpoint)) faulty.add(stage);
      if (faulty.size > 0) return repair([...faulty]);
      const mostMs = legEvents === 0 ? MOST_FIRST_SILENCE_MS : MOST_SILENCE_MS;
      if (performance.now() - lastSignMs > mostMs) {
        giveUp('silent for an unknown reason');
      }
    }

    function isTrusted(endpoint: EndpointId): boolean {
      const state = parts.table.get(endpoint);
      return state !== undefined && state.suspectedUntilMs <= performance.now();
    }

    /** Moves the stream to a path without the faulty stages, or ends the leg. */
    async function repair(faulty: readonly Stage[]): Promise<void> {
      const blamed = parts.table.get(faulty[0].endpoint);
      const reason = `silent, no answer from ${faulty[0].endpoint}`;
      repairs += 1;
      for (const stage of faulty) replaced.add(stage.endpoint);
      const request = options.pathRequest();
      const path =
        repairs > MOST_REPAIRS
          ? undefined
          : repairPath(
              stages,
              new Set(faulty.map(stage => stage.endpoint)),
              parts.table.usable(exchange.service.name),
              profile,
              {...request, exclude: new Set([...request.exclude, ...replaced])},
            );
      if (path === undefined) return giveUp(reason, blamed);
      const outcome = await parts.control.repath(
        {id: stages[0].endpoint, address: stages[0].address},
        requestId,
        path,
        {fence: parts.fence()},
      );
      if (ended) return;
      parts.log.event('pathChanged', {
        requestId,
        outcome: outcome.kind,
        replaced: faulty.map(stage => stage.endpoint).join(','),
        path: path.map(item => item.endpoint).join(','),
        events: progress.events,
        silentMs: Math.round(performance.now() - lastSignMs),
        legMs: Math.round(performance.now() - legStartMs),
      });
      if (outcome.kind === 'accepted' || outcome.kind === 'done') {
        stages = path;
        load.move(path);
        lastSignMs = performance.now();
        return;
      }
      const other = path.find(
        ({address}) =>
          outcome.kind === 'conflict' && address === outcome.blamedAddress,
      );
      if (other !== undefined) return retryWithout(other, faulty);
      giveUp(`repath: ${outcome.kind}`, blamed);
    }

    /**
     * Ends a silent leg, where the stream may go on in another. While the first
     * stage lives, the next look may find room for a repair, which costs less.
     */
    function giveUp(reason: string, blamed?: EndpointState): void {
      const silentMs = performance.now() - lastSignMs;
      if (blamed !== first && silentMs < MOST_SILENCE_MS) return;
      if (options.mayContinue()) give({kind: 'broken', reason, blamed});
    }

    function retryWithout(
      other: Stage,
      faulty: readonly Stage[],
    ): Promise<void> {
      replaced.add(other.endpoint);
      const state = parts.table.get(other.endpoint);
      if (state !== undefined) {
        state.fullUntilMs = performance.now() + FULL_MS;
      }
      const wasHeld = stages.some(stage => stage.endpoint === other.endpoint);
      return repair(wasHeld ? [...faulty, other] : faulty);
    }
  });
}
