/** Client of the weight store, which limits the rate of loads. */
import {fail, ok, type ModelName, type Result} from '@chivewick/common';
import {Agent, request} from 'undici';

const DEFAULT_TIMEOUT_MS = 2_000;
const MS_PER_SECOND = 1_000;
/** Retry delay when a 429 response has no valid `Retry-After` header. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** The weights of the layers `from` (inclusive) to `to` (exclusive). */
export interface WeightRange {
  readonly model: ModelName;
  readonly version: string;
  readonly from: number;
  readonly to: number;
}

/** The weight store, independent of its wire format. */
export interface WeightStore {
  /**
   * Requests one load. Fails with `overloaded` and `retryAfterMs` when the
   * rate limit is reached, with `gone` for weights that do not exist, and with
   * `endpoint_failed` when the store does not answer or returns another status.
   */
  load(range: WeightRange): Promise<Result<{readonly bytes: number}>>;
  close(): Promise<void>;
}

/**
 * Creates a client of the weight store over HTTP. It never retries: the caller
 * decides which load comes next.
 *
 * @example
 * const weights = createWeightStore({address: '10.0.0.7:7002'});
 * const loaded = await weights.load({model, version: 'v2', from: 0, to: 8});
 * if (!loaded.ok) await sleep(loaded.err.retryAfterMs ?? 1_000);
 */
export function createWeightStore(options: {
  /** `ip:port` of the weight store. */
  readonly address: string;
  /** Timeout of a connection and of a request, in milliseconds. */
  readonly timeoutMs?: number;
}): WeightStore {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const dispatcher = new Agent({connect: {timeout: timeoutMs}});
  return {
    async load({model, version, from, to}) {
      const path = [model, version, `${from}-${to}`]
        .map(encodeURIComponent)
        .join('/');
      try {
        const res = await request(`http://${options.address}/weights/${path}`, {
          dispatcher,
          signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await res.body.text();
        if (res.statusCode === 200) {
          return ok(JSON.parse(text) as {bytes: number});
        }
        return failureOf(res.statusCode, res.headers['retry-after'], path);
      } catch (err) {
        return fail('endpoint_failed', `weight store: ${String(err)}`, {
          ran: 'unknown',
          cause: err,
        });
      }
    },
    close: () => dispatcher.destroy(),
  };
}

function failureOf(
  status: number,
  retryAfter: string | string[] | undefined,
  path: string,
): Result<never> {
  if (status === 404) return fail('gone', `weight store has no ${path}`);
  if (status !== 429) {
    return fail('endpoint_failed', `weight store answered ${status}`);
  }
  return fail('overloaded', 'rate limit of the weight store is reached', {
    retryAfterMs: retryAfterMs(retryAfter),
  });
}

/** Reads `Retry-After`: whole seconds or an HTTP date (RFC 9110, 10.2.3). */
function retryAfterMs(header: string | string[] | undefined): number {
  const value = Array.isArray(header) ? header[0] : header;
  if (value === undefined) return DEFAULT_RETRY_AFTER_MS;
  const seconds = Number(value);
  if (Number.isFinite(seconds) && seconds >= 0) return seconds * MS_PER_SECOND;
  const delayMs = Date.parse(value) - Date.now();
  return Number.isNaN(delayMs) ? DEFAULT_RETRY_AFTER_MS : Math.max(0, delayMs);
}
