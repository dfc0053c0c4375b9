import type {IncomingMessage} from 'node:http';

/** Outcome of reading a request body. */
export type Body =
  | {readonly kind: 'read'; readonly bytes?: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'too_slow'}
  | {readonly kind: 'aborted'};

/**
 * Reads the complete body of a request; `bytes` is undefined if it has none.
 *
 * @param limits `maxBytes` of the body, `idleMs` as the maximum time without a
 *     byte, and `untilMs` as the deadline, by `performance.now()`.
 * @example
 * const body = await readBody(req, {maxBytes: 4_194_304, idleMs: 15_000, untilMs});
 */
export function readBody(
  req: IncomingMessage,
  limits: {maxBytes: number; idleMs: number; untilMs: number},
): Promise<Body> {
  const {maxBytes, idleMs, untilMs} = limits;
  const length = Number(req.headers['content-length'] ?? 0);
  if (length > maxBytes) return Promise.resolve({kind: 'too_large'});
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    let timer: NodeJS.Timeout;
    const finish = (body: Body) => {
      clearTimeout(timer);
      req.off('data', append);
      resolve(body);
    };
    const restartTimer = () => {
      clearTimeout(timer);
      const leftMs = Math.min(idleMs, untilMs - performance.now());
      timer = setTimeout(finish, Math.max(0, leftMs), {kind: 'too_slow'});
    };
    restartTimer();
    const append = (chunk: Buffer) => {
      size += chunk.length;
      restartTimer();
      if (size > maxBytes) return finish({kind: 'too_large'});
      chunks.push(chunk);
    };
    req.on('data', append);
    req.on('end', () =>
      finish({
        kind: 'read',
        bytes: size === 0 ? undefined : Buffer.concat(chunks),
      }),
    );
    req.on('error', () => finish({kind: 'aborted'}));
    req.on('close', () => finish({kind: 'aborted'}));
  });
}
