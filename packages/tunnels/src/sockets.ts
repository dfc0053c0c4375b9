import {connect, type Socket} from 'node:net';
import {startTimeLimit} from './time-limit.js';

/** A process of the same region accepts a connection within a few milliseconds. */
const LISTENING_TIMEOUT_MS = 150;
/** Makes a socket stop reading after each chunk until more is requested. */
const HIGH_WATER_MARK_BYTES = 1;

/**
 * Connects to `ip:port`. Rejects if the connection is refused or not accepted in time.
 *
 * @example
 * const socket = await openSocket('10.1.64.9:8080', 300);
 */
export function openSocket(
  address: string,
  timeoutMs: number,
): Promise<Socket> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const options = {
      host,
      port: Number(port),
      readableHighWaterMark: HIGH_WATER_MARK_BYTES,
    };
    const socket = connect(options);
    const clearLimit = startTimeLimit(
      () => socket.destroy(new Error('connect timeout')),
      timeoutMs,
    );
    socket.setNoDelay(true);
    // Stays in place, so that no later error is unhandled.
    socket.on('error', reject);
    socket.once('close', clearLimit);
    socket.once('connect', () => {
      clearLimit();
      resolve(socket);
    });
  });
}

/**
 * Whether a process accepts connections at an address, `ip:port`.
 *
 * @example
 * if (await isListening('10.1.64.9:8080')) connectDirectly();
 */
export async function isListening(address: string): Promise<boolean> {
  try {
    const socket = await openSocket(address, LISTENING_TIMEOUT_MS);
    socket.destroy();
    return true;
  } catch {
    // The result is that nothing listens.
    return false;
  }
}

/**
 * Resets a connection. While the end of its bytes is being sent it is closed instead: Node
 * would leave the handle of the socket open, with its descriptor, and the process would spin
 * when it exits.
 *
 * @example
 * resetSocket(socket);
 */
export function resetSocket(socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  if (isEnding) socket.destroy();
  else socket.resetAndDestroy();
}
