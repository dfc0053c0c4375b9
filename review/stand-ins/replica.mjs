import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:net';
import {freePorts} from './ports.mjs';

/**
 * A replica of a plain service (PROTOCOL.md, "Replicas"). It serves one request on a
 * connection, drops it when the connection closes, answers 421 to a request for another
 * instance, and tells `onRun` of each request that it begins to run.
 *
 * `handle(request, connection)` writes the answer.
 */
export async function createReplica({service, zone, slots = 6, handle, onRun}) {
  const port = await freePorts(1);
  const address = `127.0.0.1:${port}`;
  let sockets = new Set();
  let server;
  let id;
  let born;

  function serve(socket) {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => sockets.delete(socket));
    let bytes = Buffer.alloc(0);
    let isRunning = false;
    socket.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk]);
      const end = bytes.indexOf('\r\n\r\n');
      if (isRunning || end < 0) return;
      const head = bytes.toString('latin1', 0, end);
      const [line, ...fields] = head.split('\r\n');
      const headers = Object.fromEntries(
        fields.map(field => {
          const colon = field.indexOf(':');
          const name = field.slice(0, colon).toLowerCase();
          return [name, field.slice(colon + 1).trim()];
        }),
      );
      const length = Number(headers['content-length'] ?? 0);
      if (bytes.length < end + 4 + length) return;
      isRunning = true;
      const [method, path] = line.split(' ');
      const target = headers['x-target-instance'];
      if (target !== undefined && target !== id) {
        socket.end(
          `HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
        );
        return;
      }
      const request = {
        method,
        path,
        headers,
        body: bytes.subarray(end + 4),
        attempt: headers['x-attempt-id'],
        replica: id,
      };
      onRun?.(request);
      handle(request, socket);
    });
  }

  /** Starts it with a new id, at the same address. */
  async function start() {
    id = `i-${randomBytes(5).toString('hex')}`;
    born = Date.now();
    await open();
  }

  /** Accepts connections. */
  async function open() {
    server = createServer(serve);
    await new Promise(resolve => server.listen(port, '127.0.0.1', resolve));
  }

  /** Refuses connections; those that are open live on. */
  function refuse() {
    server.close();
  }

  return {
    address,
    start,
    open,
    refuse,
    id: () => id,
    entry: () => ({
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      seq: 1,
      born,
    }),
    /** Ends it as a crash does: its connections are reset, and new ones refused. */
    crash() {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
      sockets = new Set();
    },
  };
}

/** The headers of an answer of a replica that has run a request. */
export function answerHead({attempt}, fields = [], status = '200 OK') {
  return [
    `HTTP/1.1 ${status}`,
    `X-Attempt-Id: ${attempt}`,
    `X-Response-Seal: seal.${attempt}`,
    ...fields,
    '\r\n',
  ].join('\r\n');
}
