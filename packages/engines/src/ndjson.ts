/** Newline-delimited JSON from a byte stream. */

/**
 * Yields the values of a stream of JSON lines. Chunks may split a value at any
 * byte. Empty lines are skipped. An incomplete last line is dropped, because it
 * comes from a broken connection. Throws `SyntaxError` on a complete line that is
 * not JSON, and `RangeError` on an incomplete line over `maxLineBytes` (default
 * 1 MiB).
 *
 * @example
 * for await (const frame of parseJsonLines<Frame>(res.body)) handle(frame);
 */
export async function* parseJsonLines<T>(
  chunks: AsyncIterable<Uint8Array>,
  maxLineBytes = 1_048_576,
): AsyncGenerator<T> {
  let rest = Buffer.alloc(0);
  for await (const chunk of chunks) {
    let buffer =
      rest.length === 0 ? Buffer.from(chunk) : Buffer.concat([rest, chunk]);
    for (;;) {
      const end = buffer.indexOf(0x0a);
      if (end === -1) break;
      const line = buffer.toString('utf8', 0, end).trim();
      buffer = buffer.subarray(end + 1);
      if (line !== '') yield JSON.parse(line) as T;
    }
    if (buffer.length > maxLineBytes)
      throw new RangeError(`line over ${maxLineBytes} bytes`);
    rest = buffer;
  }
}
