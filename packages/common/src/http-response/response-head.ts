import type {IncomingMessage} from 'node:http';

/** Versions that are read alike (RFC 9112, section 2.3). */
const VERSIONS: readonly string[] = ['1.0', '1.1'];
/** Characters that a reason phrase may not have (RFC 9112, section 4). */
// eslint-disable-next-line no-control-regex -- these are the ones to find
const CONTROLS = /[\0-\x08\x0a-\x1f\x7f]/;

/** Names of header lines (RFC 9110, section 5.6.2). */
const TOKEN = /^[\w!#$%&'*+\-.^`|~]+$/;
/** Characters that the value of a header line may not have (RFC 9110, section 5.5). */
const NOT_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;

/** Lines of a head beyond which Node's HTTP client drops them by default. */
const MAX_LINES = 1_000;

/** The head of a response, final or interim, as Node's HTTP parser reports it. */
export type ResponseHead = Pick<
  IncomingMessage,
  'statusCode' | 'statusMessage' | 'httpVersion' | 'headers' | 'rawHeaders'
>;

/**
 * Returns which rule of HTTP/1.1 the head of a response breaks, undefined if none. Parsers
 * let some broken heads through, and the body after them may not be the endpoint's.
 *
 * @example
 * call.once('response', res => {
 *   const fault = findHeadFault(res); // 'status 0', for example
 * });
 */
export function findHeadFault(head: ResponseHead): string | undefined {
  const {statusCode: status = 0, httpVersion} = head;
  const {statusMessage: reason = ''} = head;
  if (!isValidStatus(status)) return `status ${status}`;
  if (!VERSIONS.includes(httpVersion)) return `version ${httpVersion}`;
  if (CONTROLS.test(reason)) return 'control characters in its reason';
  const fieldFault = findFieldFault(head);
  if (fieldFault !== undefined) return fieldFault;
  const isEmpty = status < 200 || status === 204;
  if (isEmpty && statesContent(head)) return `content with ${status}`;
  return findCodingFault(head);
}

/**
 * Whether a status is one of HTTP (RFC 9110, section 15). A change of protocol (101) answers
 * only requests that ask for it.
 */
function isValidStatus(status: number): boolean {
  return status >= 100 && status <= 599 && status !== 101;
}

/**
 * Checks names and values. A parser that lets others through would end the process: Node
 * throws where they are forwarded.
 */
function findFieldFault({rawHeaders}: ResponseHead): string | undefined {
  const lines = rawHeaders.length / 2;
  if (lines > MAX_LINES) return `${lines} header lines`;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!TOKEN.test(rawHeaders[index])) return 'an invalid header name';
    if (NOT_IN_VALUE.test(rawHeaders[index + 1]))
      return 'an invalid header value';
  }
  return undefined;
}

/** Whether a head states a body, which some statuses may not have (RFC 9110, section 8.6). */
function statesContent({headers}: ResponseHead): boolean {
  const length = headers['content-length'] ?? '0';
  return headers['transfer-encoding'] !== undefined || Number(length) !== 0;
}

/**
 * Checks the transfer coding (RFC 9112, sections 6.1 and 7). Requests ask for none, so that
 * only chunks may be sent, and parsers pass on the bytes of all other codings as the body.
 */
function findCodingFault({
  httpVersion,
  headers,
}: ResponseHead): string | undefined {
  const coding = headers['transfer-encoding']?.trim().toLowerCase();
  if (coding === undefined) return undefined;
  if (coding !== 'chunked') return `transfer coding "${coding}"`;
  if (headers['content-length'] !== undefined) return 'a length and chunks';
  return httpVersion === '1.0' ? 'chunks of HTTP/1.0' : undefined;
}
