import type {ModelEvent, ModelRequest} from '@chivewick/callers';
import {failure, type RequestId, type WorkspaceGrant} from '@chivewick/common';
import {parseEventId} from '@chivewick/pipeline';
import type {Context} from '@opentelemetry/api';
import type {Histogram} from 'prom-client';
import type {DependencyContainer} from 'tsyringe';
import {TOKENS} from '../tokens.js';

/** Runs a model request with its hops followed and its tokens timed. */
export async function* runModel(
  c: DependencyContainer,
  req: ModelRequest,
  signal: AbortSignal,
  trace: Context,
): AsyncIterable<ModelEvent> {
  const suspects = c.resolve(TOKENS.suspects);
  const allowed = await suspects.begin(req);
  if (!allowed.ok) return yield {type: 'failed', err: allowed.err};
  const fingerprint = allowed.value;
  c.resolve(TOKENS.hops).begin(req.id, trace);
  const pipeline = c.resolve(TOKENS.pipeline);
  try {
    yield* timed(c, req, pipeline.run({...req, fingerprint}, signal));
  } finally {
    suspects.endTrial(req.id);
  }
}

/** Resumes a stream for the workspace that began it. */
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
  return concealed(events);
}

/**
 * Answers as for an unknown stream where it belongs to another workspace, so
 * that a caller cannot find out which request ids exist.
 */
async function* concealed(
  events: AsyncIterable<ModelEvent>,
): AsyncIterable<ModelEvent> {
  for await (const event of events) {
    const foreign = event.type === 'failed' && event.err.kind === 'forbidden';
    if (!foreign) yield event;
    else yield {type: 'failed', err: failure('gone', 'no such stream')};
  }
}

async function* timed(
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
      if (histogram === undefined) c.resolve(TOKENS.suspects).endTrial(req.id);
      (histogram ?? metrics.firstToken).observe((now - last) / 1_000);
      histogram = metrics.tokenInterval;
    }
    last = now;
    yield event;
  }
}
