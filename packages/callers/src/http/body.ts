import {fail, ok, type Result} from '@chivewick/common';
import type {IncomingMessage} from 'node:http';
import type {z} from 'zod';

export const MAX_BODY_BYTES = 1_000_000;

/**
 * Reads a request body of at most `MAX_BODY_BYTES` as UTF-8 text.
 *
 * Fails with `body_too_large`, or with `request_timeout` when the caller
 * disconnects.
 */
export async function readText(req: IncomingMessage): Promise<Result<string>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > MAX_BODY_BYTES) return tooLarge();
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req) {
      size += (chunk as Buffer).length;
      if (size > MAX_BODY_BYTES) return tooLarge();
      chunks.push(chunk as Buffer);
    }
  } catch {
    return fail('request_timeout', 'the request body was truncated');
  }
  return ok(Buffer.concat(chunks).toString('utf8'));
}

/**
 * Reads a JSON request body and validates it against a schema.
 *
 * Fails with `invalid_request`; the message names the invalid field.
 */
export async function readJson<S extends z.ZodType>(
  req: IncomingMessage,
  schema: S,
): Promise<Result<z.output<S>>> {
  const text = await readText(req);
  if (!text.ok) return text;
  let value: unknown;
  try {
    value = JSON.parse(text.value);
  } catch (err) {
    return fail('invalid_request', `malformed JSON: ${(err as Error).message}`);
  }
  const checked = schema.safeParse(value);
  if (checked.success) return ok(checked.data);
  const [issue] = checked.error.issues;
  const field = issue.path.join('.') || 'body';
  return fail('invalid_request', `${field}: ${issue.message}`);
}

function tooLarge(): Result<never> {
  return fail(
    'body_too_large',
    `the request body exceeds ${MAX_BODY_BYTES} bytes`,
  );
}
