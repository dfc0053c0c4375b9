// Guards against running a request twice, or reporting that it has not run although
// it has, for any combination of endpoint behaviors.
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import type {RequestKind} from '../src/types.js';
import {
  respond,
  sendRequest,
  closeHarnesses,
  config,
  record,
  route,
  startEndpoint,
  startHarness,
  type Behavior,
} from './harness.js';

after(closeHarnesses);

const NOT_RUN = 'not-run: 1\r\n';
const MAX_RUNS = 2;
/** Statuses that state that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Behaviors of an endpoint, and whether the request has run there. */
const BEHAVIORS: Readonly<Record<string, {ran: boolean; behavior: Behavior}>> =
  {
    succeeds: {ran: true, behavior: respond('whole')},
    fails: {ran: true, behavior: respond('sorry', '500 Internal Server Error')},
    'is full': {
      ran: false,
      behavior: respond('', '503 Service Unavailable', NOT_RUN),
    },
    'is misdirected': {
      ran: false,
      behavior: respond('', '421 Misdirected Request', NOT_RUN),
    },
    resets: {ran: true, behavior: socket => socket.resetAndDestroy()},
    'is unresponsive': {ran: true, behavior: () => {}},
    'truncates the body': {
      ran: true,
      behavior: socket =>
        socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'),
    },
    'answers another request': {
      ran: true,
      behavior: socket =>
        socket.end(
          'HTTP/1.1 200 OK\r\nrequest-id: q0\r\nsignature: s\r\ncontent-length: 2\r\n\r\nno',
        ),
    },
    'is not HTTP': {ran: true, behavior: socket => socket.end('\0\0\0\0')},
    'runs but answers 503': {
      ran: true,
      behavior: respond('', '503 Service Unavailable', 'signature: s\r\n'),
    },
  };

const behaviors = fc.array(fc.constantFrom(...Object.keys(BEHAVIORS)), {
  minLength: 1,
  maxLength: 4,
});

async function runRequest(kind: RequestKind, names: readonly string[]) {
  let runs = 0;
  const endpoints = await Promise.all(
    names.map(name =>
      startEndpoint((socket, head) => {
        runs += Number(BEHAVIORS[name].ran);
        BEHAVIORS[name].behavior(socket, head);
      }),
    ),
  );
  const {port, gateway} = await startHarness({
    config: config({
      routes: [route({kind, maxEndpoints: MAX_RUNS, timeoutMs: 250})],
    }),
    records: endpoints.map(({address}, index) => record(`e${index}`, address)),
  });
  const reply = await sendRequest(port);
  await gateway.close();
  return {runs, reply};
}

for (const [kind, maxRuns] of [
  ['once', 1],
  ['repeatable', MAX_RUNS],
] as const)
  test(`plain: a ${kind} request runs at most ${maxRuns} times, and "not run" is true`, async () => {
    await fc.assert(
      fc.asyncProperty(behaviors, async names => {
        const {runs, reply} = await runRequest(kind, names);
        assert.ok(runs <= maxRuns, `${runs} runs`);
        const isFromGateway = reply.headers['signature'] === undefined;
        if (isFromGateway && NOT_RUN_STATUSES.has(reply.status))
          assert.equal(runs, 0);
        if (reply.status === 200) assert.equal(reply.body, 'whole');
      }),
      {numRuns: 40, seed: 11},
    );
  });
