/** Reads a frame stream with a time limit for each read. */
import {toFailure, type Failure} from '@chivewick/common';
import type {EngineFrame} from '@chivewick/engines';

/** Result of a read: a frame, the end of the stream, or the value of `other`. */
export type Read<T> =
  | {readonly kind: 'frame'; readonly frame: EngineFrame}
  | {readonly kind: 'broken'; readonly err: Failure}
  | {readonly kind: 'other'; readonly value: T};

export interface FrameReader {
  /**
   * Waits for the next frame or for `other`, whichever is first. A frame that
   * arrives after `other` is kept for the next read.
   */
  next<T>(other: Promise<T>): Promise<Read<T>>;
  /** Waits for the next frame, at most `limitMs`. */
  nextWithin(limitMs: number): Promise<Read<'timeout'>>;
}

/**
 * Creates a reader of a frame stream.
 *
 * @example
 * const reader = createFrameReader(engines.open(req, signal));
 * const read = await reader.nextWithin(40);
 */
export function createFrameReader(
  frames: AsyncIterable<EngineFrame>,
): FrameReader {
  const iterator = frames[Symbol.asyncIterator]();
  let pending: Promise<Read<never>> | undefined;

  const readFrame = async (): Promise<Read<never>> => {
    try {
      const {done, value} = await iterator.next();
      if (!done) return {kind: 'frame', frame: value};
      return {
        kind: 'broken',
        err: toFailure('frame stream ended without a done or fault frame'),
      };
    } catch (err) {
      return {kind: 'broken', err: toFailure(err)};
    }
  };

  const next = async <T>(other: Promise<T>): Promise<Read<T>> => {
    pending ??= readFrame();
    const read = await Promise.race<Read<T>>([
      pending,
      other.then(value => ({kind: 'other', value})),
    ]);
    if (read.kind !== 'other') pending = undefined;
    return read;
  };

  return {
    next,
    async nextWithin(limitMs) {
      let timer: NodeJS.Timeout | undefined;
      const timeout = new Promise<'timeout'>(resolve => {
        timer = setTimeout(resolve, limitMs, 'timeout');
      });
      try {
        return await next(timeout);
      } finally {
        clearTimeout(timer);
      }
    },
  };
}
