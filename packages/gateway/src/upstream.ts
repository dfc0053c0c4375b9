import {Agent} from 'undici';
import type {Headers} from './types.js';

/** A connection in the same region takes a few milliseconds to open. */
const CONNECT_TIMEOUT_MS = 300;

/** A request as it goes to an endpoint. */
export interface UpstreamRequest {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body?: Buffer;
}

/** Progress of a call; nothing is told after `ended`, `failed` or `abort`. */
export interface UpstreamEvents {
  /** The request is being written: from now on it may run. */
  sent(): void;
  answered(status: number, headers: Headers): void;
  data(chunk: Buffer): void;
  /** The answer is whole. */
  ended(): void;
  failed(err: Error): void;
}

export interface UpstreamCall {
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Sends requests to endpoints. */
export interface Upstream {
  send(req: UpstreamRequest, events: UpstreamEvents): UpstreamCall;
  close(): Promise<void>;
}

/**
 * Creates the client of endpoints. Each request has a connection of its own: an
 * endpoint may send bytes after a complete answer or drop an idle connection,
 * and neither may reach the next request.
 *
 * @example
 * const call = upstream.send({address, method: 'GET', path: '/', headers: []}, events);
 */
export function createUpstream(): Upstream {
  const agent = new Agent({
    pipelining: 0,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false},
  });
  return {
    send(req, events) {
      let done = false;
      let controller:
        | {abort(err: Error): void; pause(): void; resume(): void}
        | undefined;
      const finish = (tell: () => void) => {
        if (done) return;
        done = true;
        tell();
      };
      const abort = () => {
        done = true;
        controller?.abort(new Error('aborted by the host'));
      };
      agent.dispatch(
        {
          origin: `http://${req.address}`,
          method: req.method as 'GET',
          path: req.path,
          headers: req.headers,
          body: req.body ?? null,
        },
        {
          onRequestStart(started) {
            controller = started;
            if (done) return started.abort(new Error('aborted by the host'));
            events.sent();
          },
          onResponseStart(_controller, status, headers) {
            if (done || status < 200) return;
            events.answered(status, headers);
          },
          onResponseData(_controller, chunk) {
            if (!done) events.data(chunk);
          },
          onResponseEnd() {
            finish(() => events.ended());
          },
          onResponseError(_controller, err) {
            finish(() => events.failed(err));
          },
        },
      );
      return {
        abort,
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
      };
    },
    close: () => agent.destroy(),
  };
}
