import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {findHeadFault} from './response-head.js';

/** Begins each response; Node's parser takes other protocols too, and does not report them. */
const PROTOCOL = 'HTTP/';

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
    const stop = checkProtocol(socket, () => reject('another protocol'));
    call.once('close', stop);
  });
  // An interim head has the rules of the final one.
  call.on('information', info => {
    const {statusCode: status, statusMessage: reason} = info;
    const fault = findHeadFault({...info, status, reason});
    if (fault !== undefined) reject(`interim ${fault}`);
  });
  call.once('response', res => {
    if (isBroken) return;
    const {statusCode: status = 0, statusMessage: reason = ''} = res;
    const {httpVersion, headers, rawHeaders} = res;
    const fault = findHeadFault({
      status,
      reason,
      httpVersion,
      headers,
      rawHeaders,
    });
    if (fault !== undefined) return reject(fault);
    // Parsers call this, and an exception in a parser ends the process.
    try {
      answered(res);
    } catch (err) {
      reject(`a head that cannot be used (${(err as Error).message})`);
    }
  });
}

/** Checks the first bytes that arrive, before the parser reads them; returns a stop. */
function checkProtocol(socket: Socket, onFault: () => void): () => void {
  let start = '';
  const stop = () => void socket.off('data', check);
  function check(chunk: Buffer): void {
    const missing = PROTOCOL.length - start.length;
    start += chunk.toString('latin1', 0, missing);
    if (!PROTOCOL.startsWith(start)) onFault();
    else if (start.length < PROTOCOL.length) return;
    stop();
  }
  socket.prependListener('data', check);
  return stop;
}
