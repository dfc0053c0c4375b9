import {parserFailure, sendErrorAndClose, type Logger} from '@chivewick/common';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {failureBody} from './responses.js';
import type {CallerLimits} from './types.js';

/** Limits until a configuration is loaded. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Upper bound on parsed header bytes, regardless of the configuration. */
const MAX_HEADER_BYTES = 65_536;
/** Interval of the check for slow connections; Node's 30 s is ten times too long. */
const SLOW_CONNECTION_CHECK_MS = 1_000;

/** The server that callers connect to. */
export interface CallerServer {
  readonly server: Server;
  /** Number of requests whose responses have not ended. */
  running(): number;
  /** Applies the limits of a new configuration. */
  setLimits(limits: CallerLimits): void;
}

/**
 * Creates the server that callers connect to. Input that is not HTTP, or that takes
 * too long, gets an error response and its connection is closed; other requests are
 * not affected.
 *
 * @example
 * const callers = createCallerServer({handle, log});
 * callers.setLimits(config.limits);
 */
export function createCallerServer(options: {
  readonly handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>;
  readonly log: Logger;
}): CallerServer {
  const {handle, log} = options;
  let running = 0;
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CONNECTION_CHECK_MS,
      noDelay: true,
    },
    (req, res) => {
      running += 1;
      res.once('close', () => (running -= 1));
      handle(req, res).catch((err: unknown) => {
        log.event('requestNotServed', {
          error: 'internal',
          message: String(err),
        });
        res.destroy();
      });
    },
  );
  server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
    rejectInput(err, socket as Socket, log),
  );

  function setLimits({idleTimeoutMs, headerTimeoutMs}: CallerLimits): void {
    server.keepAliveTimeout = idleTimeoutMs;
    server.headersTimeout = headerTimeoutMs;
  }

  setLimits(DEFAULT_LIMITS);
  return {server, running: () => running, setLimits};
}

/** Sends an error response for input that is not a request, and closes. */
function rejectInput(
  err: NodeJS.ErrnoException,
  socket: Socket,
  log: Logger,
): void {
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const refusal = parserFailure(err);
  log.event('inputRejected', {
    error: refusal.kind,
    message: err.message,
    remote: socket.remoteAddress,
  });
  // The error must not be appended to a response in progress on this connection.
  if (socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  sendErrorAndClose(socket, refusal, failureBody(refusal));
}

/**
 * Returns the size of a request's headers in bytes, including separators.
 *
 * @example
 * headerBytes(['host', 'h']); // 9: 'host: h\r\n'
 */
export function headerBytes(rawHeaders: readonly string[]): number {
  // Each name is followed by ': ', each value by CR LF.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
