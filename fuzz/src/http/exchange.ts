import {once} from 'node:events';
import {connect} from 'node:net';
import {nextTurn} from '../core/escapes.js';

/**
 * Time without data from the server before the client ends its side. It affects
 * only how many bytes of the response arrive, not whether they are correct.
 */
const IDLE_MS = 4;

/**
 * Turns of the event loop without progress after which a response counts as
 * missing. Server and client share the loop and the ports wait for nothing
 * else, so this does not depend on the speed of the machine.
 */
const MAX_IDLE_TURNS = 5_000;

/**
 * Sends any bytes (latin-1) on a new connection, ends the client side once the
 * server is idle, and returns all bytes of the responses.
 *
 * @example
 * const bytes = await exchangeBytes(port, 'GET / HTTP/1.1\r\n\r\n');
 */
export async function exchangeBytes(
  port: number,
  input: string,
): Promise<string> {
  const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
  const chunks: Buffer[] = [];
  let timer: NodeJS.Timeout | undefined;
  const endWhenIdle = () => {
    clearTimeout(timer);
    timer = setTimeout(() => socket.end(), IDLE_MS);
  };
  socket.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    endWhenIdle();
  });
  // The server may close with a reset; the bytes received so far are checked.
  socket.on('error', () => {});
  socket.on('connect', () => {
    socket.write(Buffer.from(input, 'latin1'));
    endWhenIdle();
  });
  await waitForClose(socket);
  clearTimeout(timer);
  return Buffer.concat(chunks).toString('latin1');
}

/**
 * Sends one complete request with `Connection: close` and returns the bytes of
 * the response; rejects if the server does not end the connection.
 *
 * @example
 * const bytes = await exchangeRequest(port, 'GET /livez HTTP/1.1\r\n...');
 */
export async function exchangeRequest(
  port: number,
  input: string,
): Promise<string> {
  const socket = connect({port, host: '127.0.0.1'});
  const chunks: Buffer[] = [];
  let idleTurns = 0;
  socket.on('connect', () => (idleTurns = 0));
  socket.on('data', (chunk: Buffer) => {
    idleTurns = 0;
    chunks.push(chunk);
  });
  socket.on('error', () => {});
  socket.write(Buffer.from(input, 'latin1'));
  for (; !socket.closed && idleTurns < MAX_IDLE_TURNS; idleTurns += 1)
    await nextTurn();
  const timedOut = !socket.closed;
  socket.destroy();
  if (timedOut) throw new Error('the server did not complete its response');
  return Buffer.concat(chunks).toString('latin1');
}

async function waitForClose(socket: ReturnType<typeof connect>): Promise<void> {
  if (!socket.closed) await once(socket, 'close');
}
