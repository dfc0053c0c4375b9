/** Versions that are read alike (RFC 9112, section 2.3). */
const VERSIONS: readonly (string | undefined)[] = [undefined, '1.0', '1.1'];
/** Characters that a reason phrase may not have (RFC 9112, section 4). */
// eslint-disable-next-line no-control-regex -- these are the ones to find
const CONTROLS = /[\0-\x08\x0a-\x1f\x7f]/;

/** Names of header lines (RFC 9110, section 5.6.2). */
const TOKEN = /^[\w!#$%&'*+\-.^`|~]+$/;
/** Characters that the value of a header line may not have (RFC 9110, section 5.5). */
const NOT_IN_VALUE = /[^\t\x20-\x7e\x80-\xff]/;

/** The HTTP client of Node, which callers may use, drops the lines of a head beyond these. */
const MAX_LINES = 1_000;

/** The head of a response, as an HTTP parser reports it. */
export interface ResponseHead {
  readonly status: number;
  /** Reason phrase. */
  readonly reason: string;
  /** `1.1`, for example; undefined if the parser does not report it. */
  readonly httpVersion?: string;
  /** Names in lower case. */
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  /** Header lines as they arrived, names and values in turn; those of `headers` by default. */
  readonly rawHeaders?: readonly string[];
}

/**
 * Returns which rule of HTTP/1.1 the head of a response breaks, undefined if none. Parsers
 * let some broken heads through, and the body after them may not be the endpoint's. The head
 * may be an interim one.
 *
 * @example
 * const fault = findHeadFault({status: 0, reason: '', headers: {}}); // 'status 0'
 */
export function findHeadFault(head: ResponseHead): string | undefined {
  const {status, reason, httpVersion} = head;
  if (!isValidStatus(status)) return `status ${status}`;
  if (!VERSIONS.includes(httpVersion)) return `version ${httpVersion}`;
  if (CONTROLS.test(reason)) return 'control characters in its reason';
  const fieldFault = findFieldFault(head);
  if (fieldFault !== undefined) return fieldFault;
  const isEmpty = status < 200 || status === 204;
  if (isEmpty && hasContent(head)) return `content with ${status}`;
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
function findFieldFault(head: ResponseHead): string | undefined {
  const {rawHeaders = linesOf(head.headers)} = head;
  const lines = rawHeaders.length / 2;
  if (lines > MAX_LINES) return `${lines} header lines`;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!TOKEN.test(rawHeaders[index])) return 'an invalid header name';
    if (NOT_IN_VALUE.test(rawHeaders[index + 1]))
      return 'an invalid header value';
  }
  return undefined;
}

function linesOf(headers: ResponseHead['headers']): string[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap(line => [name, line]),
  );
}

/** Whether a head states a body, which some statuses may not have (RFC 9110, section 8.6). */
function hasContent({headers}: ResponseHead): boolean {
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
  const value = headers['transfer-encoding'];
  if (value === undefined) return undefined;
  const coding = [value].flat().join(', ').trim().toLowerCase();
  if (coding !== 'chunked') return `transfer coding "${coding}"`;
  if (headers['content-length'] !== undefined) return 'a length and chunks';
  return httpVersion === '1.0' ? 'chunks of HTTP/1.0' : undefined;
}
