import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {LOOPBACK_HOST} from './loopback.js';

/** A listening HTTP server. */
export interface ListeningServer {
  readonly server: Server;
  /** `ip:port` of the listener. */
  readonly address: string;
  close(): Promise<void>;
}

/** Listens on loopback; port 0 selects a free port. */
export async function serve(
  handler: RequestListener,
  port = 0,
): Promise<ListeningServer> {
  const server = createServer(handler);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK_HOST, resolve);
  });
  const address = `${LOOPBACK_HOST}:${(server.address() as AddressInfo).port}`;
  return {
    server,
    address,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Prints the address for the parent process, and closes on SIGTERM or SIGINT. */
export function printAddress(standIn: {
  address: string;
  close(): Promise<void>;
}): void {
  process.stdout.write(
    `${JSON.stringify({ready: true, address: standIn.address})}\n`,
  );
  const stop = () => void standIn.close().then(() => process.exit(0));
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
