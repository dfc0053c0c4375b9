import {ROOT_CONTEXT, type EndpointId, type RequestId} from '@chivewick/common';
import type {Route} from '@chivewick/engines';
import type {PipelineObserver} from '@chivewick/pipeline';
import {trace, type Context, type Span} from '@opentelemetry/api';
import type {Metrics} from './metrics.js';

/** One attempt of a model request, as printed by `chivewick requests`. */
export interface Hop {
  readonly epoch: number;
  /** `endpoint from-to` for each stage. */
  readonly stages: readonly string[];
  readonly faults: {readonly endpoint: EndpointId; readonly cause: string}[];
  /** For a recovery: time without tokens before this attempt's first token. */
  silenceMs?: number;
}

/** Tracks the attempts of the model requests in progress. */
export interface Hops {
  readonly observer: PipelineObserver;
  /** Starts tracking; spans of attempts and stages are children of `parent`. */
  begin(request: RequestId, parent?: Context): void;
  /** Ends the spans, removes the request and returns its hops. */
  end(request: RequestId): readonly Hop[];
  /** Hops so far of a request in progress. */
  find(request: RequestId): readonly Hop[] | undefined;
}

interface TrackedRequest {
  readonly parent: Context;
  readonly hops: Hop[];
  spans: Span[];
}

const tracer = trace.getTracer('chivewick');

/**
 * Creates the tracker. It records a span for each attempt, with a child span
 * for each stage, and the metrics of recoveries.
 *
 * @example
 * const hops = createHops(metrics);
 * const pipeline = createPipeline({engines, routes, log, observer: hops.observer});
 */
export function createHops(metrics: Metrics): Hops {
  const tracked = new Map<RequestId, TrackedRequest>();

  function attempt(request: RequestId, epoch: number, route: Route): void {
    const entry = tracked.get(request);
    if (entry === undefined) return;
    endSpans(entry);
    entry.spans = startSpans(entry.parent, epoch, route);
    const stages = route.map(s => `${s.endpoint} ${s.from}-${s.to}`);
    entry.hops.push({epoch, stages, faults: []});
  }

  return {
    observer: {
      attempt,
      fault(request, endpoint, cause) {
        metrics.recoveries.inc({fault: cause});
        tracked.get(request)?.hops.at(-1)?.faults.push({endpoint, cause});
      },
      recovered(request, silenceMs) {
        metrics.recoverySilence.observe(silenceMs / 1_000);
        const hop = tracked.get(request)?.hops.at(-1);
        if (hop !== undefined) hop.silenceMs = Math.round(silenceMs);
      },
    },
    begin(request, parent = ROOT_CONTEXT) {
      tracked.set(request, {parent, hops: [], spans: []});
    },
    end(request) {
      const entry = tracked.get(request);
      if (entry === undefined) return [];
      endSpans(entry);
      tracked.delete(request);
      return entry.hops;
    },
    find: request => tracked.get(request)?.hops,
  };
}

function startSpans(parent: Context, epoch: number, route: Route): Span[] {
  const attempt = tracer.startSpan('attempt', {attributes: {epoch}}, parent);
  const inner = trace.setSpan(parent, attempt);
  const stages = route.map(({endpoint, from, to}) =>
    tracer.startSpan('stage', {attributes: {endpoint, from, to}}, inner),
  );
  return [...stages, attempt];
}

function endSpans(entry: TrackedRequest): void {
  for (const span of entry.spans) span.end();
  entry.spans = [];
}
