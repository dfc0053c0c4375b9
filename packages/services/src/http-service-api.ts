import {failure, watchResponse} from '@chivewick/common';
import {createDirectAgent} from '@chivewick/tunnels';
import {
  request,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type {
  ServiceResponse,
  ServiceApi,
  ServiceCall,
  ServiceOutcome,
} from './service-api.js';

/** A service client that is used until it is closed. */
export interface HttpServiceApi extends ServiceApi {
  close(): Promise<void>;
}

/** Ends a call, for a reason. */
type Abort = (reason: string) => void;

const CONNECT_TIMEOUT_MS = 2_000;
const CONNECTIONS_PER_ENDPOINT = 64;

/**
 * Creates the HTTP client for plain services. Each call has its own connection and is never
 * sent twice: on a reused connection, a late response looks like the response to the next
 * call. A call that fails before any byte is written is `not_sent`;
 * every later failure is `unknown`.
 *
 * @example
 * const services = createServiceApi();
 * const outcome = await services.call('10.0.0.7:80', {method: 'GET', path: '/status'}, {timeoutMs: 2_000});
 */
export function createServiceApi(): HttpServiceApi {
  const agent = createDirectAgent({
    connectMs: CONNECT_TIMEOUT_MS,
    maxSockets: CONNECTIONS_PER_ENDPOINT,
  });
  const running = new Set<Abort>();
  return {
    call: (address, call, options) =>
      send({agent, running}, address, call, options),
    close() {
      // Calls that wait for a connection must not be sent later.
      for (const abort of running) abort('client was closed');
      agent.destroy();
      return Promise.resolve();
    },
  };
}

function send(
  {agent, running}: {agent: Agent; running: Set<Abort>},
  address: string,
  call: ServiceCall,
  {timeoutMs, signal}: {timeoutMs: number; signal?: AbortSignal},
): Promise<ServiceOutcome> {
  return new Promise(resolve => {
    let sent = false;
    let req: ClientRequest | undefined;
    let res: IncomingMessage | undefined;
    const settle = (outcome: ServiceOutcome) => {
      clearTimeout(timer);
      running.delete(abort);
      signal?.removeEventListener('abort', cancel);
      resolve(outcome);
    };
    const fail = ({message}: Error) => settle(failedOutcome(sent, message));
    const abort = (reason: string) => {
      fail(new Error(reason));
      req?.destroy();
    };
    const cancel = () => abort('call was cancelled');
    const timer = setTimeout(
      () => abort(`no answer within ${timeoutMs} ms`),
      timeoutMs,
    );
    if (signal?.aborted) return cancel();
    signal?.addEventListener('abort', cancel);
    running.add(abort);
    try {
      req = request(requestOptions(agent, address, call));
    } catch (err) {
      // Characters that HTTP does not allow.
      return fail(err as Error);
    }
    req.once('socket', socket => {
      // The call is written as soon as the connection is open.
      socket.once('connect', () => (sent = true));
    });
    req.on('error', err => {
      // Bytes after a complete response are no part of it.
      if (!res?.complete) fail(err);
    });
    req.once('close', () => {
      if (res === undefined) fail(new Error('connection closed'));
    });
    watchResponse(req, {
      answered(response) {
        res = response;
        readResponse(response).then(
          answer => settle({kind: 'answered', answer}),
          fail,
        );
      },
      broken: fail,
    });
    req.end(call.body);
  });
}

/** Reads a response to its end; rejects if its connection ends before. */
async function readResponse(res: IncomingMessage): Promise<ServiceResponse> {
  const chunks: Buffer[] = [];
  for await (const chunk of res) chunks.push(chunk as Buffer);
  return {
    status: res.statusCode ?? 0,
    contentType: res.headers['content-type'] ?? '',
    body: Buffer.concat(chunks).toString('utf8'),
  };
}

function requestOptions(agent: Agent, address: string, call: ServiceCall) {
  const [host, port] = address.split(':');
  const {method, path, contentType, idempotencyKey, traceparent} = call;
  const headers = {
    'content-type': contentType,
    'idempotency-key': idempotencyKey,
    traceparent,
    connection: 'close',
  };
  const given = Object.entries(headers).filter(([, value]) => value);
  return {host, port, method, path, agent, headers: Object.fromEntries(given)};
}

function failedOutcome(sent: boolean, message: string): ServiceOutcome {
  if (sent) {
    const err = failure('outcome_unknown', `service call failed: ${message}`);
    return {kind: 'unknown', err};
  }
  const err = failure('endpoint_failed', `service not reached: ${message}`, {
    ran: 'not_run',
  });
  return {kind: 'not_sent', err};
}
