import {watchResponse} from '@chivewick/common';
import {createDialingAgent, type Dialer} from '@chivewick/tunnels';
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Headers} from './types.js';

/** A request to an endpoint. */
export interface UpstreamRequest {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, without `content-length`. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
}

/** Callbacks of a call; none is called after `ended`, `failed` or `abort`. */
export interface UpstreamEvents {
  /** The request is being written, so it may run from now on. */
  sent(): void;
  answered(status: number, headers: Headers): void;
  data(chunk: Buffer): void;
  /** The response is complete. */
  ended(): void;
  failed(err: Error): void;
}

/** A request in progress. */
export interface UpstreamCall {
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Sends requests to endpoints. */
export interface Upstream {
  send(req: UpstreamRequest, events: UpstreamEvents): UpstreamCall;
  close(): Promise<void>;
}

/**
 * Creates the HTTP client for endpoints. Each request uses its own connection: an
 * endpoint may send bytes after a complete response or drop an idle connection,
 * and neither may affect the next request. Node's built-in client is used, because
 * undici 7 accepts a response without a length as complete when its connection is
 * reset.
 *
 * A response without a length ends with its connection, and so does one whose endpoint
 * is killed, also while it leaves. It counts as complete only if the endpoint still
 * accepts connections.
 *
 * @example
 * const upstream = createUpstream(dialer);
 * const call = upstream.send({address, method: 'GET', path: '/', headers: []}, events);
 */
export function createUpstream(dialer: Dialer): Upstream {
  const agent = createDialingAgent(dialer);
  return {
    send(options, events) {
      const [host, port] = options.address.split(':');
      const {method, path, body} = options;
      const headers = [...options.headers, 'connection', 'close'];
      if (body !== undefined || method === 'POST' || method === 'PUT') {
        headers.push('content-length', String(body?.length ?? 0));
      }
      let done = false;
      let res: IncomingMessage | undefined;
      const finish = (notify: () => void) => {
        if (done) return;
        done = true;
        notify();
      };
      const fail = (err: Error) => finish(() => events.failed(err));
      let call: ClientRequest;
      try {
        call = request({host, port, method, path, headers, agent});
      } catch (err) {
        // Characters that HTTP does not allow, for example in the id of an endpoint.
        queueMicrotask(() => fail(err as Error));
        return {abort: () => finish(() => {}), pause() {}, resume() {}};
      }
      call.once('socket', socket => {
        socket.once('connect', () => {
          if (!done) events.sent();
        });
      });
      watchResponse(call, {answered, broken: fail});
      function answered(response: IncomingMessage): void {
        res = response;
        if (done) return;
        // Listeners are added first, because `answered` may abort the call.
        response.on('data', (chunk: Buffer) => {
          if (!done) events.data(chunk);
        });
        response.once('end', () => {
          if (!response.complete)
            return fail(new Error('response ended early'));
          if (endsWithConnection(response)) return void confirmEnd();
          finish(() => events.ended());
        });
        response.once('error', fail);
        events.answered(response.statusCode ?? 0, headersOf(response));
      }
      const confirmEnd = async () => {
        if (await dialer.isRefused(options.address))
          return fail(
            new Error('endpoint was gone at the end of its response'),
          );
        finish(() => events.ended());
      };
      // `on` rather than `once`: a destroyed call may emit several errors.
      call.on('error', fail);
      call.once('close', () => {
        // A complete response may not have been read to its end yet.
        if (!res?.complete) fail(new Error('connection closed'));
      });
      call.end(body);
      return {
        abort() {
          finish(() => {});
          call.destroy();
        },
        // Node pauses only sockets of its own for a response that is paused.
        pause() {
          res?.pause();
          call.socket?.pause();
        },
        resume() {
          call.socket?.resume();
          res?.resume();
        },
      };
    },
    close: () => {
      agent.destroy();
      return Promise.resolve();
    },
  };
}

/**
 * Headers of a response. The values of a repeated line are a list, where Node would join
 * them to one value that the endpoint has not sent.
 */
function headersOf({headers, rawHeaders}: IncomingMessage): Headers {
  const values = new Map<string, string[]>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    const known = values.get(name);
    if (known === undefined) values.set(name, [rawHeaders[index + 1]]);
    else known.push(rawHeaders[index + 1]);
  }
  const repeated = [...values].filter(
    ([name, list]) => list.length > 1 && headers[name] === list.join(', '),
  );
  return {...headers, ...Object.fromEntries(repeated)};
}

/** Whether a response has neither a length nor chunks (RFC 9112, section 6.3). */
function endsWithConnection({statusCode, headers}: IncomingMessage): boolean {
  if (statusCode === 204 || statusCode === 304) return false;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}
