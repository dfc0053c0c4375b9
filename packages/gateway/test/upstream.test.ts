// Guards against forwarding a truncated response as complete, and against treating
// bytes after a response as the response to the next request.
import {createRandom, id, type FailureDomain} from '@chivewick/common';
import {createDialer, createDirectPaths} from '@chivewick/tunnels';
import assert from 'node:assert/strict';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, test} from 'node:test';
import type {Headers} from '../src/types.js';
import {createUpstream} from '../src/upstream.js';

const servers: Server[] = [];
/** Connects directly, as a host does that reaches its endpoints. */
const upstream = createUpstream(
  createDialer({
    failureDomain: id<FailureDomain>('a'),
    hosts: () => [],
    paths: createDirectPaths({onChange: () => {}}),
    random: createRandom(),
  }),
);
after(async () => {
  for (const server of servers) server.close();
  await upstream.close();
});

type Result = {
  outcome: 'ended' | 'failed';
  status: number;
  headers: Headers;
  body: string;
};

async function requestFrom(respond: (socket: Socket) => void): Promise<Result> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => respond(socket));
  });
  servers.push(server);
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  return new Promise(resolve => {
    let status = 0;
    let headers: Headers = {};
    let body = '';
    upstream.send(
      {address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: []},
      {
        sent: () => {},
        answered: (...head) => ([status, headers] = head),
        data: chunk => (body += chunk.toString()),
        ended: () => resolve({outcome: 'ended', status, headers, body}),
        failed: () => resolve({outcome: 'failed', status, headers, body}),
      },
    );
  });
}

const writeThen =
  (text: string, then: (socket: Socket) => void) => (socket: Socket) =>
    // The reset must not overtake the preceding bytes.
    socket.write(text, () => setTimeout(() => then(socket), 20));
const reset = (socket: Socket) => socket.resetAndDestroy();
/** The reset reaches the client in the same poll as the preceding bytes. */
const writeAndReset = (text: string) => (socket: Socket) => {
  socket.write(text);
  socket.resetAndDestroy();
};
const close = (socket: Socket) => socket.end();

const CASES: readonly {
  name: string;
  respond: (socket: Socket) => void;
  outcome: Result['outcome'];
  body: string;
}[] = [
  {
    name: 'no length, closed',
    respond: writeThen('HTTP/1.1 200 OK\r\n\r\nwhole', close),
    outcome: 'ended',
    body: 'whole',
  },
  {
    name: 'no length, reset',
    respond: writeThen('HTTP/1.1 200 OK\r\n\r\npart', reset),
    outcome: 'failed',
    body: 'part',
  },
  {
    name: 'no length, announced close, reset',
    respond: writeThen(
      'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart',
      reset,
    ),
    outcome: 'failed',
    body: 'part',
  },
  {
    name: 'no length, reset together with its bytes',
    respond: writeAndReset('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart'),
    outcome: 'failed',
    body: 'part',
  },
  {
    name: 'chunked, reset between chunks',
    respond: writeThen(
      'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
      reset,
    ),
    outcome: 'failed',
    body: 'part',
  },
  {
    name: 'chunked, closed between chunks',
    respond: writeThen(
      'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
      close,
    ),
    outcome: 'failed',
    body: 'part',
  },
  {
    name: 'fewer bytes than its length, closed',
    respond: writeThen(
      'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart',
      close,
    ),
    outcome: 'failed',
    body: 'part',
  },
  {
    name: 'bytes after the response',
    respond: writeThen(
      'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother',
      close,
    ),
    outcome: 'ended',
    body: 'whole',
  },
  {
    name: 'invalid HTTP',
    respond: writeThen('nonsense\r\n\r\n', close),
    outcome: 'failed',
    body: '',
  },
];

for (const {name, respond, outcome, body} of CASES) {
  test(`upstream: a response (${name}) is reported as ${outcome}`, async () => {
    const result = await requestFrom(respond);
    assert.equal(result.outcome, outcome);
    assert.equal(result.body, body);
  });
}

// Guards against forwarding two signatures as one joined value.
test('upstream: the values of a repeated header line are a list', async () => {
  const lines = [
    'X-Sign: a',
    'x-sign: b',
    'x-list: a, b',
    'etag: 1',
    'etag: 2',
  ];
  const {headers} = await requestFrom(socket =>
    socket.end(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n`),
  );
  const expected = {'x-sign': ['a', 'b'], 'x-list': 'a, b', etag: '1'};
  assert.deepEqual({...headers}, expected);
});

test('upstream: a refused connection fails before anything is sent', async () => {
  const server = createServer();
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  await new Promise<void>(done => server.close(() => done()));
  let sent = false;
  await new Promise<void>(resolve => {
    upstream.send(
      {address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: []},
      {
        sent: () => (sent = true),
        answered: () => {},
        data: () => {},
        ended: () => assert.fail('ended'),
        failed: () => resolve(),
      },
    );
  });
  assert.equal(sent, false);
});

// An exception there would end the process with all requests in progress.
test('upstream: a header that HTTP does not allow is reported as failed', async () => {
  const events: string[] = [];
  const call = upstream.send(
    {
      address: '127.0.0.1:9',
      method: 'GET',
      path: '/',
      headers: ['x-endpoint', 'i-\ufffd'],
    },
    {
      sent: () => events.push('sent'),
      answered: () => events.push('answered'),
      data: () => events.push('data'),
      ended: () => events.push('ended'),
      failed: ({message}) => events.push(message),
    },
  );
  await new Promise(done => setImmediate(done));
  call.abort();
  assert.equal(events.length, 1);
  assert.match(events[0], /Invalid character/);
});

test('upstream: an exception while a response is taken over is reported as failed', async () => {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'));
  });
  servers.push(server);
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  const err = await new Promise<Error>(resolve => {
    upstream.send(
      {address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: []},
      {
        sent: () => {},
        answered() {
          throw new TypeError('invalid header');
        },
        data: () => assert.fail('data'),
        ended: () => assert.fail('ended'),
        failed: resolve,
      },
    );
  });
  assert.match(err.message, /invalid header/);
});
