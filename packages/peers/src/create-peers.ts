import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {JSONRPCServer} from 'json-rpc-2.0';
import {
  bindWithRetry,
  createSilentLogger,
  fail,
  failure,
  FailureError,
} from '@chivewick/common';
import type {HostId, Result} from '@chivewick/common';
import {createDialler} from './dialler.js';
import {createHandshake, HELLO, PROVE} from './handshake.js';
import {createLink, MAX_SERVING, type Link} from './link.js';
import {createLinks} from './links.js';
import type {ListeningPeers, PeerOptions} from './peer-api.js';
import {RefusedError, toErrorResponse, toResult} from './rpc-errors.js';

const HANDSHAKE_TIMEOUT_MS = 2_000;
const IDLE_CHECK_INTERVAL_MS = 10_000;
const DUPLICATE_CONNECTION = 'duplicate connection';

/** Maximum number of connections before their handshake ends; more are closed. */
const MAX_UNAUTHENTICATED = 256;

/**
 * Listens for the firm's other hosts and connects to them on the first call.
 * The handshake proves that both sides know the firm's secret; hosts of another
 * firm are refused. Rejects if it cannot listen on the address.
 *
 * @example
 * const peers = await createPeers({firm, self, listen: '10.0.0.1:7400', addresses, secret});
 * peers.handle('lists.digest', () => ({plans: 12, entitlements: 7}));
 * const versions = await peers.call<Versions>(other, 'lists.digest', {}, {timeoutMs: 500});
 */
