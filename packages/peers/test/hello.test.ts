// Guards against calls to or from a peer that has not proved that it knows the
// firm's secret, and against malformed input that affects other connections.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {id, type Firm, type HostId, type Logger} from '@chivewick/common';
import type {PeerOptions} from '../src/index.js';
import {A, B, LIMIT, start, startPair, TIMEOUT} from './pair.js';

const REFUSED: {name: string; options: Partial<PeerOptions>}[] = [
  {name: 'another firm', options: {firm: id<Firm>('heritage')}},
  {name: 'a wrong secret', options: {secret: 'another shared secret'}},
];
for (const {name, options} of REFUSED)
  test(`peers: a host with ${name} is refused in both directions`, async () => {
    const [a, b] = await startPair(options);
    let handled = 0;
    for (const peers of [a, b]) peers.handle('test.count', () => ++handled);
    for (const response of [
      await a.call(B, 'test.count', {}, TIMEOUT),
      await b.call(A, 'test.count', {}, TIMEOUT),
    ]) {
      assert.equal(response.ok, false);
      if (response.ok) continue;
      assert.equal(response.err.kind, 'endpoint_failed');
      assert.equal(response.err.ran, 'not_run');
    }
    assert.equal(handled, 0);
  });

test('peers: a different host at the address is refused', async () => {
  const [a, b] = await startPair();
  const other = id<HostId>('nav-c-1');
  a.setAddress(other, b.address);
  const response = await a.call(other, 'test.echo', {}, TIMEOUT);
  assert.equal(response.ok, false);
});

const HELLO =
  '{"jsonrpc":"2.0","id":1,"method":"peers.hello","params":' +
  '{"firm":"diocese","host":"nav-z-9","incarnation":1,"nonce":"' +
  '0'.repeat(32) +
  '"}}\n';
const RAW_FRAMES = [
  {
    name: 'text that is not JSON',
    reason: 'malformed frame',
    text: 'GET / HTTP/1.1\r\n\r\n',
  },
  {
    name: 'JSON that is not JSON-RPC',
    reason: 'malformed frame',
    text: '[1, 2, 3]\n',
  },
  {
    name: 'a call before the hello',
    reason: 'request outside the handshake',
    text: '{"jsonrpc":"2.0","id":1,"method":"test.count"}\n',
  },
  {
    name: 'an oversized frame without a line feed',
    reason: 'oversized frame',
    text: 'x'.repeat(5_000),
  },
  {
    name: 'a hello with missing fields',
    reason: 'malformed hello',
    text: '{"jsonrpc":"2.0","id":1,"method":"peers.hello","params":{}}\n',
  },
  {name: 'a second hello', reason: 'malformed hello', text: HELLO + HELLO},
  {
    name: 'a wrong proof',
    reason: 'wrong proof',
    text: `${HELLO}{"jsonrpc":"2.0","id":2,"method":"peers.prove","params":{"proof":"${'0'.repeat(64)}"}}\n`,
  },
  {
    name: 'a call between hello and proof',
    reason: 'request outside the handshake',
    text: `${HELLO}{"jsonrpc":"2.0","id":2,"method":"test.count"}\n`,
  },
];
for (const {name, reason, text} of RAW_FRAMES)
  test(
    `peers: ${name} closes the connection, and others are served`,
    LIMIT,
    async () => {
      const reasons: unknown[] = [];
      const log: Logger = {
        event: (event, fields) =>
          void (event === 'peerRefused' && reasons.push(fields?.reason)),
        child: () => log,
      };
      const a = await start(A, {log});
      const b = await start(B, {addresses: new Map([[A, a.address]])});
      a.handle('test.echo', params => params);
      let handled = 0;
      a.handle('test.count', () => ++handled);
      const port = Number(a.address.split(':')[1]);
      const socket = connect(port, '127.0.0.1');
      socket.resume();
      socket.write(text);
      await once(socket, 'close');
      assert.equal(handled, 0);
      assert.deepEqual(reasons, [reason]);
      assert.equal((await b.call(A, 'test.echo', {}, TIMEOUT)).ok, true);
    },
  );

test(
  'peers: a host that accepts without a valid proof gets no call',
  LIMIT,
  async () => {
    const received: string[] = [];
    const welcome = {firm: 'diocese', host: B, incarnation: 1};
    const result = {...welcome, nonce: '0'.repeat(32), proof: '0'.repeat(64)};
    const impostor = createServer(socket => {
      socket.on('data', chunk => {
        received.push(chunk.toString());
        socket.write(`${JSON.stringify({jsonrpc: '2.0', id: 1, result})}\n`);
      });
    });
    impostor.listen(0, '127.0.0.1');
    await once(impostor, 'listening');
    const {port} = impostor.address() as AddressInfo;
    const a = await start(A);
    a.setAddress(B, `127.0.0.1:${port}`);
    const response = await a.call(B, 'test.echo', {}, TIMEOUT);
    assert.equal(!response.ok && response.err.ran, 'not_run');
    assert.equal(received.length, 1, 'only the hello was sent');
    await a.close();
    impostor.close();
  },
);
