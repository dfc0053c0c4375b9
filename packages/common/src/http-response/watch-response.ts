import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {createHeadScanner} from './head-scanner.js';
import {findHeadFault} from './response-head.js';

/** What becomes of a request whose response is awaited. */
export interface ResponseEvents {
  /** A head without a fault has arrived; the body follows. */
  answered(res: IncomingMessage): void;
  /** The head is broken, or `answered` has thrown; the connection has been closed. */
  broken(err: Error): void;
}

/**
 * Reports the response to a request of `node:http`, unless its head is broken. Errors of the
 * connection stay events of the request.
 *
 * @example
 * watchResponse(request(options), {answered: res => res.resume(), broken: reject});
 */
export function watchResponse(
  call: ClientRequest,
  {answered, broken}: ResponseEvents,
): void {
  // Node drops the lines beyond the limit silently, also those that state the framing.
  call.maxHeadersCount = 0;
  let isBroken = false;
  const reject = (fault: string) => {
    if (isBroken) return;
    isBroken = true;
    broken(new Error(`response with ${fault}`));
    call.destroy();
  };
  call.once('socket', socket => {
    const stop = scanHeads(socket, reject);
    call.once('close', stop);
  });
  // An interim head has the rules of the final one.
  call.on('information', info => {
    const fault = findHeadFault(info);
    if (fault !== undefined) reject(`interim ${fault}`);
  });
  call.once('response', res => {
    if (isBroken) return;
    const fault = findHeadFault(res);
    if (fault !== undefined) return reject(fault);
    // An exception in an event of the parser would end the process.
    try {
      answered(res);
    } catch (err) {
      reject(`a head that cannot be used (${(err as Error).message})`);
    }
  });
}

/** Scans the heads that arrive, before the parser reads them; returns a stop. */
function scanHeads(
  socket: Socket,
  onFault: (fault: string) => void,
): () => void {
  const scanner = createHeadScanner();
  const stop = () => void socket.off('data', scan);
  function scan(chunk: Buffer): void {
    const fault = scanner.scan(chunk);
    if (fault !== undefined) onFault(fault);
    if (fault !== undefined || scanner.isDone()) stop();
  }
  socket.prependListener('data', scan);
  return stop;
}
