import {
  fail,
  failure,
  ok,
  toFailure,
  withSpan,
  type Failure,
  type ModelGrant,
  type Result,
} from '@chivewick/common';
import type {RequestContext} from '../http/request-context.js';
import type {
  AdmissionSlot,
  CallersPorts,
  ModelEvent,
  ModelRequest,
  Permit,
} from '../ports.js';
import type {Generation} from './schemas.js';

/** Maximum time that a model request waits for its admission slot. */
const ADMISSION_DEADLINE_MS = 10_000;

/**
 * Finds the model and adapter among the workspace's grants.
 *
 * Fails with `not_found`.
 */
export function findModel(
  ctx: RequestContext,
  name: string,
): Result<{model: ModelGrant; adapter: string}> {
  const [modelName, adapter = ''] = name.split(':', 2);
  const model = [...ctx.grant.models.values()].find(m => m.model === modelName);
  if (model === undefined) {
    return fail('not_found', `the plan has no model "${modelName}"`);
  }
  if (adapter !== '' && !model.adapters.includes(adapter)) {
    return fail('not_found', `the plan has no adapter "${name}"`);
  }
  return ok({model, adapter});
}

/**
 * Acquires a permit from the workspace's limits and an admission slot on this
 * host, runs the request, and releases both however the request ends.
 */
export async function* runModel(
  ports: CallersPorts,
  ctx: RequestContext,
  generation: Generation,
): AsyncIterable<ModelEvent> {
  const found = findModel(ctx, generation.model);
  if (!found.ok) return yield failed(found.err);
  const permit = await acquirePermit(ports, ctx, generation.maxTokens);
  if (!permit.ok) return yield failed(permit.err);
  try {
    const req: ModelRequest = {
      id: ctx.requestId,
      grant: ctx.grant,
      ...found.value,
      prompt: generation.prompt,
      maxTokens: generation.maxTokens,
      priority: ctx.grant.priority,
    };
    yield* runInSlot(ports, ctx, permit.value, signal =>
      ports.pipeline.run(req, signal, ctx.trace),
    );
  } finally {
    permit.value.release();
  }
}

/** Resumes a stream after the event with the given id. */
export async function* resumeModel(
  ports: CallersPorts,
  ctx: RequestContext,
  eventId: string,
): AsyncIterable<ModelEvent> {
  const permit = await acquirePermit(ports, ctx, 0);
  if (!permit.ok) return yield failed(permit.err);
  try {
    yield* runInSlot(ports, ctx, permit.value, signal =>
      ports.pipeline.resume(eventId, ctx.grant, signal),
    );
  } finally {
    permit.value.release();
  }
}

function acquirePermit(
  ports: CallersPorts,
  ctx: RequestContext,
  tokens: number,
): Promise<Result<Permit>> {
  return withSpan(ctx.trace, 'limits', {}, () =>
    ports.limits.acquire(ctx.grant, tokens, ctx.signal),
  );
}

function acquireSlot(
  ports: CallersPorts,
  ctx: RequestContext,
): Promise<Result<AdmissionSlot>> {
  return withSpan(ctx.trace, 'admission', {class: 'draft'}, () =>
    ports.admission.acquire({
      workspace: ctx.grant.workspace,
      priority: ctx.grant.priority,
      class: 'draft',
      deadlineMs: ADMISSION_DEADLINE_MS,
      signal: ctx.signal,
    }),
  );
}

async function* runInSlot(
  ports: CallersPorts,
  ctx: RequestContext,
  permit: Permit,
  start: (signal: AbortSignal) => AsyncIterable<ModelEvent>,
): AsyncIterable<ModelEvent> {
  const slot = await acquireSlot(ports, ctx);
  if (!slot.ok) return yield failed(slot.err);
  const ended = new AbortController();
  const {expired} = permit;
  const signal = AbortSignal.any([ctx.signal, ended.signal, expired]);
  try {
    for await (const event of start(signal)) {
      if (event.type === 'token') permit.recordTokens(1);
      yield event;
      if (event.type !== 'token') return;
    }
    if (expired.aborted) yield failed(expiredFailure());
  } catch (err) {
    yield failed(toFailure(err));
  } finally {
    ended.abort();
    slot.value.release();
  }
}

function expiredFailure(): Failure {
  return failure(
    'deadline_exceeded',
    'the request exceeded the maximum run time',
  );
}

function failed(err: Failure): ModelEvent {
  return {type: 'failed', err};
}