export async function createPeers(
  options: PeerOptions,
): Promise<ListeningPeers> {
  const {self} = options;
  const log = options.log ?? createSilentLogger();
  const incarnation = options.incarnation ?? Date.now();
  const addresses = new Map(options.addresses);
  const bytes = {sent: 0, received: 0};
  const links = createLinks(self);
  const open = new Set<Link>();
  const handshake = createHandshake(options, incarnation);
  const rpc = new JSONRPCServer<Link>({errorListener: () => {}});
  let closed = false;

  rpc.mapErrorToJSONRPCErrorResponse = toErrorResponse;
  rpc.applyMiddleware((next, request, link) => {
    const isHandshake = request.method === HELLO || request.method === PROVE;
    if ((link.peer === undefined) !== isHandshake) {
      refuse(link, 'request outside the handshake');
      throw new RefusedError('handshake required');
    }
    if (link.serving > MAX_SERVING)
      throw new FailureError(failure('overloaded', 'too many requests'));
    return next(request, link);
  });
  rpc.addMethod(HELLO, (params, link) =>
    refuseOnThrow(link, () => handshake.acceptHello(params, link)),
  );
  rpc.addMethod(PROVE, (params, link) =>
    refuseOnThrow(link, () => {
      handshake.verifyProof(params, link);
      if (!links.add(link)) throw new RefusedError(DUPLICATE_CONNECTION);
      logConnected(link);
      return {accepted: true};
    }),
  );

  function refuseOnThrow<T>(link: Link, step: () => T): T {
    try {
      return step();
    } catch (err) {
      refuse(link, (err as Error).message);
      throw err;
    }
  }

  // Deferred, so that the error response is written before the link closes.
  function refuse(link: Link, reason: string): void {
    setImmediate(() => link.close(reason));
  }

  function logConnected(link: Link): void {
    log.event('peerConnected', {...link.peer, dialledBy: link.dialledBy});
  }

  function wrap(socket: Socket, dialledBy: 'self' | 'peer'): Link {
    const link = createLink({
      socket,
      dialledBy,
      server: rpc,
      bytes,
      onClosed(closedLink, reason) {
        open.delete(closedLink);
        links.remove(closedLink);
        const host = closedLink.peer?.host ?? closedLink.hello.received?.host;
        if (closedLink.peer !== undefined)
          log.event('peerDisconnected', {host, reason});
        else if (dialledBy === 'peer') log.event('peerRefused', {host, reason});
      },
    });
    open.add(link);
    return link;
  }

  async function establish(host: HostId, address: string): Promise<Link> {
    const socket = await openSocket(address);
    const link = wrap(socket, 'self');
    try {
      await handshake.sendHello(link, host, HANDSHAKE_TIMEOUT_MS);
      if (!links.add(link)) throw new RefusedError(DUPLICATE_CONNECTION);
      await handshake.sendProof(link, HANDSHAKE_TIMEOUT_MS);
    } catch (err) {
      link.close((err as Error).message);
      throw err;
    }
    logConnected(link);
    return link;
  }

  const server = createServer(socket => {
    const unauthenticated = [...open].filter(
      link => link.peer === undefined,
    ).length;
    if (closed || unauthenticated >= MAX_UNAUTHENTICATED)
      return socket.destroy();
    const link = wrap(socket, 'peer');
    const timer = setTimeout(() => {
      if (link.peer === undefined) refuse(link, 'handshake timed out');
    }, HANDSHAKE_TIMEOUT_MS);
    timer.unref();
    return undefined;
  });
  await bindWithRetry(() => listen(server, options.listen));
  const dialler = createDialler(establish);
  const idleTimer = setInterval(
    () => links.closeIdle(),
    IDLE_CHECK_INTERVAL_MS,
  );
  idleTimer.unref();

  async function linkTo(host: HostId): Promise<Result<Link>> {
    const link = links.get(host);
    if (link !== undefined) return {ok: true, value: link};
    const address = addresses.get(host);
    if (address === undefined)
      return fail('endpoint_failed', `address of host ${host} is not known`, {
        ran: 'not_run',
      });
    const dialResult = await dialler.dial(host, address);
    // The peer may have connected while the dial was in progress and failed.
    const current = links.get(host);
    return current === undefined ? dialResult : {ok: true, value: current};
  }

  return {
    self,
    address: addressOf(server.address()),
    handle(method, handler) {
      rpc.addMethod(method, (params, link) =>
        handler(params, link.peer?.host as HostId),
      );
    },
    async call<R>(
      to: HostId,
      method: string,
      params: unknown,
      {timeoutMs}: {timeoutMs: number},
    ): Promise<Result<R>> {
      if (closed)
        return fail('endpoint_failed', 'peers are closed', {ran: 'not_run'});
      const startedAtMs = performance.now();
      const link = await withTimeout(linkTo(to), timeoutMs);
      if (!link.ok) return link;
      const remainingMs = timeoutMs - (performance.now() - startedAtMs);
      if (remainingMs <= 0)
        return fail('deadline_exceeded', 'no connection in time', {
          ran: 'not_run',
        });
      return toResult<R>(await link.value.call(method, params, remainingMs));
    },
    knownHosts() {
      const hosts = new Set([...addresses.keys(), ...links.hosts()]);
      hosts.delete(self);
      return [...hosts];
    },
    setAddress(host, address) {
      if (addresses.get(host) === address) return;
      addresses.set(host, address);
      dialler.reset(host);
    },
    bytes: () => ({...bytes}),
    async close() {
      if (closed) return;
      closed = true;
      clearInterval(idleTimer);
      const serverClosed = new Promise<void>(done =>
        server.close(() => done()),
      );
      for (const link of [...open]) link.close('host is stopping');
      await serverClosed;
    },
  };
}

/** Limits the wait for a connection to the call's timeout. */
async function withTimeout(
  connecting: Promise<Result<Link>>,
  timeoutMs: number,
): Promise<Result<Link>> {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<Result<Link>>(resolve => {
    timer = setTimeout(
      () =>
        resolve(
          fail('deadline_exceeded', 'no connection in time', {ran: 'not_run'}),
        ),
      timeoutMs,
    );
  });
  const first = await Promise.race([connecting, expired]);
  clearTimeout(timer);
  return first;
}

function splitAddress(address: string): {host: string; port: number} {
  const at = address.lastIndexOf(':');
  return {host: address.slice(0, at), port: Number(address.slice(at + 1))};
}

function addressOf(bound: AddressInfo | string | null): string {
  if (bound === null || typeof bound === 'string') return '';
  return `${bound.address}:${bound.port}`;
}

function openSocket(address: string): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(splitAddress(address));
    const timer = setTimeout(
      () => socket.destroy(new Error('connect timed out')),
      HANDSHAKE_TIMEOUT_MS,
    );
    socket.once('error', err => {
      clearTimeout(timer);
      reject(err);
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeAllListeners('error');
      resolve(socket);
    });
  });
}

function listen(
  server: ReturnType<typeof createServer>,
  address: string,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(splitAddress(address), () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}
