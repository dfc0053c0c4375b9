import type {Server} from 'node:http';

/** Splits `ip:port`, with or without brackets around an IPv6 address. */
export function splitAddress(address: string): {host: string; port: number} {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(at + 1))};
}

/** Starts listening; rejects when the address cannot be bound. */
export async function listen(server: Server, address: string): Promise<void> {
  const {host, port} = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/**
 * Stops accepting connections, closes each keep-alive connection after its
 * response in progress, and resolves when the last one is closed.
 */
export function drain(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.prependListener('request', (_req, res) => {
      res.setHeader('connection', 'close');
    });
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
