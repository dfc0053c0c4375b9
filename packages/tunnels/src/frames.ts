import {Transform} from 'node:stream';

/** Each frame begins with the length of its bytes; a frame without bytes is the end. */
const HEADER_BYTES = 4;

/**
 * Creates a stream that puts the bytes of an endpoint into frames, followed by a frame
 * that marks their end. The end of a connection cannot serve as that mark: the kernel
 * ends the connections of a killed process in the same way.
 *
 * @example
 * endpoint.pipe(createFrameWriter()).pipe(client);
 */
export function createFrameWriter(): Transform {
  return new Transform({
    transform(chunk: Buffer, _, done) {
      if (chunk.length > 0) {
        this.push(header(chunk.length));
        this.push(chunk);
      }
      done();
    },
    flush(done) {
      done(null, header(0));
    },
  });
}

function header(length: number): Buffer {
  const bytes = Buffer.alloc(HEADER_BYTES);
  bytes.writeUInt32BE(length);
  return bytes;
}

/** Takes the bytes of an endpoint out of the frames of a tunnel. */
export interface FrameReader {
  /** Returns the bytes of the endpoint in the next bytes of the tunnel. */
  read(chunk: Buffer): Buffer[];
  /** Whether the frame that marks the end of the endpoint's bytes has arrived. */
  hasEnded(): boolean;
}

/**
 * Creates a reader. Frames may be split anywhere; bytes after the last one are dropped.
 *
 * @example
 * for (const bytes of reader.read(chunk)) stream.push(bytes);
 */
export function createFrameReader(): FrameReader {
  let head = Buffer.alloc(0);
  /** Bytes of the current frame that have not arrived yet. */
  let missing = 0;
  let ended = false;

  function readHeader(bytes: Buffer): Buffer {
    const count = Math.min(HEADER_BYTES - head.length, bytes.length);
    head = Buffer.concat([head, bytes.subarray(0, count)]);
    if (head.length === HEADER_BYTES) {
      missing = head.readUInt32BE();
      ended = missing === 0;
      head = Buffer.alloc(0);
    }
    return bytes.subarray(count);
  }

  return {
    read(chunk) {
      const payload: Buffer[] = [];
      let bytes = chunk;
      while (bytes.length > 0 && !ended) {
        if (missing === 0) {
          bytes = readHeader(bytes);
          continue;
        }
        const part = bytes.subarray(0, missing);
        payload.push(part);
        missing -= part.length;
        bytes = bytes.subarray(part.length);
      }
      return payload;
    },
    hasEnded: () => ended,
  };
}
