import type {Socket} from 'node:net';
import {splitLine} from './protocol.js';
import {startTimeLimit} from './time-limit.js';

/**
 * Reads the first line from a new connection and leaves what follows it unread. Rejects
 * if the connection ends, or the line does not arrive in time or is too long.
 *
 * @example
 * const line = await readLine(socket, 300);
 */
export function readLine(socket: Socket, timeoutMs: number): Promise<string> {
  let bytes = Buffer.alloc(0);
  return new Promise((resolve, reject) => {
    const settle = (act: () => void) => {
      clearLimit();
      socket.off('readable', onReadable);
      socket.off('error', onClose);
      socket.off('close', onClose);
      act();
    };
    const fail = (reason: string) => settle(() => reject(new Error(reason)));
    const onClose = () => fail('connection closed');
    const clearLimit = startTimeLimit(() => fail('no line in time'), timeoutMs);
    function onReadable(): void {
      for (
        let chunk = socket.read() as Buffer | null;
        chunk !== null;
        chunk = socket.read() as Buffer | null
      ) {
        bytes = Buffer.concat([bytes, chunk]);
        const {line, rest, isTooLong} = splitLine(bytes);
        if (isTooLong) return fail('line too long');
        if (line === undefined) continue;
        if (rest.length > 0) socket.unshift(rest);
        return settle(() => resolve(line));
      }
    }
    socket.on('readable', onReadable);
    socket.on('error', onClose);
    socket.on('close', onClose);
    onReadable();
  });
}
