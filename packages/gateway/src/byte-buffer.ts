/** Above the size of most events and error responses. */
const MIN_CAPACITY_BYTES = 256;

/** Collects the bytes of a response. */
export interface ByteBuffer {
  append(part: Buffer): void;
  readonly length: number;
  /** Returns a copy of all bytes, and removes them. */
  take(): Buffer;
}

/**
 * Creates an empty buffer. A list of the parts would take a hundred bytes for each byte
 * that arrives by itself, and joining them with each new part would take quadratic time.
 *
 * @example
 * buffer.append(Buffer.from('a'));
 * buffer.take().toString(); // 'a'
 */
export function createByteBuffer(): ByteBuffer {
  let bytes: Buffer = Buffer.alloc(0);
  let length = 0;
  return {
    append(part) {
      const needed = length + part.length;
      if (needed > bytes.length) {
        const grown = Buffer.alloc(Math.max(MIN_CAPACITY_BYTES, 2 * needed));
        bytes.copy(grown, 0, 0, length);
        bytes = grown;
      }
      part.copy(bytes, length);
      length = needed;
    },
    get length() {
      return length;
    },
    take() {
      const taken = Buffer.from(bytes.subarray(0, length));
      length = 0;
      return taken;
    },
  };
}

/** Bytes that this host buffers for all responses together. */
export interface BufferedBytes {
  /** Adds a number of bytes, negative for those that are released. */
  add(bytes: number): void;
  total(): number;
}

/**
 * Creates the count.
 *
 * @example
 * buffered.add(chunk.length);
 * if (buffered.total() > MAX_TOTAL_BYTES) abort();
 */
export function countBufferedBytes(): BufferedBytes {
  let total = 0;
  return {
    add: bytes => void (total += bytes),
    total: () => total,
  };
}
