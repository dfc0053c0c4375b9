/** TCP forwarder whose connections a test can cut. */
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** Forwards connections to one address. */
export interface Forwarder {
  readonly address: string;
  /** Closes all connections, and closes new ones immediately until `restore`. */
  cut(): void;
  restore(): void;
  close(): Promise<void>;
}

/**
 * Listens on loopback and forwards each connection to a target.
 *
 * @example
 * const link = await createForwarder(objectApi);
 * link.cut();
 */
export async function createForwarder(
  target: string,
  port = 0,
): Promise<Forwarder> {
  const sockets = new Set<Socket>();
  let isCut = false;
  const [host, targetPort] = target.split(':');
  const server: Server = createServer(client => {
    if (isCut) return void client.destroy();
    const upstream = connect(Number(targetPort), host);
    for (const [socket, other] of [
      [client, upstream],
      [upstream, client],
    ]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => other.destroy());
      socket.on('close', () => {
        sockets.delete(socket);
        other.destroy();
      });
      socket.pipe(other);
    }
  });
  await new Promise<void>(resolve =>
    server.listen(port, LOOPBACK_HOST, resolve),
  );
  // A cluster that fails to start must not keep its test process running.
  server.unref();
  const closeAll = () => sockets.forEach(socket => socket.destroy());
  return {
    address: `${LOOPBACK_HOST}:${(server.address() as AddressInfo).port}`,
    cut() {
      isCut = true;
      closeAll();
    },
    restore: () => void (isCut = false),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        closeAll();
      }),
  };
}
