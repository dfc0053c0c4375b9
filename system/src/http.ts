/** HTTP helpers for tests and examples. */
import {request} from 'undici';

const TIMEOUT_MS = 2_000;

/**
 * Reads JSON from a URL; returns undefined if there is no response within 2 s or
 * the response is an error.
 *
 * @example
 * const status = await readJson<{state: string}>('http://127.0.0.1:9000/engine/status');
 */
export async function readJson<T>(
  url: string,
  key?: string,
): Promise<T | undefined> {
  try {
    const headers: Record<string, string> =
      key === undefined ? {} : {authorization: `Bearer ${key}`};
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const res = await request(url, {headers, signal});
    const text = await res.body.text();
    return res.statusCode < 300 ? (JSON.parse(text) as T) : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Posts JSON; throws on an error status.
 *
 * @example
 * await postJson(`http://${objectApi}/faults`, {outage: true});
 */
export async function postJson(url: string, value: object): Promise<void> {
  await sendJson('POST', url, value);
}

/**
 * Sends JSON with a method; throws on an error status and returns the body.
 *
 * @example
 * await sendJson('PUT', `http://${hostList}/hosts`, {entries});
 */
export async function sendJson(
  method: 'POST' | 'PUT',
  url: string,
  value: object,
  headers: Record<string, string> = {},
): Promise<unknown> {
  const res = await request(url, {
    method,
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(value),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300)
    throw new Error(`${method} ${url}: ${res.statusCode} ${text}`);
  return text === '' ? undefined : JSON.parse(text);
}
