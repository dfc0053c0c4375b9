import {fail, failure, withSpan, type RequestId} from '@chivewick/common';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {z} from 'zod';
import {sendFailure, sendJson} from '../http/responses.js';
import {readJson} from '../http/body.js';
import {openContext, type RequestContext} from '../http/request-context.js';
import type {CallersPorts, ModelEvent} from '../ports.js';
import {
  sendStreamedResponse,
  sendCompleteResponse,
  type Outcome,
} from './model-response.js';
import {resumeModel, runModel} from './run.js';
import {chatSchema, completionSchema, type Generation} from './schemas.js';
import {RESPONSE_FORMATS, type FormatLetter} from './response-formats.js';

/** Handles one request and returns its outcome. */
export type Handler = (
  ports: CallersPorts,
  req: IncomingMessage,
  res: ServerResponse,
  ctx: RequestContext,
) => Promise<Outcome>;

const SCHEMAS: Record<FormatLetter, z.ZodType<Generation>> = {
  t: completionSchema,
  c: chatSchema,
};

/** Handler of `POST /v1/completions` (`t`) or `/v1/chat/completions` (`c`). */
export function generationHandler(letter: FormatLetter): Handler {
  return async (ports, req, res, ctx) => {
    const body = await readJson(req, SCHEMAS[letter]);
    if (!body.ok) {
      sendFailure(res, body.err, ctx.requestId);
      return body.err.kind;
    }
    const generation = body.value;
    const attributes = {model: generation.model, stream: generation.stream};
    return withSpan(ctx.trace, 'generate', attributes, trace => {
      const events = runModel(ports, {...ctx, trace}, generation);
      return sendResponse(res, events, ctx, letter, generation);
    });
  };
}

/** Handler of `GET /v1/models`: lists the models of the caller's plan. */
export const listModels: Handler = (_ports, _req, res, ctx) => {
  const names = [...ctx.grant.models.values()].flatMap(model => [
    model.model as string,
    ...model.adapters.map(adapter => `${model.model}:${adapter}`),
  ]);
  const data = names.map(name => ({
    id: name,
    object: 'model',
    created: 0,
    owned_by: 'chivewick',
  }));
  sendJson(res, 200, {object: 'list', data});
  return Promise.resolve('ok');
};

/** Handler of `GET /v1/requests/{id}/stream`: resumes after `Last-Event-ID`. */
export const resumeStream: Handler = (ports, req, res, ctx) => {
  const requestId = (req.url ?? '').split('/')[3] as RequestId;
  const header = String(req.headers['last-event-id'] ?? '');
  const [letter, ...rest] = header.split('.');
  const eventId = rest.join('.');
  if (
    !Object.hasOwn(RESPONSE_FORMATS, letter) ||
    !eventId.startsWith(requestId)
  ) {
    const {err} = fail(
      'invalid_request',
      'Last-Event-ID must be the id of an event of this request',
    );
    sendFailure(res, err, ctx.requestId);
    return Promise.resolve(err.kind);
  }
  const generation = {model: '', stream: true, includeUsage: false, stop: []};
  return withSpan(ctx.trace, 'resume', {}, trace => {
    const events = resumeModel(ports, {...ctx, trace}, eventId);
    const resumed = {...ctx, requestId};
    return sendResponse(
      res,
      events,
      resumed,
      letter as FormatLetter,
      generation,
    );
  });
};

function sendResponse(
  res: ServerResponse,
  events: AsyncIterable<ModelEvent>,
  ctx: RequestContext,
  letter: FormatLetter,
  generation: Pick<Generation, 'model' | 'stream' | 'includeUsage' | 'stop'>,
): Promise<Outcome> {
  const run = generation.stream ? sendStreamedResponse : sendCompleteResponse;
  return run(res, events, {
    requestId: ctx.requestId,
    format: RESPONSE_FORMATS[letter](ctx.requestId, generation.model),
    letter,
    stop: generation.stop,
    includeUsage: generation.includeUsage,
  });
}

/**
 * Runs a handler with authentication and a trace span. An exception becomes an
 * `internal` error response.
 */
export async function handle(
  ports: CallersPorts,
  req: IncomingMessage,
  res: ServerResponse,
  requestId: RequestId,
  handler: Handler,
): Promise<{outcome: Outcome; ctx?: RequestContext}> {
  const ctx = openContext(ports, req, res, requestId);
  if (!ctx.ok) {
    sendFailure(res, ctx.err, requestId);
    return {outcome: ctx.err.kind};
  }
  try {
    const attributes = {'http.request.method': req.method ?? ''};
    const outcome = await withSpan(
      ctx.value.trace,
      'caller',
      attributes,
      trace => handler(ports, req, res, {...ctx.value, trace}),
    );
    return {outcome, ctx: ctx.value};
  } catch (err) {
    const {message} = err as Error;
    sendFailure(res, failure('internal', message, {cause: err}), requestId);
    // Once a stream has begun, no error status can be sent: close the
    // connection so that the caller doesn't wait on it.
    if (!res.writableEnded) res.destroy();
    return {outcome: 'internal', ctx: ctx.value};
  }
}
