import fc from 'fast-check';
import {hostileKey} from '../core/json-values.js';
import {latin1, mutated} from '../core/mutate.js';

/** A request that is sent with correct framing, whatever its parts contain. */
export interface RequestParts {
  readonly method: string;
  /** Target of the request line: latin-1 without control characters. */
  readonly path: string;
  readonly headers: readonly (readonly [name: string, value: string])[];
  /** Bytes as latin-1. */
  readonly body: string;
}

/** Input of an HTTP target. */
export type HttpInput =
  | {readonly kind: 'raw'; readonly bytes: string}
  | {readonly kind: 'request'; readonly request: RequestParts};

/**
 * Formats a request; declares its length and closes the connection after it.
 *
 * @example
 * const text = formatRequest({method: 'GET', path: '/livez', headers: [], body: ''});
 */
export function formatRequest(request: RequestParts): string {
  const {method, path, headers, body} = request;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'Host: chivewick',
    'Connection: close',
    ...headers.map(([name, value]) => `${name}: ${value}`),
    ...(body === '' ? [] : [`Content-Length: ${body.length}`]),
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

const METHODS = ['GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'OPTIONS'];

/**
 * Generates raw bytes, mutated valid requests, and requests with
 * correct framing whose method, path, headers and body are mutated.
 *
 * @example
 * const inputs = httpInputs(VALID_REQUESTS, fc.constantFrom('last-event-id'));
 */
export function httpInputs(
  valid: readonly RequestParts[],
  headerNames: readonly string[],
  bodies: fc.Arbitrary<string>,
): fc.Arbitrary<HttpInput> {
  const example = fc.constantFrom(...valid);
  const raw = fc.oneof(latin1(256), mutated(example.map(formatRequest)));
  const value = fc.oneof(
    mutated(fc.constantFrom('', 'a', '"1"', '*', 't.r/e/1/1')),
    hostileKey.map(key => `${key}.r/e/1/1`),
  );
  const header = fc.tuple(
    fc.constantFrom(...headerNames),
    value.map(toHeaderValue),
  );
  const request = example.chain(base =>
    fc.record({
      method: fc.oneof(
        {weight: 4, arbitrary: fc.constant(base.method)},
        fc.constantFrom(...METHODS),
      ),
      path: mutated(fc.constant(base.path)).map(toRequestTarget),
      headers: fc
        .array(header, {maxLength: 2})
        .map(added => withHeaders(base.headers, added)),
      body: fc.oneof(
        fc.constant(base.body),
        mutated(fc.constant(base.body)),
        bodies,
      ),
    }),
  );
  return fc.oneof(
    raw.map(bytes => ({kind: 'raw' as const, bytes})),
    {
      weight: 3,
      arbitrary: request.map(parts => ({
        kind: 'request' as const,
        request: parts,
      })),
    },
  );
}

function withHeaders(
  base: RequestParts['headers'],
  added: RequestParts['headers'],
): RequestParts['headers'] {
  const replaced = new Set(added.map(([name]) => name));
  const kept = base.filter(([name]) => !replaced.has(name));
  const unique = new Map(added);
  return [...kept, ...unique];
}

function toHeaderValue(value: string): string {
  return value.replaceAll(/[^\x20-\x7e]/g, '').trim();
}

function toRequestTarget(path: string): string {
  return `/${path.replaceAll(/[^\x21-\x7e]/g, '').replace(/^\//, '')}`;
}
