import type {Failure, RequestId} from '@chivewick/common';
import type {ServerResponse} from 'node:http';
import {errorBody, sendFailure, sendJson} from '../http/responses.js';
import {createEventStream, type EventStream} from '../http/event-stream.js';
import type {ModelEvent, Usage} from '../ports.js';
import type {
  ResponseFormat,
  FinishReason,
  FormatLetter,
} from './response-formats.js';
import {createStopFilter} from './stop-filter.js';

/** Options for the response to one model request. */
export interface ResponseOptions {
  readonly requestId: RequestId;
  readonly format: ResponseFormat;
  readonly letter: FormatLetter;
  readonly stop: readonly string[];
  readonly includeUsage: boolean;
}

/** Outcome of a request for logs and metrics: `ok` or an error kind. */
export type Outcome = string;

/** Sends one JSON body once the text is complete. */
export async function sendCompleteResponse(
  res: ServerResponse,
  events: AsyncIterable<ModelEvent>,
  options: ResponseOptions,
): Promise<Outcome> {
  const filter = createStopFilter(options.stop);
  const usage = {promptTokens: 0, generatedTokens: 0};
  let text = '';
  const finish = (reason: FinishReason, counted: Usage): Outcome => {
    sendJson(res, 200, options.format.complete(text, reason, counted));
    return 'ok';
  };
  for await (const event of events) {
    if (event.type === 'failed') return refuse(res, event.err, options);
    if (event.type === 'done') {
      text += filter.flush();
      return finish(event.reason, event.usage);
    }
    usage.generatedTokens += 1;
    usage.promptTokens = event.position + 1 - usage.generatedTokens;
    const pushed = filter.push(event.text);
    text += pushed.text;
    if (pushed.stopped) return finish('stop', usage);
  }
  return 'caller_gone';
}

/**
 * Sends the response as server-sent events. The status line is held until the
 * first event, so that a request refused before any work gets the HTTP status
 * of its error. A later failure is sent as an event with an `error` field, and
 * `[DONE]` is omitted.
 */
export async function sendStreamedResponse(
  res: ServerResponse,
  events: AsyncIterable<ModelEvent>,
  options: ResponseOptions,
): Promise<Outcome> {
  const {format: shape, letter} = options;
  // With stop sequences, events carry no id and the stream cannot be resumed:
  // a resume would lose or repeat the text that the stop filter holds back.
  const resumable = options.stop.length === 0;
  const filter = createStopFilter(options.stop);
  let stream: EventStream | undefined;
  let generated = 0;
  for await (const event of events) {
    if (event.type === 'failed') {
      if (stream === undefined) return refuse(res, event.err, options);
      await stream.send(
        JSON.stringify(errorBody(event.err, options.requestId)),
      );
      stream.end();
      return event.err.kind;
    }
    stream ??= createEventStream(res);
    if (event.type === 'done') {
      const rest = filter.flush();
      if (rest !== '')
        await stream.send(JSON.stringify(shape.chunk(rest, null)));
      await finish(stream, options, event.reason, event.usage);
      return 'ok';
    }
    generated += 1;
    const {text, stopped} = filter.push(event.text);
    const eventId = resumable ? `${letter}.${event.id}` : undefined;
    if (text !== '' || resumable) {
      const sent = await stream.send(
        JSON.stringify(shape.chunk(text, null)),
        eventId,
      );
      if (!sent.ok) return 'caller_gone';
    }
    if (stopped) {
      const promptTokens = event.position + 1 - generated;
      await finish(stream, options, 'stop', {
        promptTokens,
        generatedTokens: generated,
      });
      return 'ok';
    }
  }
  return 'caller_gone';
}

async function finish(
  stream: EventStream,
  options: ResponseOptions,
  reason: FinishReason,
  usage: Usage,
): Promise<void> {
  await stream.send(JSON.stringify(options.format.chunk('', reason)));
  if (options.includeUsage) {
    await stream.send(JSON.stringify(options.format.usageChunk(usage)));
  }
  await stream.send('[DONE]');
  stream.end();
}

function refuse(
  res: ServerResponse,
  err: Failure,
  options: ResponseOptions,
): Outcome {
  sendFailure(res, err, options.requestId);
  return err.kind;
}
