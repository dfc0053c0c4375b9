import {connect, type NetConnectOpts} from 'node:net';
import {Duplex} from 'node:stream';

/** Makes a socket stop reading after each chunk until more is requested. */
const HIGH_WATER_MARK_BYTES = 1;

/**
 * Connects, and never reports a reset as a normal end of the stream. When a reset
 * arrives together with bytes, libuv reports an end of the stream if the socket
 * continues to read at that moment (`uv__stream_io` with `POLLHUP` after a partial
 * read). A response without a length would then appear complete. Therefore each
 * chunk is read in a later turn of the event loop, so that the next read encounters
 * the reset.
 *
 * @example
 * const stream = connectResetSafe({host: '10.1.64.9', port: 8080});
 */
export function connectResetSafe(options: NetConnectOpts): Duplex {
  const socketOptions = {
    ...options,
    readableHighWaterMark: HIGH_WATER_MARK_BYTES,
  };
  const socket = connect(socketOptions);
  socket.setNoDelay(true);
  const stream = new Duplex({
    read() {
      readLater();
    },
    write(chunk: Buffer, encoding, done) {
      socket.write(chunk, encoding, done);
    },
    final(done) {
      socket.end(done);
    },
    destroy(err, done) {
      socket.destroy();
      done(err);
    },
  });

  function readLater(): void {
    setImmediate(() => {
      const chunk = socket.read() as Buffer | null;
      if (chunk !== null) stream.push(chunk);
    });
  }

  socket.on('readable', readLater);
  socket.once('connect', () => stream.emit('connect'));
  socket.once('end', () => stream.push(null));
  socket.on('error', err => stream.destroy(err));
  socket.once('close', () => stream.destroy());
  return stream;
}
