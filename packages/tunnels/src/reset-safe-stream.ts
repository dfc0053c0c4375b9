import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';

/**
 * Wraps a connection that is being opened, and never reports a reset as a normal end of
 * the stream. When a reset arrives together with bytes, libuv reports an end of the
 * stream if the socket continues to read at that moment (`uv__stream_io` with
 * `POLLHUP` after a partial read). A response without a length would then appear
 * complete. Therefore each chunk is read in a later turn of the event loop, so that the
 * next read encounters the reset. The stream emits `connect` once it is open.
 *
 * @example
 * const stream = createResetSafeStream(openSocket('10.1.64.9:8080', 300));
 */
export function createResetSafeStream(opening: Promise<Socket>): Duplex {
  let socket: Socket | undefined;
  /** Whether the other end has sent everything. */
  let hasEnded = false;
  /** The write that waits for the connection; a stream has one at a time. */
  let whenOpen: ((opened: Socket) => void) | undefined;
  const stream = new Duplex({
    read() {
      readLater();
    },
    write(chunk: Buffer, encoding, done) {
      runWhenOpen(opened => opened.write(chunk, encoding, done));
    },
    final(done) {
      runWhenOpen(opened => opened.end(done));
    },
    destroy(err, done) {
      // A partition keeps unsent bytes for later, unless the connection is reset.
      if (hasEnded) socket?.destroy();
      else socket?.resetAndDestroy();
      done(err);
    },
  });

  function runWhenOpen(action: (opened: Socket) => void): void {
    if (socket === undefined) whenOpen = action;
    else action(socket);
  }

  function readLater(): void {
    setImmediate(() => {
      const chunk = socket?.read() as Buffer | null | undefined;
      if (chunk) stream.push(chunk);
    });
  }

  function attach(opened: Socket): void {
    if (stream.destroyed) return void opened.resetAndDestroy();
    socket = opened;
    opened.on('readable', readLater);
    opened.once('end', () => {
      hasEnded = true;
      stream.push(null);
    });
    opened.on('error', err => stream.destroy(err));
    opened.once('close', () => stream.destroy());
    stream.emit('connect');
    whenOpen?.(opened);
    readLater();
  }

  opening.then(attach, (err: Error) => stream.destroy(err));
  return stream;
}
