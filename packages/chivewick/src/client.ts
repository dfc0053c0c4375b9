import {Agent, request} from 'undici';
import {CommandError} from './exit.js';

/** A response of the administration API. */
export interface AdminResponse {
  readonly status: number;
  /** Version from the ETag; 0 if there is none. */
  readonly version: number;
  // Depends on the route; docs/operators/openapi.yaml has the schemas.
  readonly body: Record<string, unknown>;
}

/** Client of the administration API of the given hosts. */
export interface AdminClient {
  get(path: string): Promise<AdminResponse>;
  /** Queries all servers, for data that only one of them may have. */
  find(path: string): Promise<AdminResponse>;
  /** Writes only if the current version is `expected`; 0 if there is none yet. */
  put(path: string, body: unknown, expected: number): Promise<AdminResponse>;
  close(): Promise<void>;
}

const REQUEST_TIMEOUT_MS = 15_000;
const CONNECT_TIMEOUT_MS = 2_000;

interface SendOptions {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/**
 * Creates a client. Servers are tried in order until one responds, so that
 * operators can work while a host is being replaced.
 *
 * @param servers base addresses, such as `http://10.0.0.4:8901`
 * @example
 * const client = createAdminClient(['http://127.0.0.1:8901'], key);
 */
export function createAdminClient(
  servers: readonly string[],
  key: string | undefined,
): AdminClient {
  const agent = new Agent({connect: {timeout: CONNECT_TIMEOUT_MS}});
  const send = async (options: SendOptions): Promise<AdminResponse> => {
    const failures: string[] = [];
    for (const server of servers) {
      try {
        return await sendTo(agent, server, key, options);
      } catch (err) {
        failures.push(`${server}: ${messageOf(err)}`);
      }
    }
    throw new CommandError('unreachable', [
      'no server responded',
      ...failures.map(line => `  ${line}`),
    ]);
  };
  const find = async (path: string): Promise<AdminResponse> => {
    const settled = await Promise.allSettled(
      servers.map(server => sendTo(agent, server, key, {method: 'GET', path})),
    );
    const responses = settled.flatMap(result =>
      result.status === 'fulfilled' ? [result.value] : [],
    );
    const found = responses.find(({status}) => status < 400) ?? responses[0];
    return found ?? send({method: 'GET', path});
  };
  return {
    find,
    get: path => send({method: 'GET', path}),
    put: (path, body, expected) =>
      send({
        method: 'PUT',
        path,
        body: JSON.stringify(body),
        headers: {
          'content-type': 'application/json',
          ...(expected === 0
            ? {'if-none-match': '*'}
            : {'if-match': `"${expected}"`}),
        },
      }),
    close: () => agent.close(),
  };
}

async function sendTo(
  agent: Agent,
  server: string,
  key: string | undefined,
  {method, path, headers, body}: SendOptions,
): Promise<AdminResponse> {
  const res = await request(`${server.replace(/\/$/, '')}${path}`, {
    method,
    body,
    dispatcher: agent,
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
    headers: {
      ...headers,
      ...(key !== undefined && {authorization: `Bearer ${key}`}),
    },
  });
  const etag = /^"(\d+)"$/.exec(String(res.headers.etag ?? ''));
  const text = await res.body.text();
  return {
    status: res.statusCode,
    version: Number(etag?.[1] ?? 0),
    body: parseBody(text),
  };
}

function parseBody(text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    throw new Error(
      'the response is not JSON; is this an administration port?',
    );
  }
}

/** The error of a response, as section 4.1 of the design defines it. */
export interface ServerError {
  readonly kind: string;
  readonly message: string;
  readonly hint: string;
  readonly ran: string;
  readonly requestId: string;
  readonly details?: {readonly faults?: readonly ServerErrorDetail[]};
}

/** An error at one key of a rejected list. */
export interface ServerErrorDetail {
  readonly key: string;
  readonly message: string;
}

/**
 * The error of a response, or undefined if the request succeeded.
 *
 * @example
 * if (errorOf(response)?.kind === 'version_mismatch') await merge();
 */
export function errorOf(response: AdminResponse): ServerError | undefined {
  if (response.status < 400) return undefined;
  return response.body.error as ServerError;
}

/**
 * Returns a successful response; throws a `CommandError` for any other.
 *
 * @example
 * const {body} = expectOk(await client.get('/admin/hosts'));
 */
export function expectOk(response: AdminResponse): AdminResponse {
  const err = errorOf(response);
  if (err === undefined) return response;
  const faults = err.details?.faults ?? [];
  throw new CommandError(
    'refused',
    [
      `${err.kind}: ${err.message}`,
      ...faults.map(fault => `  ${fault.key}: ${fault.message}`),
      `hint: ${err.hint}`,
      `request id: ${err.requestId}`,
    ],
    {error: err},
  );
}

function messageOf(err: unknown): string {
  const {code, message} = err as {code?: string; message?: string};
  return message || code || String(err);
}
