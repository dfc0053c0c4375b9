/** Wire format of the engine protocol over HTTP (design page, section 4.2). */
import {
  fail,
  failure,
  FailureError,
  ok,
  watchResponse,
  type EndpointId,
  type ErrorKind,
  type Result,
} from '@chivewick/common';
import {createDirectAgent} from '@chivewick/tunnels';
import {Agent, request, type IncomingMessage} from 'node:http';
import type {EngineApi, EngineFrame, FaultFrame} from './engine-api.js';
import {FRAME_FAULTS, parseFrames} from './frames.js';

/** Error kind for each `kind` in an error response of an engine. */
const ERROR_KINDS: Record<string, ErrorKind> = {
  next_stage_failed: 'endpoint_failed',
  stale_epoch: 'version_mismatch',
  stale_fence: 'version_mismatch',
  leaving: 'no_route',
  not_loaded: 'no_route',
  overloaded: 'overloaded',
  forbidden: 'forbidden',
  not_found: 'gone',
  invalid_request: 'invalid_request',
};

const CONNECT_TIMEOUT_MS = 2000;
const DEFAULT_TIMEOUT_MS = 5000;

/** Body of an error response of an engine. */
interface EngineError {
  readonly kind?: string;
  readonly endpoint?: EndpointId;
}

/**
 * Creates an engine client. Calls resolve with a failure and do not throw. Streams throw
 * `FailureError` when the connection fails and yield an error response as a `fault` frame.
 * `timeoutMs` (default 5000) applies to calls without a time limit of their own.
 *
 * @example
 * const engines = createEngineApi();
 * const status = await engines.status('127.0.0.1:9000', 500);
 * await engines.close();
 */
export function createEngineApi(
  options: {timeoutMs?: number} = {},
): EngineApi & {close(): Promise<void>} {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  // On a reused connection, a late response looks like the response to the next call.
  const agent = createDirectAgent({
    connectMs: CONNECT_TIMEOUT_MS,
    maxSockets: Infinity,
  });
  // Statuses are polled often; an older one of the same engine does no harm.
  const pollAgent = new Agent({keepAlive: true});
  const call = <T>(
    address: string,
    path: string,
    body?: unknown,
    limitMs = timeoutMs,
    via: readonly Agent[] = [agent],
  ) => callEngine<T>(via, `http://${address}/engine${path}`, body, limitMs);
  const sessionPath = (session: string) =>
    `/sessions/${encodeURIComponent(session)}`;

  return {
    status: (address, limitMs) =>
      call(address, '/status', undefined, limitMs, [pollAgent, agent]),
    open: (req, signal) =>
      streamFrames(
        agent,
        `http://${req.route[0].address}/engine/sessions`,
        req,
        req.epoch,
        signal,
      ),
    attach: (address, session, body, signal) =>
      streamFrames(
        agent,
        `http://${address}/engine${sessionPath(session)}/attach`,
        body,
        body.epoch,
        signal,
      ),
    async cancel(address, session, epoch) {
      const path = `${sessionPath(session)}/cancel`;
      const done = await call<unknown>(address, path, {epoch});
      return done.ok ? ok(undefined) : done;
    },
    session: (address, session, limitMs) =>
      call(address, sessionPath(session), undefined, limitMs),
    exportKv: (address, session, layers) =>
      call(address, `${sessionPath(session)}/kv/export`, layers),
    importKv: (address, session, body) =>
      call(address, `${sessionPath(session)}/kv/import`, body),
    cacheEvents: (address, after) => call(address, `/events?after=${after}`),
    order: (address, body) => call(address, '/orders', body),
    close() {
      agent.destroy();
      pollAgent.destroy();
      return Promise.resolve();
    },
  };
}

/**
 * Sends a request; resolves with a response whose head is sound, otherwise rejects. It is
 * sent again through the next agent if the engine had closed a connection that was kept.
 */
function send(
  [agent, ...others]: readonly Agent[],
  url: string,
  body: unknown,
  signal: AbortSignal,
): Promise<IncomingMessage> {
  const payload = body === undefined ? undefined : JSON.stringify(body);
  const options =
    payload === undefined
      ? {method: 'GET'}
      : {method: 'POST', headers: {'content-type': 'application/json'}};
  return new Promise((resolve, reject) => {
    const req = request(url, {...options, agent, signal});
    let hasHead = false;
    req.on('error', (err: NodeJS.ErrnoException) => {
      const wasKept = req.reusedSocket && err.code === 'ECONNRESET';
      if (!wasKept || hasHead || others.length === 0) return reject(err);
      return resolve(send(others, url, body, signal));
    });
    // A change of protocol closes the connection without an error.
    req.once('close', () => reject(new Error('connection closed')));
    watchResponse(req, {
      answered(res) {
        hasHead = true;
        resolve(res);
      },
      broken(err) {
        hasHead = true;
        reject(err);
      },
    });
    req.end(payload);
  });
}

async function readJson<T>(res: IncomingMessage): Promise<T> {
  const chunks: Buffer[] = [];
  for await (const chunk of res) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as T;
}

async function callEngine<T>(
  agents: readonly Agent[],
  url: string,
  body: unknown,
  timeoutMs: number,
): Promise<Result<T>> {
  const timeout = new AbortController();
  const timer = setTimeout(() => timeout.abort(), timeoutMs);
  try {
    const res = await send(agents, url, body, timeout.signal);
    const payload = await readJson<T & EngineError>(res);
    if (res.statusCode === 200) return ok(payload);
    const kind = ERROR_KINDS[payload.kind ?? ''] ?? 'endpoint_failed';
    return fail(kind, `engine refused ${url}: ${payload.kind}`);
  } catch (err) {
    if (timeout.signal.aborted)
      return fail(
        'deadline_exceeded',
        `no answer from ${url} within ${timeoutMs} ms`,
        {cause: err},
      );
    return fail('endpoint_failed', `${url}: ${String(err)}`, {cause: err});
  } finally {
    clearTimeout(timer);
  }
}

async function* streamFrames(
  agent: Agent,
  url: string,
  body: unknown,
  epoch: number,
  signal: AbortSignal,
): AsyncGenerator<EngineFrame> {
  try {
    const res = await send([agent], url, body, signal);
    if (res.statusCode !== 200) {
      yield toFaultFrame(await readJson<EngineError>(res), epoch);
      return;
    }
    for await (const frame of parseFrames(res)) {
      yield frame;
      if (frame.type !== 'token') return;
    }
  } catch (err) {
    throw new FailureError(
      failure('endpoint_failed', `${url}: ${String(err)}`, {cause: err}),
    );
  }
  throw new FailureError(
    failure(
      'endpoint_failed',
      `${url}: stream ended without a done or fault frame`,
    ),
  );
}

function toFaultFrame(error: EngineError, epoch: number): FaultFrame {
  const {kind, endpoint} = error;
  const known = FRAME_FAULTS.find(fault => fault === kind);
  return {
    type: 'fault',
    epoch,
    endpoint,
    kind: known ?? 'next_stage_failed',
  };
}
