import type {IncomingMessage} from 'node:http';
import {fail, ok, type Result} from '@chivewick/common';

// The rest of a refused body is read and discarded for this long, so that the
// client receives the response instead of a connection reset. The connection is
// then destroyed, so that a client that never stops sending ties up no
// resources.
const DRAIN_TIMEOUT_MS = 1_000;

/**
 * Reads a JSON body of limited size within a deadline.
 *
 * @param maxBytes largest accepted body in bytes
 * @param deadlineMs time in which the complete body must arrive, in milliseconds
 * @returns the parsed value; `body_too_large`, `request_timeout` or
 *   `invalid_request` otherwise
 * @example
 * const body = await readJsonBody(req, 1_000_000, 10_000);
 */
export async function readJsonBody(
  req: IncomingMessage,
  maxBytes: number,
  deadlineMs: number,
): Promise<Result<unknown>> {
  const text = await readBody(req, maxBytes, deadlineMs);
  if (!text.ok) return text;
  try {
    return ok(JSON.parse(text.value));
  } catch (err) {
    return fail(
      'invalid_request',
      `the body is not JSON: ${(err as Error).message}`,
    );
  }
}

function readBody(
  req: IncomingMessage,
  maxBytes: number,
  deadlineMs: number,
): Promise<Result<string>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    const settle = (result: Result<string>) => {
      clearTimeout(timer);
      if (!result.ok) drain(req);
      resolve(result);
    };
    const timer = setTimeout(
      () =>
        settle(
          fail('request_timeout', `body not complete within ${deadlineMs} ms`),
        ),
      deadlineMs,
    );
    req.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes)
        return settle(
          fail('body_too_large', `the body is larger than ${maxBytes} bytes`),
        );
      chunks.push(chunk);
    });
    req.on('end', () => settle(ok(Buffer.concat(chunks).toString('utf8'))));
    req.on('error', err =>
      settle(fail('invalid_request', `body not received: ${err.message}`)),
    );
  });
}

function drain(req: IncomingMessage): void {
  req.removeAllListeners('data').resume();
  const abortTimer = setTimeout(() => req.destroy(), DRAIN_TIMEOUT_MS);
  const clearAbortTimer = () => clearTimeout(abortTimer);
  req.once('end', clearAbortTimer).once('close', clearAbortTimer);
}
