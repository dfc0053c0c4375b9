// Guards against lost or duplicate connections between two hosts, and against
// calls that outlast their timeout or report a wrong `ran`.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {failure, FailureError} from '@chivewick/common';
import {A, B, LIMIT, start, startPair, TIMEOUT} from './pair.js';

test('peers: calls work in both directions over the connection of one side', async () => {
  const [a, b] = await startPair();
  const one = await a.call(B, 'test.echo', {n: 1}, TIMEOUT);
  assert.deepEqual(one, {ok: true, value: {params: {n: 1}, from: A}});
  a.setAddress(B, '127.0.0.1:1');
  const two = await b.call(A, 'test.echo', {n: 2}, TIMEOUT);
  assert.deepEqual(two, {ok: true, value: {params: {n: 2}, from: B}});
  const three = await a.call(B, 'test.echo', {n: 3}, TIMEOUT);
  assert.equal(three.ok, true, 'the open connection is used, not the address');
  assert.ok(a.bytes().sent > 0 && a.bytes().received > 0);
});

test('peers: two hosts that dial at the same time both get responses', async () => {
  const [a, b] = await startPair();
  const calls = Array.from({length: 20}, (_, n) => [
    a.call(B, 'test.echo', {n}, TIMEOUT),
    b.call(A, 'test.echo', {n}, TIMEOUT),
  ]).flat();
  for (const response of await Promise.all(calls))
    assert.equal(response.ok, true);
});

test('peers: a frame over the maximum size is not sent, and the connection stays open', async () => {
  const [a, b] = await startPair();
  let handled = 0;
  b.handle('test.count', () => ++handled);
  const params = 'x'.repeat(5 * 1024 * 1024);
  const response = await a.call(B, 'test.count', params, TIMEOUT);
  assert.equal(
    !response.ok && response.err.message,
    'frame exceeds the maximum size',
  );
  assert.equal(handled, 0);
  assert.equal((await a.call(B, 'test.echo', {}, TIMEOUT)).ok, true);
});

test('peers: a failure thrown by a handler reaches the caller as it is', async () => {
  const [a, b] = await startPair();
  b.handle('test.refuse', () => {
    throw new FailureError(
      failure('limit_exceeded', 'full', {retryAfterMs: 7}),
    );
  });
  const response = await a.call(B, 'test.refuse', {}, TIMEOUT);
  assert.deepEqual(
    !response.ok && [
      response.err.kind,
      response.err.ran,
      response.err.retryAfterMs,
    ],
    ['limit_exceeded', 'not_run', 7],
  );
  const unknown = await a.call(B, 'test.none', {}, TIMEOUT);
  assert.equal(!unknown.ok && unknown.err.ran, 'not_run');
});

test('peers: a call whose handler never responds ends at the deadline', async () => {
  const [a, b] = await startPair();
  b.handle('test.hang', () => new Promise(() => {}));
  const response = await a.call(B, 'test.hang', {}, {timeoutMs: 50});
  assert.equal(!response.ok && response.err.kind, 'deadline_exceeded');
  assert.equal(!response.ok && response.err.ran, 'unknown');
});

test('peers: a call to a host that accepts but does not respond ends at the deadline', async () => {
  const unresponsive = createServer(socket => void socket.resume());
  unresponsive.listen(0, '127.0.0.1');
  await once(unresponsive, 'listening');
  const {port} = unresponsive.address() as AddressInfo;
  const a = await start(A);
  a.setAddress(B, `127.0.0.1:${port}`);
  const response = await a.call(B, 'test.echo', {}, {timeoutMs: 50});
  assert.equal(!response.ok && response.err.ran, 'not_run');
  await a.close();
  unresponsive.close();
});

test('peers: calls in progress fail when the peer stops, and work after its restart', async () => {
  const [a, b] = await startPair();
  b.handle('test.hang', () => new Promise(() => {}));
  const hanging = a.call(B, 'test.hang', {}, TIMEOUT);
  await a.call(B, 'test.echo', {}, TIMEOUT);
  await b.close();
  const response = await hanging;
  assert.equal(!response.ok && response.err.kind, 'endpoint_failed');
  assert.equal(!response.ok && response.err.ran, 'unknown');
  const again = await start(B);
  again.handle('test.echo', () => 'restarted');
  a.setAddress(B, again.address);
  const restarted = await a.call(B, 'test.echo', {}, TIMEOUT);
  assert.deepEqual(restarted, {ok: true, value: 'restarted'});
});

/** Forwards connections; `stall` drops all further data on the open ones. */
async function createProxy(target: string) {
  const port = Number(target.split(':')[1]);
  let generation = 0;
  const sockets: Socket[] = [];
  const server = createServer(near => {
    const far = connect(port, '127.0.0.1');
    const own = generation;
    sockets.push(near, far);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      from.on('data', chunk => own === generation && to.write(chunk));
      from.on('error', () => {});
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    stall: () => void generation++,
    pause() {
      for (const socket of sockets) socket.pause();
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

test(
  'peers: a connection that is lost without a reset is replaced',
  LIMIT,
  async t => {
    const [a, b] = await startPair();
    const proxy = await createProxy(b.address);
    t.after(() => proxy.close());
    a.setAddress(B, proxy.address);
    assert.equal((await a.call(B, 'test.echo', {}, TIMEOUT)).ok, true);
    proxy.stall();
    for (let lost = 0; lost < 3; lost++) {
      const response = await a.call(B, 'test.echo', {}, {timeoutMs: 50});
      assert.equal(!response.ok && response.err.kind, 'deadline_exceeded');
    }
    assert.equal((await a.call(B, 'test.echo', {}, TIMEOUT)).ok, true);
  },
);

test(
  'peers: a peer that does not read does not delay the shutdown',
  LIMIT,
  async t => {
    const [a, b] = await startPair();
    const proxy = await createProxy(b.address);
    t.after(() => proxy.close());
    a.setAddress(B, proxy.address);
    await a.call(B, 'test.echo', {}, TIMEOUT);
    proxy.pause();
    const params = 'x'.repeat(3 * 1024 * 1024);
    const calls = [1, 2, 3, 4].map(() =>
      b.call(A, 'test.echo', params, TIMEOUT),
    );
    await new Promise(done => setImmediate(done));
    await b.close();
    for (const response of await Promise.all(calls))
      assert.equal(response.ok, false);
  },
);

test('peers: listening on an address in use is an error', async () => {
  const a = await start(A);
  await assert.rejects(start(B, {listen: a.address}), /EADDRINUSE/);
});
