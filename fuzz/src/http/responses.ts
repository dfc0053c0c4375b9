import {ERROR_RESPONSES} from '@chivewick/common';

/** One HTTP response, split from the bytes of a connection. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

const STATUS_LINE = /^HTTP\/1\.1 (\d{3}) [\x20-\x7e]*$/;
const HEADER_LINE =
  /^([!#$%&'*+.^_`|~0-9A-Za-z-]+): ?([\x20-\x7e\x80-\xff\t]*)$/;
const NO_BODY = new Set([204, 304]);

/**
 * Splits the bytes of a connection into responses; throws on bytes that are not
 * HTTP. With `mayEndEarly`, a truncated last response is omitted.
 *
 * @example
 * const [response] = splitResponses(bytes, {mayEndEarly: false});
 */
export function splitResponses(
  bytes: string,
  {mayEndEarly}: {readonly mayEndEarly: boolean},
): HttpResponse[] {
  const responses: HttpResponse[] = [];
  let rest = bytes;
  while (rest !== '') {
    const read = readResponse(rest);
    if (read === 'incomplete') {
      if (mayEndEarly) return responses;
      throw new Error(`incomplete response: ${JSON.stringify(rest)}`);
    }
    if (read.response.status >= 200) responses.push(read.response);
    rest = read.rest;
  }
  return responses;
}

function readResponse(
  bytes: string,
): {response: HttpResponse; rest: string} | 'incomplete' {
  const end = bytes.indexOf('\r\n\r\n');
  if (end === -1) return 'incomplete';
  const [statusLine, ...lines] = bytes.slice(0, end).split('\r\n');
  const status = Number(STATUS_LINE.exec(statusLine)?.[1]);
  if (!Number.isInteger(status))
    throw new Error(`invalid status line: ${statusLine}`);
  const headers = new Map<string, string>();
  for (const line of lines) {
    const header = HEADER_LINE.exec(line);
    if (header === null) throw new Error(`invalid header line: ${line}`);
    headers.set(header[1].toLowerCase(), header[2]);
  }
  const body = readBody(status, headers, bytes.slice(end + 4));
  if (body === 'incomplete') return body;
  return {response: {status, headers, body: body.text}, rest: body.rest};
}

type Body = {text: string; rest: string} | 'incomplete';

function readBody(
  status: number,
  headers: ReadonlyMap<string, string>,
  bytes: string,
): Body {
  if (status < 200 || NO_BODY.has(status)) return {text: '', rest: bytes};
  if (headers.get('transfer-encoding') === 'chunked') return readChunks(bytes);
  const declared = headers.get('content-length');
  if (declared === undefined) return {text: bytes, rest: ''};
  const length = Number(declared);
  if (bytes.length < length) return 'incomplete';
  return {text: bytes.slice(0, length), rest: bytes.slice(length)};
}

function readChunks(bytes: string): Body {
  let text = '';
  for (let at = 0; ;) {
    const end = bytes.indexOf('\r\n', at);
    if (end === -1) return 'incomplete';
    const size = bytes.slice(at, end);
    if (!/^[0-9a-f]+$/i.test(size))
      throw new Error(`invalid chunk size: ${size}`);
    const length = parseInt(size, 16);
    const next = end + 2 + length + 2;
    if (bytes.length < next) return 'incomplete';
    if (length === 0) return {text, rest: bytes.slice(next)};
    text += bytes.slice(end + 2, end + 2 + length);
    at = next;
  }
}

/**
 * Checks that a response is a success or a JSON error of a known kind with the
 * status of that kind. `internal` is a failure: it is the kind of an exception.
 *
 * @example
 * splitResponses(bytes, {mayEndEarly}).forEach(checkResponse);
 */
export function checkResponse(response: HttpResponse): void {
  const {status, headers, body} = response;
  const type = headers.get('content-type') ?? '';
  if (type.startsWith('application/json') && body !== '')
    JSON.parse(utf8(body));
  if (type.startsWith('text/event-stream')) return checkEvents(body);
  if (status < 400) return;
  const details = `${status} ${type} ${JSON.stringify(body)}`;
  if (!type.startsWith('application/json'))
    throw new Error(`error response without a JSON error: ${details}`);
  const parsed = JSON.parse(utf8(body)) as {error?: ErrorBody};
  if (parsed.error === undefined) throw new Error(`no error field: ${details}`);
  checkError(parsed.error, details, status);
}

interface ErrorBody {
  readonly kind?: unknown;
  readonly message?: unknown;
  readonly hint?: unknown;
  readonly ran?: unknown;
  readonly retry?: unknown;
}

function checkError(error: ErrorBody, details: string, status?: number): void {
  const {kind, message, hint, ran, retry} = error;
  if (typeof kind !== 'string' || !Object.hasOwn(ERROR_RESPONSES, kind))
    throw new Error(`unknown error kind: ${details}`);
  if (kind === 'internal')
    throw new Error(`the response reports an exception: ${details}`);
  const known = ERROR_RESPONSES[kind as keyof typeof ERROR_RESPONSES];
  if (status !== undefined && known.status !== status)
    throw new Error(`status does not match the error kind: ${details}`);
  const hasTexts = typeof message === 'string' && typeof hint === 'string';
  if (!hasTexts || typeof ran !== 'string' || typeof retry !== 'boolean')
    throw new Error(
      `a field of the error is missing or has a wrong type: ${details}`,
    );
}

function checkEvents(body: string): void {
  for (const event of body.split('\n\n')) {
    const data = event.split('\n').find(line => line.startsWith('data: '));
    if (data === undefined || data === 'data: [DONE]') continue;
    const value = JSON.parse(utf8(data.slice('data: '.length))) as {
      error?: ErrorBody;
    };
    if (value.error !== undefined) checkError(value.error, data);
  }
}

function utf8(latin1: string): string {
  return Buffer.from(latin1, 'latin1').toString('utf8');
}
