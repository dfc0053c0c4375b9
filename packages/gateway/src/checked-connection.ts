import {connect, type NetConnectOpts} from 'node:net';
import {Duplex} from 'node:stream';

/** Makes a socket stop reading after each chunk until it is asked for more. */
const ONE_CHUNK = 1;

/**
 * Connects, and never takes a reset for an end. When a reset arrives together
 * with bytes, libuv reports an end of the stream instead, if the socket goes on
 * reading at that moment (`uv__stream_io` with `POLLHUP` after a partial read).
 * An answer without a length would then pass for whole. So each chunk is taken
 * in a later turn of the event loop, and the next read meets the reset.
 *
 * @example
 * const stream = connectChecked({host: '10.1.64.9', port: 8080});
 */
export function connectChecked(options: NetConnectOpts): Duplex {
  const socketOptions = {...options, readableHighWaterMark: ONE_CHUNK};
  const socket = connect(socketOptions);
  socket.setNoDelay(true);
  const stream = new Duplex({
    read() {
      take();
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

  function take(): void {
    setImmediate(() => {
      const chunk = socket.read() as Buffer | null;
      if (chunk !== null) stream.push(chunk);
    });
  }

  socket.on('readable', take);
  socket.once('connect', () => stream.emit('connect'));
  socket.once('end', () => stream.push(null));
  socket.on('error', err => stream.destroy(err));
  socket.once('close', () => stream.destroy());
  return stream;
}
