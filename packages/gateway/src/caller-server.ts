import {parserFailure, sendErrorAndClose, type Logger} from '@chivewick/common';
import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {HandleRequest} from './handle-request.js';
import {
  createByteBudget,
  limitConnections,
  NO_INTAKE_LIMITS,
  type IntakeLimits,
} from './intake/index.js';
import type {GatewayMetrics} from './metrics.js';
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
  readonly handle: HandleRequest;
  readonly log: Logger;
  readonly metrics?: GatewayMetrics;
  /** Limits on what all callers together may take. */
  readonly intake?: IntakeLimits;
}): CallerServer {
  const {handle, log, metrics, intake = NO_INTAKE_LIMITS} = options;
  let unreadMs = DEFAULT_LIMITS.idleTimeoutMs;
  const now = () => performance.now();
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CONNECTION_CHECK_MS,
      noDelay: true,
      // Node's own responses would bypass the limits on a connection.
      requireHostHeader: false,
    },
    (req, res) => {
      connections.take(req, res, charge => {
        handle(req, res, charge).catch((err: unknown) => {
          log.event('requestNotServed', {
            error: 'internal',
            message: String(err),
          });
          res.destroy();
        });
      });
    },
  );
  const budget = createByteBudget({
    maxBytes: intake.maxBytes,
    now,
    onEvict(bytes) {
      log.event('requestEvicted', {bytes, maxBytes: intake.maxBytes});
      metrics?.intakeClosed.inc({reason: 'bytes'});
    },
  });
  const connections = limitConnections({
    server,
    budget,
    maxConnections: () => intake.maxConnections,
    unreadMs: () => unreadMs,
    headerMs: () => server.headersTimeout,
    now,
    onClosed(reason, {remoteAddress: remote}) {
      log.event('callerClosed', {reason, remote});
      metrics?.intakeClosed.inc({reason});
    },
  });
  metrics?.observeIntakeBytes(() => budget.total());
  server.on('clientError', (err: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    if (err.code !== 'ERR_HTTP_REQUEST_TIMEOUT') return reject(err, socket);
    if (connections.excusesLateHead(socket)) return;
    const taken = connections.taken(socket);
    // After a suspension of this process timers run before sockets are read, so that the
    // head may have arrived in time. Immediate callbacks run after the sockets are read.
    setImmediate(() => {
      if (connections.taken(socket) === taken) reject(err, socket);
    });
  });

  function reject(err: NodeJS.ErrnoException, socket: Socket): void {
    rejectInput(err, {socket, isBusy: connections.isBusy(socket), log});
  }

  function setLimits({idleTimeoutMs, headerTimeoutMs}: CallerLimits): void {
    unreadMs = idleTimeoutMs;
    server.keepAliveTimeout = idleTimeoutMs;
    server.headersTimeout = headerTimeoutMs;
  }

  setLimits(DEFAULT_LIMITS);
  return {server, running: () => connections.running(), setLimits};
}

/** Sends an error response for input that is not a request, and closes. */
function rejectInput(
  err: NodeJS.ErrnoException,
  {socket, isBusy, log}: {socket: Socket; isBusy: boolean; log: Logger},
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
  // The error must not be appended to a response in progress on this connection, nor be
  // taken for the response to a request that is running.
  if (isBusy || socket.bytesWritten > 0) {
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
