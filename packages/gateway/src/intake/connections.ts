import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ByteBudget, Charge} from './byte-budget.js';
import {readInPieces} from './read-in-pieces.js';

/** Requests of a connection that are served at the same time; callers use one. */
const MAX_RUNNING = 4;
/** Parsed requests of a connection that wait for those; they take some KB each. */
const MAX_WAITING = 32;
/**
 * Time after which a connection is closed whose responses are not read, while bytes are not
 * short. The kernel reports a steady reader of 16 KB/s only once part of its buffer of up
 * to 4 MB is free.
 */
const CALM_UNREAD_MS = 256_000;
/** Interval of the check for unread responses. */
const CHECK_MS = 1_000;

/** Why a connection was closed. */
export type CloseReason = 'pipelined' | 'unread' | 'connections' | 'late_head';

type Start = (charge: Charge) => void;

interface Connection {
  readonly charges: Set<Charge>;
  readonly waiting: {res: ServerResponse; start: Start}[];
  /** Number of requests that have arrived. */
  taken: number;
  /** Whether the response after which the connection is closed has ended. */
  isEnding: boolean;
  /** Time since which the connection has no request. */
  idleSinceMs: number;
  /** Bytes that the kernel has taken, and since when it takes no more. */
  flushedBytes: number;
  flushedAtMs: number;
  /** When a head must be complete whose time ran out while this host did not read. */
  headerDueMs: number;
}

/** The connections of a server for callers. */
export interface Connections {
  /** Starts a request, or lets it wait for others of its connection. */
  take(req: IncomingMessage, res: ServerResponse, start: Start): void;
  /** Number of requests whose responses have not ended. */
  running(): number;
  /** Number of requests that have arrived on a connection. */
  taken(socket: Socket): number;
  /** Whether a connection has requests that are running or wait. */
  isBusy(socket: Socket): boolean;
  /**
   * Whether this host has stopped reading a connection, so that the head of a request may
   * be late through no fault of the caller, who gets the time for it again.
   */
  excusesLateHead(socket: Socket): boolean;
  /** Closes connections whose responses stay unread; called at an interval. */
  check(): void;
}

/**
 * Limits the connections of a server and what each may have in progress. It handles
 * clients that pipeline many requests without reading responses, and clients that open
 * many connections and do not use them.
 *
 * @example
 * const connections = limitConnections({server, budget, maxConnections: 640, unreadMs: () => 15_000, now, onClosed});
 * connections.take(req, res, charge => void handle(req, res, charge));
 */
