import {
  createServer,
  STATUS_CODES,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {
  ERROR_RESPONSES,
  failure,
  toFailure,
  type ErrorKind,
  type Failure,
} from './errors/index.js';

/** Options of a server with JSON responses. */
export interface JsonServerOptions {
  /** May be asynchronous; a thrown error is sent as the result of `toFailure`. */
  readonly listener: (req: IncomingMessage, res: ServerResponse) => unknown;
  /** JSON body of an error response that the server itself sends. */
  readonly errorBody: (err: Failure) => object;
  readonly limits?: Pick<
    ServerOptions,
    'maxHeaderSize' | 'headersTimeout' | 'requestTimeout'
  >;
}

const PARSER_ERROR_KINDS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headers_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request_timeout',
};

/** Time in which a client can read a response before its connection is closed. */
const LINGER_MS = 1_000;

/**
 * Creates an HTTP server that responds with a JSON error where `node:http` itself
 * would send an empty response or close the connection: for bytes that are not
 * HTTP, a missing `Host`, an unknown `Expect`, and `CONNECT`.
 *
 * @example
 * const server = createJsonServer({listener: app.handler, errorBody});
 * server.listen(8080, '10.0.0.7');
 */
export function createJsonServer(options: JsonServerOptions): Server {
  const {listener, errorBody} = options;
  const sendError = (res: ServerResponse, err: Failure) => {
    if (res.headersSent) return void res.destroy();
    res.writeHead(ERROR_RESPONSES[err.kind].status, {
      'content-type': 'application/json',
      connection: 'close',
    });
    res.end(JSON.stringify(errorBody(err)));
  };
  /** Requests of each connection whose responses have not ended. */
  const running = new WeakMap<Duplex, number>();
  const server = createServer(
    {...options.limits, requireHostHeader: false},
    (req, res) => {
      const {socket} = req;
      running.set(socket, (running.get(socket) ?? 0) + 1);
      res.once('close', () => running.set(socket, running.get(socket)! - 1));
      if (req.headers.host === undefined && req.httpVersion === '1.1')
        return sendError(
          res,
          failure('invalid_request', 'missing Host header'),
        );
      Promise.resolve()
        .then(() => listener(req, res))
        .catch(err => sendError(res, toFailure(err)));
    },
  );
  server.on('checkExpectation', (req: IncomingMessage, res) => {
    const message = `unknown expectation "${req.headers.expect}"`;
    sendError(res, failure('invalid_request', message));
  });
  server.on('connect', (_req, socket: Duplex) => {
    // A connection reset while the response is written needs no handling.
    socket.on('error', () => {});
    const err = failure('method_not_allowed', 'this server is not a proxy');
    sendErrorAndClose(socket, err, errorBody(err));
  });
  server.on('clientError', (err: Error & {code?: string}, socket) => {
    // The error would be taken for the response to the request that is running.
    if ((running.get(socket) ?? 0) > 0) return void socket.destroy();
    const parserErr = parserFailure(err);
    sendErrorAndClose(socket, parserErr, errorBody(parserErr));
  });
  return server;
}

/**
 * Converts the error of a `clientError` event of `node:http` to a failure.
 *
 * @example
 * server.on('clientError', (err, socket) => sendErrorAndClose(socket, parserFailure(err), body));
 */
export function parserFailure(err: Error & {code?: string}): Failure {
  const kind = PARSER_ERROR_KINDS[err.code ?? ''] ?? 'invalid_request';
  return failure(kind, 'the request could not be read');
}

/**
 * Sends an error response on a socket that has no response object, and closes it. Input
 * that arrives later is discarded, so that no request runs after its refusal.
 *
 * @param value the JSON body.
 * @example
 * sendErrorAndClose(socket, failure('invalid_request', 'not HTTP'), {error: 'not HTTP'});
 */
export function sendErrorAndClose(
  socket: Duplex,
  err: Failure,
  value: object,
): void {
  if (!socket.writable) return void socket.destroy();
  discardInput(socket);
  socket.end(formatErrorResponse(err, value));
}

/**
 * Takes the socket away from the parser of `node:http`, which goes on after an error and
 * after the end of the sending half. The parser reads the socket itself until the socket
 * has another listener for its data.
 */
function discardInput(socket: Duplex): void {
  socket.removeAllListeners('data');
  socket.on('data', () => {});
  socket.resume();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
  socket.once('close', () => clearTimeout(timer));
}

function formatErrorResponse({kind}: Failure, value: object): string {
  const body = JSON.stringify(value);
  const lines = [
    `HTTP/1.1 ${ERROR_RESPONSES[kind].status} ${STATUS_CODES[ERROR_RESPONSES[kind].status]}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
