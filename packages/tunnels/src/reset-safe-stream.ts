import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import type {FrameReader} from './frames.js';

/** A connection to an endpoint, or through another host to one. */
export interface Connection {
  readonly socket: Socket;
  /** Set if the bytes of the endpoint arrive in frames. */
  readonly frames?: FrameReader;
}

/**
 * Wraps a connection that is being opened, and never reports a reset as a normal end of
 * the stream. When a reset arrives together with bytes, libuv reports an end of the
 * stream if the socket continues to read at that moment (`uv__stream_io` with
 * `POLLHUP` after a partial read). A response without a length would then appear
 * complete. Therefore each chunk is read in a later turn of the event loop, so that the
 * next read encounters the reset. A tunnel that ends before the endpoint does is an error
 * too. The stream emits `connect` once it is open.
 *
 * @example
 * const stream = createResetSafeStream(open('10.1.64.9:8080'));
 */
export function createResetSafeStream(opening: Promise<Connection>): Duplex {
  let socket: Socket | undefined;
  let frames: FrameReader | undefined;
  /** Whether the other end has sent everything. */
  let hasEnded = false;
  /** The write that waits for the connection; a stream has one at a time. */
  let whenOpen: ((opened: Socket) => void) | undefined;
  /** Whether the reader takes more; otherwise the bytes stay at the sender. */
  let isWanted = false;
  let isReadPending = false;
  const stream = new Duplex({
    read() {
      isWanted = true;
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
    if (isReadPending || !isWanted) return;
    isReadPending = true;
    setImmediate(() => {
      isReadPending = false;
      const chunk = socket?.read() as Buffer | null | undefined;
      if (chunk) receive(chunk);
    });
  }

  function receive(chunk: Buffer): void {
    if (hasEnded) return;
    const payload = frames === undefined ? [chunk] : frames.read(chunk);
    for (const bytes of payload) isWanted = stream.push(bytes);
    if (frames?.hasEnded() === true) endStream();
    else readLater();
  }

  function endStream(): void {
    hasEnded = true;
    stream.push(null);
  }

  function onSocketEnd(): void {
    if (hasEnded) return;
    if (frames === undefined) return endStream();
    stream.destroy(new Error('tunnel closed before the end of the response'));
  }

  function attach(connection: Connection): void {
    const opened = connection.socket;
    if (stream.destroyed) return void opened.resetAndDestroy();
    ({socket, frames} = connection);
    opened.on('readable', readLater);
    opened.once('end', onSocketEnd);
    opened.on('error', err => stream.destroy(err));
    opened.once('close', () => stream.destroy());
    stream.emit('connect');
    whenOpen?.(opened);
    readLater();
  }

  opening.then(attach, (err: Error) => stream.destroy(err));
  return stream;
}
