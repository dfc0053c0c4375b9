import {createByteBuffer} from './byte-buffer.js';

/** One event of a stream, with the bytes as sent by the endpoint. */
export interface StreamEvent {
  /** Undefined for an event without a numeric id. */
  readonly id?: number;
  readonly bytes: Buffer;
}

const LF = 10;
const CR = 13;
const COLON = 58;

/** Splits an event stream into complete events. */
export interface EventSplitter {
  push(chunk: Buffer): StreamEvent[];
  /** Number of bytes of the last, incomplete event. */
  restBytes(): number;
}

/**
 * Creates a splitter. Only complete events may be forwarded: an endpoint may fail in
 * the middle of one, and the stream then resumes on another endpoint. Each byte is
 * looked at once and copied a bounded number of times, however small the chunks are.
 *
 * @example
 * for (const event of splitter.push(chunk)) res.write(event.bytes);
 */
export function createEventSplitter(): EventSplitter {
  /** The incomplete event. */
  const pending = createByteBuffer();
  /** Whether the current line has had no byte but a CR so far. */
  let isLineEmpty = false;

  function take(part: Buffer): StreamEvent {
    if (pending.length === 0) return {id: idOf(part), bytes: part};
    pending.append(part);
    const bytes = pending.take();
    return {id: idOf(bytes), bytes};
  }

  return {
    push(chunk) {
      const events: StreamEvent[] = [];
      let start = 0;
      for (let index = 0; index < chunk.length; index++) {
        const byte = chunk[index];
        if (byte === LF && isLineEmpty) {
          events.push(take(chunk.subarray(start, index + 1)));
          start = index + 1;
          isLineEmpty = false;
        } else if (byte === LF) isLineEmpty = true;
        else if (byte !== CR) isLineEmpty = false;
      }
      if (start < chunk.length) pending.append(chunk.subarray(start));
      return events;
    },
    restBytes: () => pending.length,
  };
}

/**
 * Whether an event has only comments, which keep a connection open.
 *
 * @example
 * isComment(Buffer.from(': still here\n\n')); // true
 */
export function isComment(event: Buffer): boolean {
  const [first] = event;
  if (first !== COLON && first !== LF && first !== CR) return false;
  return /^(?::[^\n]*\n|\r?\n)+$/.test(event.toString('latin1'));
}

function idOf(event: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(event.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}
