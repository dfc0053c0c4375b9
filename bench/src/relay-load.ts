/** Callers of the relay bench and their measurements. */
import {setMaxListeners} from 'node:events';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {clockUs} from './relay-engine.js';

const MAX_LATENCY_US = 10_000_000;
const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

/** A relay under test. */
export interface Target {
  readonly policy: string;
  /** Base URL of the API for callers. */
  readonly url: string;
  /** URL of its metrics; `key` is the bearer token for it. */
  readonly metrics: string;
  readonly key: string;
}

/** CPU seconds and memory of a process. */
export interface Usage {
  readonly cpuS: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

/** Counts of running callers. */
export interface Load {
  tokens: number;
  requests: number;
  failed: number;
  /** Error or end of the body of the last response that was not complete. */
  failure: string;
  /** Time from the engine's write to the caller's read, in microseconds. */
  latency: Histogram;
  stop(): Promise<void>;
}

/**
 * Reads the CPU time and memory that a process reports in its metrics.
 *
 * @example
 * const {cpuS} = await readUsage(target);
 */
export async function readUsage(target: Target): Promise<Usage> {
  const res = await request(target.metrics, {
    headers: {authorization: `Bearer ${target.key}`},
  });
  const text = await res.body.text();
  const value = (name: string) =>
    Number(new RegExp(`^${name}(?:{[^}]*})? (\\S+)`, 'm').exec(text)?.[1]);
  return {
    cpuS:
      value('process_cpu_user_seconds_total') +
      value('process_cpu_system_seconds_total'),
    rssBytes: value('process_resident_memory_bytes'),
    heapBytes: value('nodejs_heap_size_used_bytes'),
  };
}

/**
 * Starts callers that each stream one completion after another.
 *
 * @example
 * const load = startLoad(target, {streams: 100, paceMs: 20, tokens: 500, callerKey});
 */
export function startLoad(
  target: Target,
  options: {
    streams: number;
    /** Time between two tokens; 0 sends them as fast as possible. */
    paceMs: number;
    /** Tokens of each completion. */
    tokens: number;
    callerKey: string;
    /** Total completions; without it, callers continue until `stop`. */
    requests?: number;
  },
): Load & {finished: Promise<void>} {
  const {streams, paceMs, tokens, callerKey} = options;
  const stopped = new AbortController();
  setMaxListeners(0, stopped.signal);
  const load = {
    tokens: 0,
    requests: 0,
    failed: 0,
    failure: '',
    latency: createHistogram(),
  };
  let started = 0;
  const startsNext = () =>
    !stopped.signal.aborted && started++ < (options.requests ?? Infinity);
  const body = JSON.stringify({
    model: 'rota-draft',
    prompt: `pace=${paceMs}`,
    max_tokens: tokens,
    stream: true,
  });
  const send = () =>
    request(`${target.url}/v1/completions`, {
      dispatcher: agent,
      method: 'POST',
      signal: stopped.signal,
      headers: {
        authorization: `Bearer ${callerKey}`,
        'content-type': 'application/json',
      },
      body,
    });
  const fail = (reason: string) => {
    load.failed += 1;
    load.failure = reason;
  };
  async function call(): Promise<void> {
    while (startsNext()) {
      try {
        const res = await send();
        let tail = '';
        for await (const chunk of res.body) {
          const text = String(chunk);
          count(load, text);
          tail = text.slice(-300);
        }
        load.requests += 1;
        if (!tail.includes('[DONE]')) fail(tail);
      } catch (err) {
        if (!stopped.signal.aborted) fail(String(err));
      }
    }
  }
  const finished = Promise.all(Array.from({length: streams}, call)).then(
    () => {},
  );
  return Object.assign(load, {
    finished,
    stop() {
      stopped.abort();
      return finished;
    },
  });
}

/** Creates an empty histogram of latencies in microseconds. */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}

// A token's text is ` @<microseconds>;`. One that is split over two chunks is
// counted by its closing semicolon but not timed.
function count(load: Pick<Load, 'tokens' | 'latency'>, chunk: string): void {
  const now = clockUs();
  for (let at = chunk.indexOf(' @'); at !== -1;) {
    const end = chunk.indexOf(';', at);
    if (end === -1) return;
    load.tokens += 1;
    const latencyUs = now - Number(chunk.slice(at + 2, end));
    load.latency.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, latencyUs)));
    at = chunk.indexOf(' @', end);
  }
}
