import type {ModelEvent, ModelRequest} from '@chivewick/callers';
import {failure, type RequestId, type WorkspaceGrant} from '@chivewick/common';
import {parseEventId} from '@chivewick/pipeline';
import type {Context} from '@opentelemetry/api';
import type {Histogram} from 'prom-client';
import type {DependencyContainer} from 'tsyringe';
import {TOKENS} from '../tokens.js';

/** Runs a model request; tracks its attempts and records token latencies. */
export async function* runModel(
  c: DependencyContainer,
  req: ModelRequest,
  signal: AbortSignal,
  trace: Context,
): AsyncIterable<ModelEvent> {
  const trials = c.resolve(TOKENS.trialTracker);
  const allowed = await trials.begin(req);
  if (!allowed.ok) return yield {type: 'failed', err: allowed.err};
  const fingerprint = allowed.value;
  c.resolve(TOKENS.hops).begin(req.id, trace);
  const pipeline = c.resolve(TOKENS.pipeline);
  try {
    yield* recordTokenTimes(
      c,
      req,
      pipeline.run({...req, fingerprint}, signal),
    );
  } finally {
    trials.endTrial(req.id);
  }
}

/** Resumes a stream for the workspace that started it. */
export function resumeModel(
  c: DependencyContainer,
  eventId: string,
  grant: WorkspaceGrant,
  signal: AbortSignal,
): AsyncIterable<ModelEvent> {
  const id = parseEventId(eventId)?.request ?? (eventId as RequestId);
  const events = c
    .resolve(TOKENS.pipeline)
    .resume(eventId, {id, grant}, signal);
  return hideForeignStreams(events);
}

/**
 * Reports a stream of another workspace as unknown, so that a caller cannot find
 * out which request ids exist.
 */
async function* hideForeignStreams(
  events: AsyncIterable<ModelEvent>,
): AsyncIterable<ModelEvent> {
  for await (const event of events) {
    const foreign = event.type === 'failed' && event.err.kind === 'forbidden';
    if (!foreign) yield event;
    else yield {type: 'failed', err: failure('gone', 'no such stream')};
  }
}

async function* recordTokenTimes(
  c: DependencyContainer,
  req: ModelRequest,
  events: AsyncIterable<ModelEvent>,
): AsyncIterable<ModelEvent> {
  const metrics = c.resolve(TOKENS.metrics);
  let last = performance.now();
  let histogram: Histogram | undefined;
  for await (const event of events) {
    const now = performance.now();
    if (event.type === 'token') {
      if (histogram === undefined)
        c.resolve(TOKENS.trialTracker).endTrial(req.id);
      (histogram ?? metrics.firstToken).observe((now - last) / 1_000);
      histogram = metrics.tokenInterval;
    }
    last = now;
    yield event;
  }
}
