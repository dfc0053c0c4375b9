import type {Socket} from 'node:net';
import {
  createJSONRPCErrorResponse,
  createJSONRPCRequest,
  isJSONRPCRequest,
  isJSONRPCResponse,
  JSONRPCClient,
  type JSONRPCResponse,
  type JSONRPCServer,
} from 'json-rpc-2.0';
import {
  createFrameDecoder,
  MAX_FRAME_BYTES,
  MAX_HELLO_BYTES,
} from './frames.js';
import type {Hello} from './hello.js';
import {RPC_CLOSED, RPC_DEADLINE, RPC_NOT_SENT} from './rpc-errors.js';

/** Bytes queued for a peer that does not read, beyond which the link is closed. */
const MAX_QUEUED_BYTES = 16 * 1024 * 1024;

/** Maximum concurrent requests from one peer; more are rejected as overload. */
export const MAX_SERVING = 4096;

/** Consecutive calls without a response after which the connection is replaced. */
const MAX_CONSECUTIVE_TIMEOUTS = 3;

const RETIRE_TIMEOUT_MS = 5_000;

/** Time to send queued frames on close; a suspended peer never reads them. */
const FLUSH_TIMEOUT_MS = 500;

/** One TCP connection to a peer host. */
export interface Link {
  readonly dialledBy: 'self' | 'peer';
  hello: {own?: Hello; received?: Hello};
  /** Set once the proof of the peer was accepted. */
  peer?: {host: string; incarnation: number};
  readonly openedAtMs: number;
  lastUsedMs: number;
  /** Requests from the peer in progress. */
  serving: number;
  readonly closed: boolean;
  call(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<JSONRPCResponse>;
  /** Whether calls or requests are in progress. */
  busy(): boolean;
  /** Closes once no call or request is in progress, at the latest after `RETIRE_TIMEOUT_MS`. */
  retire(): void;
  close(reason: string): void;
}

export interface LinkOptions {
  readonly socket: Socket;
  readonly dialledBy: 'self' | 'peer';
  readonly server: JSONRPCServer<Link>;
  readonly bytes: {sent: number; received: number};
  onClosed(link: Link, reason: string): void;
}

/**
 * Wraps a socket as a link, which carries JSON-RPC requests and responses as
 * frames in both directions. A malformed or oversized frame closes the link.
 *
 * @example
 * const link = createLink({socket, dialledBy: 'peer', server, bytes, onClosed});
 */
export function createLink(options: LinkOptions): Link {
  const {socket, server, bytes} = options;
  const decoder = createFrameDecoder();
  let nextId = 0;
  let pending = 0;
  let consecutiveTimeouts = 0;
  let closed = false;
  let retireTimer: NodeJS.Timeout | undefined;

  const client = new JSONRPCClient(payload => {
    const frame = JSON.stringify(payload);
    if (Buffer.byteLength(frame) > MAX_FRAME_BYTES)
      throw new Error('frame exceeds the maximum size');
    send(frame);
  });

  const link: Link = {
    dialledBy: options.dialledBy,
    hello: {},
    openedAtMs: performance.now(),
    lastUsedMs: performance.now(),
    serving: 0,
    get closed() {
      return closed;
    },
    async call(method, params, timeoutMs) {
      const id = ++nextId;
      if (closed)
        return createJSONRPCErrorResponse(id, RPC_NOT_SENT, 'link is closed');
      link.lastUsedMs = performance.now();
      pending++;
      const response = await client
        .timeout(timeoutMs, timedOutId =>
          createJSONRPCErrorResponse(
            timedOutId,
            RPC_DEADLINE,
            'no response in time',
          ),
        )
        .requestAdvanced(createJSONRPCRequest(id, method, params));
      pending--;
      if (response.error?.code === RPC_DEADLINE) countTimeout();
      closeIfRetired();
      return response;
    },
    busy: () => pending > 0 || link.serving > 0,
    retire() {
      retireTimer ??= setTimeout(
        () => link.close('retired'),
        RETIRE_TIMEOUT_MS,
      );
      retireTimer.unref();
      closeIfRetired();
    },
    close(reason) {
      if (closed) return;
      closed = true;
      clearTimeout(retireTimer);
      if (!socket.destroyed) flush();
      client.rejectAllPendingRequests(RPC_CLOSED);
      options.onClosed(link, reason);
    },
  };

  function send(frame: string): void {
    if (closed) throw new Error('link is closed');
    bytes.sent += Buffer.byteLength(frame) + 1;
    socket.write(frame + '\n');
    if (socket.writableLength > MAX_QUEUED_BYTES) abort('peer does not read');
  }

  function flush(): void {
    const timer = setTimeout(() => socket.destroy(), FLUSH_TIMEOUT_MS);
    socket.once('close', () => clearTimeout(timer));
    socket.destroySoon();
  }

  function abort(reason: string): void {
    link.close(reason);
    socket.destroy();
  }

  function countTimeout(): void {
    consecutiveTimeouts++;
    if (consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS)
      abort('peer does not respond');
  }

  function closeIfRetired(): void {
    if (retireTimer !== undefined && !link.busy()) link.close('retired');
  }

  function receive(frame: string): void {
    let payload: unknown;
    try {
      payload = JSON.parse(frame);
    } catch {
      return abort('malformed frame');
    }
    // The type guards of the library read members without a check for null.
    if (payload === null) return abort('malformed frame');
    if (isJSONRPCResponse(payload)) return client.receive(payload);
    if (!isJSONRPCRequest(payload)) return abort('malformed frame');
    link.serving++;
    void server.receive(payload, link).then(response => {
      link.serving--;
      if (response !== null && !closed) send(formatResponse(response));
      closeIfRetired();
    });
  }

  socket.setNoDelay(true);
  socket.on('data', chunk => {
    bytes.received += chunk.length;
    consecutiveTimeouts = 0;
    link.lastUsedMs = performance.now();
    const maxBytes =
      link.peer === undefined ? MAX_HELLO_BYTES : MAX_FRAME_BYTES;
    const frames = decoder.push(chunk, maxBytes);
    if (frames === 'too_long') return abort('oversized frame');
    for (const frame of frames) if (!closed) receive(frame);
  });
  socket.on('error', err => abort(err.message));
  socket.on('close', () => link.close('connection closed'));
  return link;
}

/** Serializing a response with deeply nested data of a peer may exhaust the stack. */
function formatResponse(response: JSONRPCResponse): string {
  const errorFrame = (message: string) =>
    JSON.stringify(createJSONRPCErrorResponse(response.id, -32603, message));
  try {
    const frame = JSON.stringify(response);
    if (Buffer.byteLength(frame) <= MAX_FRAME_BYTES) return frame;
    return errorFrame('response exceeds the maximum size');
  } catch (err) {
    return errorFrame(`response cannot be sent: ${(err as Error).message}`);
  }
}
