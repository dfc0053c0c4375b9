/** Client of the hosts' HTTP API for callers. */
import {readLines} from '@chivewick/common';
import {Agent, request, type Dispatcher} from 'undici';
import {MODEL} from './engines.js';

/** Key of the workspace `san-fermin` in `DEMO_PLANS`. */
export const CALLER_KEY = 'demo-key-san-fermin';

/** Key of the workspace `santa-maria` in `DEMO_PLANS`. */
export const OTHER_KEY = 'demo-key-santa-maria';

// No limit on connections per origin, and no timeout between two tokens: the
// tests set their own timeouts.
const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

/** A streamed response, or the part received before the connection broke. */
export interface StreamResult {
  readonly status: number;
  /** Body of an error response; empty for a stream. */
  readonly refusal: string;
  readonly text: string;
  readonly tokens: number;
  /** Longest time between two consecutive tokens, in milliseconds. */
  readonly longestGapMs: number;
  /** Whether the stream ended with `[DONE]`. */
  readonly complete: boolean;
  readonly requestId: string;
  /** Id of the last event that carried a token. */
  readonly lastEventId: string;
  /** Error event of the stream, or the connection error. */
  readonly failed?: string;
}

/** Parameters of a streamed completion. */
export interface DraftOptions {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly key?: string;
  /** Called after each token with the number of tokens received so far. */
  readonly onToken?: (count: number) => void;
}

/**
 * Streams a completion through a host. A broken connection does not throw: the
 * result then has `complete: false`.
 *
 * @example
 * const result = await streamDraft(host.callers, {prompt: 'Advent', maxTokens: 24});
 */
export function streamDraft(
  callers: string,
  {prompt, maxTokens, key = CALLER_KEY, onToken}: DraftOptions,
): Promise<StreamResult> {
  return readEvents(
    () =>
      request(`${callers}/v1/completions`, {
        dispatcher: agent,
        method: 'POST',
        headers: {
          authorization: `Bearer ${key}`,
          'content-type': 'application/json',
        },
        body: JSON.stringify({
          model: MODEL.name,
          prompt,
          max_tokens: maxTokens,
          stream: true,
        }),
      }),
    onToken,
  );
}

/**
 * Resumes a stream through a host after the last event that was received.
 *
 * @example
 * const rest = await resumeDraft(other.callers, part);
 */
export function resumeDraft(
  callers: string,
  {requestId, lastEventId}: StreamResult,
  key = CALLER_KEY,
): Promise<StreamResult> {
  return readEvents(() =>
    request(`${callers}/v1/requests/${requestId}/stream`, {
      dispatcher: agent,
      headers: {authorization: `Bearer ${key}`, 'last-event-id': lastEventId},
    }),
  );
}

async function readEvents(
  open: () => Promise<Dispatcher.ResponseData>,
  onToken: (count: number) => void = () => {},
): Promise<StreamResult> {
  const result = {
    status: 0,
    refusal: '',
    text: '',
    tokens: 0,
    longestGapMs: 0,
    complete: false,
    requestId: '',
    lastEventId: '',
  };
  try {
    const res = await open();
    result.status = res.statusCode;
    result.requestId = String(res.headers['x-request-id'] ?? '');
    if (res.statusCode !== 200)
      return {...result, refusal: await res.body.text()};
    return await readBody(res, result, onToken);
  } catch (err) {
    return {...result, failed: String(err)};
  }
}

async function readBody(
  res: Dispatcher.ResponseData,
  result: {-readonly [K in keyof StreamResult]: StreamResult[K]},
  onToken: (count: number) => void,
): Promise<StreamResult> {
  let lastTokenAt: number | undefined;
  let eventId = '';
  for await (const line of readLines(res.body)) {
    if (line.startsWith('id: ')) eventId = line.slice('id: '.length);
    if (!line.startsWith('data: ')) continue;
    const data = line.slice('data: '.length);
    if (data === '[DONE]') {
      result.complete = true;
      continue;
    }
    const chunk = JSON.parse(data) as {
      error?: unknown;
      choices?: {text: string; finish_reason: string | null}[];
    };
    if (chunk.error !== undefined) result.failed = data;
    const [choice] = chunk.choices ?? [];
    if (choice === undefined || choice.finish_reason !== null) continue;
    const now = performance.now();
    const gapMs = lastTokenAt === undefined ? 0 : now - lastTokenAt;
    result.longestGapMs = Math.max(result.longestGapMs, gapMs);
    lastTokenAt = now;
    result.text += choice.text;
    result.lastEventId = eventId;
    onToken(++result.tokens);
  }
  return result;
}

/** Response to a booking; status 0 if the connection broke. */
export interface BookingResult {
  readonly status: number;
  readonly body: string;
  readonly replayed: boolean;
  /** Whether the call ran, as stated in the error response; undefined on success. */
  readonly ran?: 'not_run' | 'ran' | 'unknown';
}

/**
 * Books a slot through a host.
 *
 * @example
 * const booked = await bookSlot(host.callers, 'booking-1', {date: '2026-12-06'});
 */
export async function bookSlot(
  callers: string,
  key: string,
  body: object,
  callerKey = CALLER_KEY,
): Promise<BookingResult> {
  try {
    const res = await request(`${callers}/v1/services/bookings/slots`, {
      dispatcher: agent,
      method: 'POST',
      headers: {
        authorization: `Bearer ${callerKey}`,
        'content-type': 'application/json',
        'idempotency-key': key,
      },
      body: JSON.stringify(body),
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      body: text,
      replayed: res.headers['idempotency-replayed'] === 'true',
      ...(res.statusCode >= 400 && {ran: parseRan(text)}),
    };
  } catch (err) {
    const body = String(err);
    return {status: 0, body, replayed: false, ran: 'unknown'};
  }
}

function parseRan(text: string): BookingResult['ran'] {
  const {error} = JSON.parse(text) as {error?: {ran: BookingResult['ran']}};
  return error?.ran;
}
