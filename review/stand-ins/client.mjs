import {clearTimeout, setTimeout} from 'node:timers';
import {randomBytes} from 'node:crypto';
import {Agent, request} from 'node:http';

/**
 * Sends one client attempt (PROTOCOL.md, "Requests" and "Answers") on a new connection,
 * or on one of `agent`. Resolves to the answer; `complete` tells whether its end arrived.
 * With `gapMs`, the client leaves a stream after so long without a byte.
 */
export function send({
  port,
  method = 'GET',
  path,
  host,
  key,
  deadlineMs,
  headers = {},
  body,
  agent = false,
  gapMs,
}) {
  const attempt = randomBytes(8).toString('hex');
  return new Promise(resolve => {
    const answer = {
      attempt,
      status: 0,
      headers: {},
      body: '',
      complete: false,
      /** Whether the connection had carried an earlier request. */
      isKept: false,
    };
    let gapTimer;
    const restartGap = () => {
      clearTimeout(gapTimer);
      if (gapMs !== undefined)
        gapTimer = setTimeout(() => req.destroy(), gapMs);
    };
    const done = () => {
      clearTimeout(timer);
      clearTimeout(gapTimer);
      answer.isKept = req.reusedSocket;
      resolve(answer);
    };
    const req = request({
      host: '127.0.0.1',
      port,
      method,
      path,
      agent,
      headers: {
        host,
        'x-attempt-id': attempt,
        'x-deadline-ms': String(deadlineMs),
        ...(key === undefined ? {} : {'x-credential': key}),
        ...(body === undefined ? {} : {'content-length': String(body.length)}),
        ...headers,
      },
    });
    const timer = setTimeout(() => req.destroy(), deadlineMs + 1_000);
    req.on('error', err => {
      answer.error = err.message;
      done();
    });
    req.on('response', res => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      res.setEncoding('latin1');
      res.on('data', text => {
        answer.body += text;
        restartGap();
      });
      res.on('error', err => (answer.error = err.message));
      res.on('close', () => {
        answer.complete = res.complete;
        done();
      });
    });
    restartGap();
    req.end(body);
  });
}

/** Connections that are kept open between requests. */
export const keepOpen = () => new Agent({keepAlive: true});
