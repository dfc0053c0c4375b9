import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {resetSocket} from './sockets.js';
import type {FrameReader} from './frames.js';

/**
 * Bytes that are passed on in one turn of the event loop. The reader may take some
 * microseconds for each byte, as Node's HTTP parser does for chunks of one byte.
 */
const MAX_PART_BYTES = 4_096;

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
  /** Bytes that have been read and not been passed on yet. */
  const queue: Buffer[] = [];
  /** Whether the connection has ended. */
  let hasSocketEnded = false;
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
      else if (socket !== undefined) resetSocket(socket);
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
      if (queue.length === 0) readChunk();
      passOn();
    });
  }

  function readChunk(): void {
    const chunk = socket?.read() as Buffer | null | undefined;
    if (!chunk) return;
    for (const bytes of frames?.read(chunk) ?? [chunk])
      for (let at = 0; at < bytes.length; at += MAX_PART_BYTES)
        queue.push(bytes.subarray(at, at + MAX_PART_BYTES));
  }

  function passOn(): void {
    if (hasEnded || stream.destroyed) return;
    const part = queue.shift();
    if (part !== undefined) isWanted = stream.push(part);
    if (queue.length > 0) return readLater();
    if (frames === undefined ? hasSocketEnded : frames.hasEnded()) {
      hasEnded = true;
      stream.push(null);
      return;
    }
    if (hasSocketEnded)
      stream.destroy(new Error('tunnel closed before the end of the response'));
    else if (part !== undefined) readLater();
  }

  function onSocketEnd(): void {
    hasSocketEnded = true;
    if (queue.length === 0) passOn();
  }

  function attach(connection: Connection): void {
    const opened = connection.socket;
    if (stream.destroyed) return resetSocket(opened);
    ({socket, frames} = connection);
    opened.on('readable', readLater);
    opened.once('end', onSocketEnd);
    opened.on('error', err => stream.destroy(err));
    // After its end, the reader may still have to take the last bytes.
    opened.once('close', () => {
      if (!hasSocketEnded) stream.destroy();
    });
    stream.emit('connect');
    whenOpen?.(opened);
    readLater();
  }

  opening.then(attach, (err: Error) => stream.destroy(err));
  return stream;
}
