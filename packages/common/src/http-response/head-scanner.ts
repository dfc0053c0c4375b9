/** Begins each head; Node's parser takes other protocols too, and does not report them. */
const PROTOCOL = 'HTTP/';
/** Position of the first digit of the status, as in `HTTP/1.1 200`. */
const STATUS_AT = 9;
const INTERIM = '1'.charCodeAt(0);
const CR = '\r'.charCodeAt(0);
const LF = '\n'.charCodeAt(0);
const WHITE_SPACE = [' ', '\t'].map(text => text.charCodeAt(0));

/** Reads the heads of one response, interim ones included, as their bytes arrive. */
export interface HeadScanner {
  /** Reads the next bytes; returns which rule they break, undefined if none so far. */
  scan(chunk: Uint8Array): string | undefined;
  /** Whether the final head has been read; no further bytes are. */
  isDone(): boolean;
}

/**
 * Creates a scanner for what an HTTP parser does not report: the protocol of each head, and
 * whether a line is folded, that is, continues in the next one.
 *
 * @example
 * const scanner = createHeadScanner();
 * scanner.scan(Buffer.from('RTSP/1.0 200 OK\r\n')); // 'another protocol'
 */
export function createHeadScanner(): HeadScanner {
  /** Number of the line within its head, and of the next character within the line. */
  let line = 0;
  let column = 0;
  let isInterim = false;
  let done = false;

  function scanByte(byte: number): string | undefined {
    const isStart = line === 0 && column < PROTOCOL.length;
    if (isStart && byte !== PROTOCOL.charCodeAt(column))
      return 'another protocol';
    if (byte === CR) return undefined;
    if (byte === LF) return endLine();
    if (line === 0 && column === STATUS_AT) isInterim = byte === INTERIM;
    if (column === 0 && WHITE_SPACE.includes(byte)) return 'a folded line';
    column += 1;
    return undefined;
  }

  function endLine(): undefined {
    const isHeadEnd = column === 0;
    done = isHeadEnd && !isInterim;
    line = isHeadEnd ? 0 : line + 1;
    column = 0;
  }

  return {
    scan(chunk) {
      for (const byte of chunk) {
        if (done) return undefined;
        const fault = scanByte(byte);
        if (fault !== undefined) return fault;
      }
      return undefined;
    },
    isDone: () => done,
  };
}
