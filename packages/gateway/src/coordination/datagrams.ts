import {bindWithRetry, type Logger} from '@chivewick/common';
import {createSocket, type Socket} from 'node:dgram';
import {
  isJSONRPCRequest,
  isJSONRPCRequests,
  isJSONRPCResponse,
  JSONRPCClient,
  JSONRPCServer,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';

/** Messages to other hosts, as JSON-RPC 2.0 in UDP datagrams. */
export interface Datagrams {
  /** Sends a message that has no response; it may be lost. */
  notify(address: string, method: string, params: object): void;
  /** Resolves to undefined without a response in time; never rejects. */
  request(
    address: string,
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<unknown>;
  close(): void;
}

/** Handlers by method; one that returns undefined sends no result. */
export type Handlers = Readonly<Record<string, (params: unknown) => unknown>>;

/**
 * Binds a UDP address and dispatches what arrives there. Datagrams fit messages that
 * are superseded within a second: a lost one is not sent again, and no host waits
 * on a connection to a dead one. Rejects if the address cannot be bound.
 *
 * @example
 * const datagrams = await openDatagrams('10.1.0.40:7340', {ping: () => 'pong'}, log);
 * await datagrams.request('10.1.0.41:7340', 'ping', {}, 50); // 'pong'
 */
export async function openDatagrams(
  address: string,
  handlers: Handlers,
  log: Logger,
): Promise<Datagrams> {
  const socket = await bindWithRetry(() => bindSocket(address));
  const logFailure = (err: Error) =>
    log.event('coordinationFailed', {message: err.message});
  socket.on('error', logFailure);

  function send(
    message: JSONRPCRequest | JSONRPCResponse,
    toIp: string,
    toPort: number,
  ): void {
    if (isClosed) return;
    socket.send(JSON.stringify(message), toPort, toIp, err => {
      if (err) logFailure(err);
    });
  }

  let isClosed = false;
  const server = new JSONRPCServer({
    errorListener: message => logFailure(new Error(message)),
  });
  for (const [method, handle] of Object.entries(handlers))
    server.addMethod(method, handle);
  const client = new JSONRPCClient<string>((message: JSONRPCRequest, to) => {
    const [toIp, toPort] = to.split(':');
    send(message, toIp, Number(toPort));
  });

  socket.on('message', (bytes, from) => {
    const message = parse(bytes);
    if (message === undefined) return;
    if (isJSONRPCResponse(message)) return client.receive(message);
    if (!isJSONRPCRequest(message) || isJSONRPCRequests(message)) return;
    void server.receive(message).then(response => {
      if (response !== null) send(response, from.address, from.port);
    });
  });

  return {
    notify: (to, method, params) => client.notify(method, params, to),
    async request(to, method, params, timeoutMs) {
      try {
        return await client.timeout(timeoutMs).request(method, params, to);
      } catch {
        // A missing response is itself the result; the caller records it.
        return undefined;
      }
    },
    close() {
      if (isClosed) return;
      isClosed = true;
      client.rejectAllPendingRequests('closed');
      socket.close();
    },
  };
}

function bindSocket(address: string): Promise<Socket> {
  const socket = createSocket('udp4');
  const [ip, port] = address.split(':');
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(Number(port), ip, () => resolve(socket));
  });
}

/** Returns undefined for anything but a JSON object; anyone may send datagrams. */
function parse(bytes: Buffer): object | undefined {
  try {
    const value = JSON.parse(bytes.toString()) as unknown;
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
