import {bindWithRetry} from '@chivewick/common';
import {createServer, type Server, type Socket} from 'node:net';
import {createFrameWriter} from './frames.js';
import {formatReply, parseRequest, type REPLIES} from './protocol.js';
import {readLine} from './read-line.js';
import type {DirectPaths} from './direct-paths.js';
import {createResetSafeStream} from './reset-safe-stream.js';
import {openSocket, resetSocket} from './sockets.js';

/** A host sends the line as soon as it is connected. */
const REQUEST_TIMEOUT_MS = 1_000;
/** Opening a connection within the same region takes a few milliseconds. */
const DEFAULT_CONNECT_MS = 150;
/** Far more than the streams of one failure domain; bounds the descriptors. */
const MAX_TUNNELS = 800;

/** Connects other hosts to endpoints. */
export interface TunnelServer {
  /** Number of tunnels that are open or being opened. */
  running(): number;
  close(): void;
}

/**
 * Starts the server. It opens connections to known endpoints only. It passes requests on
 * unchanged and responses in frames; a reset stays a reset, so that a response that is
 * cut off does not appear complete. Rejects if the address cannot be bound.
 *
 * @param options.address `ip:port` to listen on.
 * @param options.isStopping whether this host opens no tunnels any more.
 * @param options.connectMs time in which an endpoint must accept a connection.
 * @example
 * const server = await startTunnelServer({address, isEndpoint, isStopping, paths});
 */
export async function startTunnelServer(options: {
  readonly address: string;
  readonly isEndpoint: (address: string) => boolean;
  readonly isStopping: () => boolean;
  readonly paths: Pick<DirectPaths, 'isLost' | 'expectsLoss'>;
  readonly connectMs?: number;
}): Promise<TunnelServer> {
  const {isEndpoint, isStopping, paths} = options;
  const {connectMs = DEFAULT_CONNECT_MS} = options;
  const clients = new Set<Socket>();
  const server = createServer({noDelay: true}, client => {
    clients.add(client);
    client.on('error', () => client.destroy());
    client.once('close', () => clients.delete(client));
    if (clients.size > MAX_TUNNELS || isStopping())
      return reject(client, 'unknown');
    void serve(client);
  });

  async function serve(client: Socket): Promise<void> {
    try {
      const target = parseRequest(await readLine(client, REQUEST_TIMEOUT_MS));
      // An endpoint that this host has not heard of yet may well be up.
      const isKnown = target !== undefined && isEndpoint(target);
      if (!isKnown || paths.isLost(target)) return reject(client, 'unknown');
      join(client, await openSocket(target, connectMs));
    } catch (err) {
      // The reply tells the other host, which logs what becomes of its request.
      const isRefusal = (err as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      const verdict = isRefusal ? 'refused' : 'silent';
      reject(client, paths.expectsLoss() ? 'unknown' : verdict);
    }
  }

  await listen(server, options.address);
  return {
    running: () => clients.size,
    close() {
      server.close();
      for (const client of clients) client.destroy();
    },
  };
}

function reject(client: Socket, reply: keyof typeof REPLIES): void {
  client.end(formatReply(reply));
}

/**
 * Passes bytes between a host and an endpoint until one of them closes. The host is sent
 * the end of the endpoint's bytes only if the endpoint has ended them.
 */
function join(client: Socket, socket: Socket): void {
  if (client.destroyed) return void socket.destroy();
  const endpoint = createResetSafeStream(Promise.resolve({socket}));
  client.write(formatReply('opened'));
  endpoint.once('error', () => resetSocket(client));
  client.once('close', () => endpoint.destroy());
  endpoint.pipe(createFrameWriter()).pipe(client);
  client.pipe(endpoint);
}

function listen(server: Server, address: string): Promise<void> {
  const [ip, port] = address.split(':');
  return bindWithRetry(
    () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), ip, resolve);
      }),
  );
}