export function limitConnections(options: {
  readonly server: Server;
  readonly budget: ByteBudget;
  readonly maxConnections: () => number;
  /**
   * Time after which a connection is closed whose responses are not read, while bytes are
   * short.
   */
  readonly unreadMs: () => number;
  /** Time for the head of a request. */
  readonly headerMs: () => number;
  readonly now: () => number;
  readonly onClosed: (reason: CloseReason, socket: Socket) => void;
}): Connections {
  const {server, budget, now, onClosed} = options;
  const connections = new Map<Socket, Connection>();

  server.on('connection', socket => {
    connections.set(socket, {
      charges: new Set(),
      waiting: [],
      taken: 0,
      isEnding: false,
      idleSinceMs: now(),
      flushedBytes: 0,
      flushedAtMs: now(),
      headerDueMs: Infinity,
    });
    socket.once('close', () => {
      const connection = connections.get(socket);
      connections.delete(socket);
      // Responses that were not next on the connection report no close.
      for (const charge of connection!.charges) charge.release();
      connection!.charges.clear();
    });
    readInPieces(socket, () => {
      const isHeld = (connections.get(socket)?.waiting.length ?? 0) > 0;
      return isHeld || socket.isPaused();
    });
    socket.on('resume', () => {
      // The parser resumes the socket after each request that it has read.
      if (connections.get(socket)?.waiting.length) socket.pause();
    });
    if (connections.size > options.maxConnections()) makeRoom(socket);
  });
  const timer = setInterval(check, CHECK_MS).unref();
  server.once('close', () => clearInterval(timer));

  function close(reason: CloseReason, socket: Socket): void {
    onClosed(reason, socket);
    const connection = connections.get(socket);
    if (connection !== undefined) connection.waiting.length = 0;
    socket.destroy();
  }

  /**
   * Closes the connection that has been without a request for the longest, otherwise
   * rejects the body that has been arriving for the longest, otherwise closes `newest`.
   */
  function makeRoom(newest: Socket): void {
    let victim: Socket | undefined;
    let sinceMs = Infinity;
    for (const [socket, {charges, idleSinceMs}] of connections) {
      if (socket === newest || socket.destroyed || charges.size > 0) continue;
      if (idleSinceMs >= sinceMs) continue;
      victim = socket;
      sinceMs = idleSinceMs;
    }
    if (victim !== undefined) return close('connections', victim);
    // In the order of their arrival.
    for (const {charges} of connections.values()) {
      if (charges.size === 0) continue;
      if (![...charges].every(charge => charge.isEvictable())) continue;
      for (const charge of charges) charge.evict();
      return;
    }
    close('connections', newest);
  }

  function startWaiting(socket: Socket, connection: Connection): void {
    const {charges, waiting} = connection;
    if (waiting.length === 0 || connection.isEnding) return;
    while (waiting.length > 0 && charges.size < MAX_RUNNING) {
      const {res, start} = waiting.shift()!;
      begin(connection, {socket, res, start});
    }
    if (waiting.length > 0) return;
    if (connection.headerDueMs < Infinity)
      connection.headerDueMs = now() + options.headerMs();
    socket.resume();
  }

  function begin(
    connection: Connection,
    next: {socket: Socket; res: ServerResponse; start: Start},
  ): void {
    const {socket, res, start} = next;
    const charge = budget.open();
    connection.charges.add(charge);
    res.once('close', () => {
      charge.release();
      connection.charges.delete(charge);
      if (connection.charges.size === 0) connection.idleSinceMs = now();
      if (res.getHeader('connection') === 'close') connection.isEnding = true;
      if (!socket.destroyed) startWaiting(socket, connection);
    });
    start(charge);
  }

  function check(): void {
    const nowMs = now();
    const calmMs = Math.max(CALM_UNREAD_MS, options.unreadMs());
    const unreadMs = budget.isShort() ? options.unreadMs() : calmMs;
    for (const [socket, connection] of connections) {
      const isReading = connection.waiting.length === 0;
      if (isReading && nowMs > connection.headerDueMs) {
        close('late_head', socket);
        continue;
      }
      const flushedBytes = socket.bytesWritten - socket.writableLength;
      const isRead =
        socket.writableLength === 0 || flushedBytes > connection.flushedBytes;
      if (isRead) {
        connection.flushedBytes = flushedBytes;
        connection.flushedAtMs = nowMs;
      } else if (nowMs - connection.flushedAtMs > unreadMs) {
        close('unread', socket);
      }
    }
  }

  return {
    check,
    taken: socket => connections.get(socket)?.taken ?? 0,
    isBusy(socket) {
      const connection = connections.get(socket);
      if (connection === undefined) return false;
      return connection.charges.size + connection.waiting.length > 0;
    },
    excusesLateHead(socket) {
      const connection = connections.get(socket);
      if (connection === undefined || connection.waiting.length === 0)
        return false;
      // Set anew when reading goes on.
      connection.headerDueMs = Number.MAX_VALUE;
      return true;
    },
    running() {
      let running = 0;
      for (const {charges, waiting} of connections.values())
        running += charges.size + waiting.length;
      return running;
    },
    take(req, res, start) {
      const {socket} = req;
      const connection = connections.get(socket);
      // The parser goes on with bytes that it has, also after the close.
      if (connection === undefined || socket.destroyed) return;
      // Nothing is sent after that response, so a request must not run any more.
      if (connection.isEnding) return;
      const {charges, waiting} = connection;
      connection.taken += 1;
      connection.headerDueMs = Infinity;
      if (charges.size < MAX_RUNNING && waiting.length === 0)
        return begin(connection, {socket, res, start});
      if (waiting.length >= MAX_WAITING) return close('pipelined', socket);
      waiting.push({res, start});
      socket.pause();
    },
  };
}
