// Guards against callers whose input is too long, too slow or not HTTP: it must get
// an error response, must not reach an endpoint, and must not affect other requests.
import {id, type WorkspaceId} from '@chivewick/common';
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {after, test} from 'node:test';
import {
  respond,
  sendRequest,
  closeHarnesses,
  config,
  record,
  route,
  startEndpoint,
  startHarness,
  until,
} from './harness.js';

after(closeHarnesses);

const LIMITS = {
  maxHeaderBytes: 2_000,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 300,
  idleTimeoutMs: 300,
};
const HEAD =
  'POST /x HTTP/1.1\r\nhost: h\r\nrequest-id: q1\r\ncontent-length: 10\r\n';

/** Interval at which the server checks for late heads. */
const CHECK_INTERVAL_MS = 1_000;
const MAX_RUNNING_PER_CONNECTION = 4;

/** Stands for a suspension of this process. */
function blockProcess(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

async function startLimited(behavior = respond('whole'), limits = {}) {
  const endpoint = await startEndpoint(behavior);
  const harness = await startHarness({
    config: config({limits: {...LIMITS, ...limits}}),
    records: [record('e', endpoint.address)],
  });
  return {...harness, endpoint};
}

/** Sends bytes on a connection and collects the reply until it closes. */
function send(
  port: number,
  bytes: string,
): {socket: Socket; reply: Promise<string>} {
  const socket = connect(port, LOOPBACK_HOST);
  let text = '';
  socket.on('error', () => {});
  socket.on('data', chunk => (text += chunk.toString()));
  socket.write(bytes);
  const reply = once(socket, 'close').then(() => text);
  return {socket, reply};
}

const INPUTS: readonly {name: string; bytes: string; status: number}[] = [
  ...['\t', '\f'].map(character => ({
    name: `a path with ${JSON.stringify(character)}`,
    bytes: `${HEAD.replace('/x', `/x${character}`)}connection: close\r\n\r\n0123456789`,
    status: 400,
  })),
  {
    name: 'headers over the limit of the configuration',
    bytes: `${HEAD}a: ${'a'.repeat(2_000)}\r\n\r\n0123456789`,
    status: 431,
  },
  {
    name: 'headers over any limit',
    bytes: `${HEAD}a: ${'a'.repeat(80_000)}\r\n\r\n`,
    status: 431,
  },
  {name: 'headers that do not end', bytes: `${HEAD}a: `, status: 408},
  {name: 'a body that does not end', bytes: `${HEAD}\r\n0123`, status: 408},
  {
    name: 'a body over the limit',
    bytes: `${HEAD.replace('10', '2000')}\r\n`,
    status: 413,
  },
  {
    name: 'bytes that are not HTTP',
    bytes: '\u0016\u0003\u0001 hello\r\n\r\n',
    status: 400,
  },
  {
    name: 'a request without a Host',
    bytes: `${HEAD.replace('host: h\r\n', '')}\r\n0123456789`,
    status: 400,
  },
  {
    name: 'two content lengths',
    bytes: `${HEAD}content-length: 20\r\n\r\n0123456789`,
    status: 400,
  },
  {
    name: 'a content length with chunks',
    bytes: `${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    status: 400,
  },
];
for (const {name, bytes, status} of INPUTS)
  test(`callers: ${name} get ${status} and a closed connection`, async () => {
    const {port, endpoint} = await startLimited();
    const {reply} = send(port, bytes);
    assert.equal((await sendRequest(port)).body, 'whole');
    assert.match(await reply, new RegExp(`^HTTP/1.1 ${status} `));
    assert.equal(endpoint.heads.length, 1);
  });

test('callers: a second request after a refused body is not run', async () => {
  const {port, endpoint} = await startLimited();
  const hidden = HEAD.replace('q1', 'q2').replace('10', '0');
  const {reply} = send(port, `${HEAD.replace('10', '2000')}\r\n${hidden}\r\n`);
  assert.match(await reply, /^HTTP\/1.1 413 /);
  assert.equal(endpoint.heads.length, 0);
});

test('callers: a request that arrives after a 408 is not run', async () => {
  const {port, endpoint} = await startLimited();
  const {socket, reply} = send(port, HEAD);
  await once(socket, 'data');
  socket.write('\r\n0123456789');
  socket.write(`${HEAD.replace('q1', 'q2')}\r\n0123456789`);
  assert.match(await reply, /^HTTP\/1.1 408 /);
  assert.equal((await sendRequest(port)).body, 'whole');
  assert.equal(endpoint.heads.length, 1);
});

// The connections are checked for late heads before they are read, when a process wakes.
test('callers: a head that this host was too slow to read is served', async () => {
  const {port, endpoint} = await startLimited();
  const socket = connect(port, LOOPBACK_HOST);
  await once(socket, 'connect');
  await sendRequest(port);
  const reply = new Promise<string>(done =>
    socket.once('data', bytes => done(bytes.toString())),
  );
  socket.write(`${HEAD.replace('q1', 'q2')}\r\n0123456789`);
  blockProcess(CHECK_INTERVAL_MS + LIMITS.headerTimeoutMs);
  assert.match(await reply, /^HTTP\/1.1 200 /);
  assert.equal(endpoint.heads.length, 2);
  socket.destroy();
});

test('callers: a body that this host was too slow to read is served', async () => {
  const {port, endpoint} = await startLimited();
  const {socket, reply} = send(port, `${HEAD}connection: close\r\n\r\n0123`);
  await once(socket, 'connect');
  await sendRequest(port);
  socket.write('456789');
  blockProcess(2 * LIMITS.idleTimeoutMs);
  assert.match(await reply, /^HTTP\/1.1 200 /);
  assert.equal(endpoint.heads.length, 2);
});

test('callers: a request that waits behind a closing response is not run', async () => {
  const {port, endpoint, gateway} = await startLimited((socket, head) => {
    setTimeout(() => respond('whole')(socket, head), 50);
  });
  const socket = connect(port, LOOPBACK_HOST);
  await once(socket, 'connect');
  await sendRequest(port);
  void gateway.stop();
  const whole = `${HEAD}\r\n0123456789`;
  socket.write(whole.repeat(MAX_RUNNING_PER_CONNECTION + 2));
  socket.resume();
  await once(socket, 'close');
  assert.equal(endpoint.heads.length, 1 + MAX_RUNNING_PER_CONNECTION);
});

test('callers: a key that is removed while the body arrives is refused', async () => {
  const {port, endpoint, store, gateway} = await startLimited(undefined, {
    idleTimeoutMs: 5_000,
  });
  const closed = config({
    routes: [route({isPublic: false})],
    limits: {...LIMITS, idleTimeoutMs: 5_000},
  });
  const adopt = async (
    version: number,
    keys: [string, {id: WorkspaceId}][],
  ) => {
    store.put('config/main', {
      ...closed,
      version,
      workspaceOfKey: new Map(keys),
    });
    await until(() => gateway.config()?.version === version);
  };
  await adopt(2, [['key-1', {id: id<WorkspaceId>('w1')}]]);
  const {socket, reply} = send(
    port,
    `${HEAD}key: key-1\r\nconnection: close\r\n\r\n0123`,
  );
  await new Promise(done => setTimeout(done, 300));
  await adopt(3, []);
  socket.write('456789');
  assert.match(await reply, /^HTTP\/1.1 401 /);
  assert.equal(endpoint.heads.length, 0);
});

test('callers: a disconnect aborts the request at the endpoint', async () => {
  let endpointSocket: Socket | undefined;
  const {port} = await startLimited(socket => (endpointSocket = socket));
  const {socket} = send(port, `${HEAD}\r\n0123456789`);
  await until(() => endpointSocket !== undefined);
  // The connection is reset, which `events.once` would report as its own failure.
  const ended = new Promise(done => endpointSocket!.once('close', done));
  socket.destroy();
  await ended;
});
