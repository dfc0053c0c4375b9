import {Agent, request, type IncomingMessage} from 'node:http';
import type {NetConnectOpts} from 'node:net';
import {connectChecked} from './checked-connection.js';
import type {Headers} from './types.js';

/** A connection in the same region takes a few milliseconds to open. */
const CONNECT_TIMEOUT_MS = 300;

/** A request as it goes to an endpoint. */
export interface UpstreamRequest {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values by turns, without a length of the body. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
}

/** Progress of a call; nothing is told after `ended`, `failed` or `abort`. */
export interface UpstreamEvents {
  /** The request is being written: from now on it may run. */
  sent(): void;
  answered(status: number, headers: Headers): void;
  data(chunk: Buffer): void;
  /** The answer is whole. */
  ended(): void;
  failed(err: Error): void;
}

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

class CheckedAgent extends Agent {
  override createConnection(options: NetConnectOpts) {
    return connectChecked(options);
  }
}

/**
 * Creates the client of endpoints. Each request has a connection of its own: an
 * endpoint may send bytes after a complete answer or drop an idle connection,
 * and neither may reach the next request. Node's own client is used, because
 * undici 7 takes an answer without a length for whole when its connection is
 * reset.
 *
 * @example
 * const call = upstream.send({address, method: 'GET', path: '/', headers: []}, events);
 */
export function createUpstream(): Upstream {
  const agent = new CheckedAgent({keepAlive: false});
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
      const finish = (tell: () => void) => {
        if (done) return;
        done = true;
        clearTimeout(connectTimer);
        tell();
      };
      const fail = (err: Error) => finish(() => events.failed(err));
      const call = request({host, port, method, path, headers, agent});
      const connectTimer = setTimeout(
        () => call.destroy(new Error('connect timeout')),
        CONNECT_TIMEOUT_MS,
      );
      call.once('socket', socket => {
        socket.once('connect', () => {
          clearTimeout(connectTimer);
          if (!done) events.sent();
        });
      });
      call.once('response', response => {
        res = response;
        if (done) return;
        // Listeners come first: `answered` may abort the call.
        response.on('data', (chunk: Buffer) => {
          if (!done) events.data(chunk);
        });
        response.once('end', () =>
          response.complete
            ? finish(() => events.ended())
            : fail(new Error('answer ended early')),
        );
        response.once('error', fail);
        events.answered(response.statusCode ?? 0, response.headers);
      });
      // Keeps listening: a destroyed call may fail more than once.
      call.on('error', fail);
      call.once('close', () => {
        // A whole answer may still be on its way to the reader.
        if (!res?.complete) fail(new Error('connection closed'));
      });
      call.end(body);
      return {
        abort() {
          finish(() => {});
          call.destroy();
        },
        pause: () => void res?.pause(),
        resume: () => void res?.resume(),
      };
    },
    close: () => {
      agent.destroy();
      return Promise.resolve();
    },
  };
}
