import {fail, ok, type Result} from '@chivewick/common';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';

/** A caller that reads nothing for this time is disconnected. */
const SLOW_READER_TIMEOUT_MS = 60_000;

/** Writes server-sent events with backpressure from the reader. */
export interface EventStream {
  send(data: string, id?: string): Promise<Result<void>>;
  end(): void;
}

/**
 * Starts a server-sent event stream on a response.
 *
 * @example
 * const events = createEventStream(res);
 * await events.send(JSON.stringify(chunk), eventId);
 */
export function createEventStream(res: ServerResponse): EventStream {
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-accel-buffering': 'no',
  });
  res.flushHeaders();
  return {
    async send(data, id) {
      if (res.destroyed) return callerDisconnected();
      const prefix = id === undefined ? '' : `id: ${id}\n`;
      if (res.write(`${prefix}data: ${data}\n\n`)) return ok(undefined);
      return waitForDrain(res);
    },
    end: () => void res.end(),
  };
}

async function waitForDrain(res: ServerResponse): Promise<Result<void>> {
  const closed = new AbortController();
  const onClose = () => closed.abort();
  res.once('close', onClose);
  try {
    const timeout = AbortSignal.timeout(SLOW_READER_TIMEOUT_MS);
    const signal = AbortSignal.any([closed.signal, timeout]);
    await once(res, 'drain', {signal});
    return ok(undefined);
  } catch {
    res.destroy();
    return callerDisconnected();
  } finally {
    res.off('close', onClose);
  }
}

function callerDisconnected(): Result<never> {
  return fail('request_timeout', 'the caller disconnected or reads too slowly');
}
