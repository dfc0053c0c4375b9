import {
  failure,
  FailureError,
  fail,
  ok,
  readLines,
  type Result,
} from '@chivewick/common';
import {Agent, request} from 'undici';
import type {
  ExpectedVersion,
  ObjectApi,
  ObjectChange,
  StoredObject,
  WriteOutcome,
} from './object-api.js';

const DEFAULT_TIMEOUT_MS = 1_000;
/** A watch that receives no line for this time is treated as broken. */
const WATCH_IDLE_TIMEOUT_MS = 5_000;

export interface ObjectApiOptions {
  /** `ip:port` of the object API. */
  readonly address: string;
  readonly timeoutMs?: number;
  /** Called after each call, for metrics. */
  readonly onCall?: (operation: string, outcome: string) => void;
}

/** Object API client over HTTP; `close` ends its connections and watches. */
export interface HttpObjectApi extends ObjectApi {
  close(): Promise<void>;
}

/**
 * Creates a client of the object API over HTTP (section 4.3 of the design
 * page). It never retries: its callers know whether a repeat is safe.
 *
 * @example
 * const api = createObjectApi({address: '10.0.0.5:7000'});
 * const plans = await api.get('lists/plans');
 */
export function createObjectApi(options: ObjectApiOptions): HttpObjectApi {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const base = `http://${options.address}`;
  const dispatcher = new Agent({
    connections: 16,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    connect: {timeout: timeoutMs},
  });
  const watchDispatcher = new Agent({
    headersTimeout: timeoutMs,
    bodyTimeout: WATCH_IDLE_TIMEOUT_MS,
    connect: {timeout: timeoutMs},
  });
  const count = options.onCall ?? (() => {});

  async function read<T>(path: string): Promise<Result<T | undefined>> {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const res = await request(`${base}${path}`, {dispatcher, signal});
      const text = await res.body.text();
      count('read', String(res.statusCode));
      if (res.statusCode === 404) return ok(undefined);
      if (res.statusCode === 200) return ok(JSON.parse(text) as T);
      return unavailable(`object API responded with ${res.statusCode}`);
    } catch (err) {
      count('read', 'failed');
      return unavailable((err as Error).message);
    }
  }

  async function write(
    method: 'PUT' | 'DELETE',
    key: string,
    expected: ExpectedVersion,
    body?: string,
  ): Promise<WriteOutcome> {
    const condition: Record<string, string> =
      expected === 'absent'
        ? {'if-none-match': '*'}
        : {'if-match': String(expected)};
    try {
      const res = await request(`${base}${pathOf(key)}`, {
        method,
        dispatcher,
        body,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {...condition, 'content-type': 'application/json'},
      });
      const text = await res.body.text();
      count('write', String(res.statusCode));
      if (res.statusCode === 412) return {kind: 'conflict'};
      if (res.statusCode !== 200) {
        return {
          kind: 'unknown',
          message: `object API responded with ${res.statusCode}`,
        };
      }
      const {version} = JSON.parse(text) as {version: number};
      return {kind: 'written', version};
    } catch (err) {
      count('write', 'failed');
      return {kind: 'unknown', message: (err as Error).message};
    }
  }

  return {
    get: key => read<StoredObject>(pathOf(key)),
    async list(prefix) {
      const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
      const found = await read<{objects: StoredObject[]}>(path);
      return found.ok ? ok(found.value?.objects ?? []) : found;
    },
    put: (key, value, expected) =>
      write('PUT', key, expected, JSON.stringify(value)),
    remove: (key, expected) => write('DELETE', key, expected),
    watch: (prefix, since, signal) =>
      watch(base, watchDispatcher, prefix, since, signal),
    async close() {
      await dispatcher.destroy();
      await watchDispatcher.destroy();
    },
  };
}

async function* watch(
  base: string,
  dispatcher: Agent,
  prefix: string,
  since: number,
  signal: AbortSignal,
): AsyncIterable<ObjectChange> {
  const query = `prefix=${encodeURIComponent(prefix)}&since=${since}`;
  try {
    const res = await request(`${base}/watch?${query}`, {dispatcher, signal});
    if (res.statusCode !== 200) {
      await res.body.dump();
      throw new Error(`watch responded with ${res.statusCode}`);
    }
    for await (const line of readLines(res.body)) {
      const change = JSON.parse(line) as ObjectChange | {heartbeat: true};
      if ('key' in change) yield change;
    }
  } catch (err) {
    if (signal.aborted) return;
    throw new FailureError(
      failure('platform_unavailable', (err as Error).message),
    );
  }
}

function pathOf(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function unavailable(message: string): Result<never> {
  return fail('platform_unavailable', message);
}
