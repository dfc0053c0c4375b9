import type {Socket} from 'node:net';

/**
 * Bytes that are parsed at a time. The parser makes two objects of some KB for each request
 * of a piece, before the connection can be paused; a read of 64 KB has up to 3,600 requests.
 */
const PIECE_BYTES = 2_048;

/**
 * Passes the bytes of a connection to the parser of `node:http` in small pieces, and
 * leaves the rest unread while the connection must wait. It handles clients that send
 * thousands of short requests ahead.
 *
 * @param mustWait whether no further request may be parsed now.
 * @example
 * server.on('connection', socket => readInPieces(socket, () => waiting.length > 0));
 */
export function readInPieces(socket: Socket, mustWait: () => boolean): void {
  const parsers = socket.listeners('data');
  // The parser reads the socket itself until the socket has another listener.
  socket.removeAllListeners('data');
  socket.on('data', read);

  function read(bytes: Buffer): void {
    for (let offset = 0; offset < bytes.length; offset += PIECE_BYTES) {
      // A refusal takes the socket away from the parser.
      if (socket.destroyed || socket.listenerCount('data', read) === 0) return;
      if (offset > 0 && mustWait()) {
        socket.pause();
        socket.unshift(bytes.subarray(offset));
        return;
      }
      const piece = bytes.subarray(offset, offset + PIECE_BYTES);
      for (const parse of parsers) parse.call(socket, piece);
    }
  }
}
