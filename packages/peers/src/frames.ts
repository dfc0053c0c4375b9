/** Maximum frame size between authenticated hosts; holds both lists at 1 MB each. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Maximum frame size before the peer has proved that it knows the secret. */
export const MAX_HELLO_BYTES = 4096;

const NEWLINE = 0x0a;

/** Splits a byte stream into newline-delimited frames of bounded size. */
export interface FrameDecoder {
  /**
   * Adds received bytes and returns the frames that they complete, or
   * `'too_long'` if a frame exceeds `maxBytes`.
   */
  push(chunk: Buffer, maxBytes: number): string[] | 'too_long';
}

/**
 * Creates a decoder; it buffers at most one incomplete frame.
 *
 * @example
 * const decoder = createFrameDecoder();
 * socket.on('data', chunk => decoder.push(chunk, MAX_FRAME_BYTES));
 */
export function createFrameDecoder(): FrameDecoder {
  let parts: Buffer[] = [];
  let bufferedBytes = 0;
  return {
    push(chunk, maxBytes) {
      const frames: string[] = [];
      let start = 0;
      for (;;) {
        const end = chunk.indexOf(NEWLINE, start);
        const part = chunk.subarray(start, end === -1 ? undefined : end);
        bufferedBytes += part.length;
        if (bufferedBytes > maxBytes) return 'too_long';
        parts.push(part);
        if (end === -1) return frames;
        frames.push(Buffer.concat(parts).toString('utf8'));
        parts = [];
        bufferedBytes = 0;
        start = end + 1;
      }
    },
  };
}
