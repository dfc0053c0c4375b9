// Guards against a request that runs twice, or is said not to have run though it
// did, for any combination of what endpoints do with it.
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import type {RequestKind} from '../src/types.js';
import {
  answer,
  ask,
  closeWorlds,
  config,
  record,
  route,
  startEndpoint,
  startWorld,
  type Act,
} from './world.js';

after(closeWorlds);

const NOT_RUN = 'not-run: 1\r\n';
const MOST_RUNS = 2;
/** Statuses that promise that the request has not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What an endpoint does, and whether the request has run there. */
const DEEDS: Readonly<Record<string, {ran: boolean; act: Act}>> = {
  succeeds: {ran: true, act: answer('whole')},
  fails: {ran: true, act: answer('sorry', '500 Internal Server Error')},
  'is full': {ran: false, act: answer('', '503 Service Unavailable', NOT_RUN)},
  'is another': {
    ran: false,
    act: answer('', '421 Misdirected Request', NOT_RUN),
  },
  resets: {ran: true, act: socket => socket.resetAndDestroy()},
  'is silent': {ran: true, act: () => {}},
  'breaks off': {
    ran: true,
    act: socket =>
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'),
  },
  'answers another': {
    ran: true,
    act: socket =>
      socket.end(
        'HTTP/1.1 200 OK\r\nrequest-id: q0\r\nsignature: s\r\ncontent-length: 2\r\n\r\nno',
      ),
  },
  'is no HTTP': {ran: true, act: socket => socket.end('\0\0\0\0')},
  'promises a lie': {
    ran: true,
    act: answer('', '503 Service Unavailable', 'signature: s\r\n'),
  },
};

const deeds = fc.array(fc.constantFrom(...Object.keys(DEEDS)), {
  minLength: 1,
  maxLength: 4,
});

async function play(kind: RequestKind, names: readonly string[]) {
  let runs = 0;
  const endpoints = await Promise.all(
    names.map(name =>
      startEndpoint((socket, head) => {
        runs += Number(DEEDS[name].ran);
        DEEDS[name].act(socket, head);
      }),
    ),
  );
  const {port, gateway} = await startWorld({
    config: config({
      routes: [route({kind, maxEndpoints: MOST_RUNS, timeoutMs: 250})],
    }),
    records: endpoints.map(({address}, index) => record(`e${index}`, address)),
  });
  const reply = await ask(port);
  await gateway.close();
  return {runs, reply};
}

for (const [kind, most] of [
  ['once', 1],
  ['repeatable', MOST_RUNS],
] as const)
  test(`plain: a request of kind ${kind} runs at most ${most} times, and promises hold`, async () => {
    await fc.assert(
      fc.asyncProperty(deeds, async names => {
        const {runs, reply} = await play(kind, names);
        assert.ok(runs <= most, `${runs} runs`);
        const isOwn = reply.headers['signature'] === undefined;
        if (isOwn && PROMISES.has(reply.status)) assert.equal(runs, 0);
        if (reply.status === 200) assert.equal(reply.body, 'whole');
      }),
      {numRuns: 40, seed: 11},
    );
  });
