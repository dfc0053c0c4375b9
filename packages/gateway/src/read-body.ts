import type {IncomingMessage} from 'node:http';
import {
  createBodyBuffer,
  createReadingTurns,
  type Charge,
} from './intake/index.js';

/** Bodies of fewer chunks, or larger ones on average, are read without turns. */
const MAX_SMALL_CHUNKS = 1_000;
const MIN_MEAN_CHUNK_BYTES = 16;

const turns = createReadingTurns(callback => setImmediate(callback));

/** Outcome of reading a request body. */
export type Body =
  | {readonly kind: 'read'; readonly bytes?: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'too_slow'}
  /** The bytes of this process ran short. */
  | {readonly kind: 'evicted'}
  | {readonly kind: 'aborted'};

/**
 * Reads the complete body of a request; `bytes` is undefined if it has none. The bytes
 * are charged, and stay so after the body has been read.
 *
 * @param limits `maxBytes` of the body, `idleMs` as the maximum time without a
 *     byte, and `untilMs` as the deadline, by `performance.now()`.
 * @example
 * const body = await readBody(req, {maxBytes: 4_194_304, idleMs: 15_000, untilMs}, charge);
 */
export function readBody(
  req: IncomingMessage,
  limits: {maxBytes: number; idleMs: number; untilMs: number},
  charge: Charge,
): Promise<Body> {
  const {maxBytes, idleMs, untilMs} = limits;
  const length = Number(req.headers['content-length'] ?? 0);
  if (length > maxBytes) return Promise.resolve({kind: 'too_large'});
  return new Promise(resolve => {
    const buffer = createBodyBuffer(bytes => charge.add(bytes));
    let lastByteMs = performance.now();
    let timer: NodeJS.Timeout;
    let isFinished = false;
    let chunks = 0;
    let isWaiting = false;
    const {socket} = req;
    // The parser resumes the socket after each chunk.
    const pauseAgain = () => void (isWaiting && socket.pause());
    const waitForTurn = () => {
      isWaiting = true;
      socket.pause();
      turns.wait(() => {
        isWaiting = false;
        socket.resume();
      });
    };
    const finish = (body: Body) => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(timer);
      charge.setEvict(undefined);
      if (body.kind !== 'read') {
        charge.set(0);
        buffer.clear();
      }
      req.off('data', append);
      socket.off('resume', pauseAgain);
      resolve(body);
    };
    const timeLeftMs = () =>
      Math.min(lastByteMs + idleMs, untilMs) - performance.now();
    // A new timer for each byte would take most of the time of a body in small chunks.
    const checkTime = () => {
      const leftMs = timeLeftMs();
      if (leftMs > 0) timer = setTimeout(checkTime, leftMs);
      // After a suspension of this process timers run before sockets are read.
      else setImmediate(checkTimeAfterRead);
    };
    const checkTimeAfterRead = () => {
      if (isFinished) return;
      if (timeLeftMs() <= 0) return finish({kind: 'too_slow'});
      checkTime();
    };
    const append = (chunk: Buffer) => {
      lastByteMs = performance.now();
      if (buffer.length + chunk.length > maxBytes)
        return finish({kind: 'too_large'});
      chunks += 1;
      buffer.append(chunk);
      const isSmall =
        chunks > MAX_SMALL_CHUNKS &&
        buffer.length < MIN_MEAN_CHUNK_BYTES * chunks;
      if (isSmall && !isWaiting && !isFinished) waitForTurn();
    };
    charge.setEvict(() => finish({kind: 'evicted'}));
    checkTime();
    socket.on('resume', pauseAgain);
    req.on('data', append);
    req.on('end', () =>
      finish({
        kind: 'read',
        bytes: buffer.length === 0 ? undefined : buffer.take(),
      }),
    );
    req.on('error', () => finish({kind: 'aborted'}));
    req.on('close', () => finish({kind: 'aborted'}));
  });
}
