import type {IncomingMessage} from 'node:http';

export type Body =
  | {readonly kind: 'read'; readonly bytes?: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'aborted'};

/**
 * Reads a request's whole body; `bytes` is undefined where it has none.
 *
 * @param maxBytes most bytes of a body.
 * @example
 * const body = await readBody(req, 4_194_304);
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Body> {
  const length = Number(req.headers['content-length'] ?? 0);
  if (length > maxBytes) return Promise.resolve({kind: 'too_large'});
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) return resolve({kind: 'too_large'});
      chunks.push(chunk);
    });
    req.on('end', () =>
      resolve({
        kind: 'read',
        bytes: size === 0 ? undefined : Buffer.concat(chunks),
      }),
    );
    req.on('error', () => resolve({kind: 'aborted'}));
    req.on('close', () => resolve({kind: 'aborted'}));
  });
}
