// Guards against the loss of all requests of a host that reaches no endpoint, against
// sending to endpoints twice, and against responses that are cut off in a tunnel and
// appear complete.
import {
  createRandom,
  id,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, test} from 'node:test';
import {
  createDialer,
  createDirectPaths,
  startTunnelServer,
  type TunnelHost,
} from '../src/index.js';
import {createFrameReader, createFrameWriter} from '../src/frames.js';
import {openSocket} from '../src/sockets.js';

const DOMAIN = id<FailureDomain>('a');
const closers: (() => void)[] = [];
after(() => closers.forEach(close => close()));

async function listen(server: Server): Promise<string> {
  await new Promise<void>(done => server.listen(0, LOOPBACK_HOST, done));
  return `${LOOPBACK_HOST}:${(server.address() as AddressInfo).port}`;
}

/** Starts an endpoint that answers each connection in the same way. */
async function startEndpoint(respond: (socket: Socket) => void) {
  const requests: string[] = [];
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', bytes => {
      requests.push(bytes.toString());
      respond(socket);
    });
  });
  closers.push(() => server.close());
  return {address: await listen(server), requests};
}

/** Below the ports that the kernel gives out by itself. */
let nextPort = 10_000;
const freeAddress = () => `${LOOPBACK_HOST}:${nextPort++}`;

async function startHost(
  name: string,
  endpoints: readonly string[],
  isCutOff = false,
  isStopping = false,
): Promise<TunnelHost & {stop(): void}> {
  const tunnelAddress = freeAddress();
  const server = await startTunnelServer({
    address: tunnelAddress,
    isEndpoint: address => endpoints.includes(address),
    isStopping: () => isStopping,
    paths: {isLost: () => isCutOff, expectsLoss: () => isCutOff},
  });
  closers.push(() => server.close());
  return {
    id: id<HostId>(name),
    tunnelAddress,
    failureDomain: DOMAIN,
    stop: () => server.close(),
  };
}

const refuse = () => Promise.reject(new Error('refused'));
/** As of a host that is cut off: no answer until the timeout. */
const hang = (_: string, timeoutMs: number) =>
  new Promise<never>((_done, reject) =>
    setTimeout(() => reject(new Error('connect timeout')), timeoutMs),
  );

function dial(
  hosts: readonly TunnelHost[],
  address: string,
  openDirect: (address: string, timeoutMs: number) => Promise<Socket> = refuse,
) {
  const paths = createDirectPaths({onChange: () => {}});
  const dialer = createDialer({
    failureDomain: DOMAIN,
    hosts: () => hosts,
    paths,
    random: createRandom(1),
    openDirect,
  });
  const stream = dialer.dial(address);
  closers.push(() => paths.close());
  closers.push(() => stream.destroy());
  return stream;
}

/** Sends a request, and reads until the connection ends. */
function exchange(
  stream: ReturnType<typeof dial>,
): Promise<{body: string; ending: 'end' | 'error'}> {
  let body = '';
  stream.on('data', (chunk: Buffer) => (body += chunk.toString()));
  stream.write('request');
  return new Promise(resolve => {
    stream.once('end', () => resolve({body, ending: 'end'}));
    stream.once('error', () => resolve({body, ending: 'error'}));
  });
}

test('tunnels: a host that is cut off reaches endpoints through another host', async () => {
  const endpoint = await startEndpoint(socket => socket.end('response'));
  const host = await startHost('b', [endpoint.address]);
  for (const openDirect of [refuse, hang])
    assert.deepEqual(
      await exchange(dial([host], endpoint.address, openDirect)),
      {body: 'response', ending: 'end'},
    );
  assert.deepEqual(endpoint.requests, ['request', 'request']);
});

test('tunnels: a host that is cut off itself, stops or is gone is passed over', async () => {
  const endpoint = await startEndpoint(socket => socket.end('response'));
  const gone = {
    ...(await startHost('gone', [])),
    tunnelAddress: freeAddress(),
  };
  const cutOff = await startHost('cut', [endpoint.address], true);
  const stopping = await startHost('stop', [endpoint.address], false, true);
  const host = {
    ...(await startHost('b', [endpoint.address])),
    failureDomain: DOMAIN,
  };
  const result = await exchange(
    dial([gone, cutOff, stopping, host], endpoint.address),
  );
  assert.equal(result.body, 'response');
  assert.equal(endpoint.requests.length, 1);
});

test('tunnels: a reset of the endpoint does not look like an end', async () => {
  const endpoint = await startEndpoint(socket =>
    socket.write('part', () => setTimeout(() => socket.resetAndDestroy(), 20)),
  );
  const host = await startHost('b', [endpoint.address]);
  const {ending} = await exchange(dial([host], endpoint.address));
  assert.equal(ending, 'error');
});

// The kernel ends the connections of a killed process as this stop does.
test('tunnels: the end of the other host does not look like the end of a response', async () => {
  const endpoint = await startEndpoint(socket => socket.write('part'));
  const host = await startHost('b', [endpoint.address]);
  const stream = dial([host], endpoint.address);
  const result = exchange(stream);
  await new Promise(done => stream.once('data', done));
  host.stop();
  assert.deepEqual(await result, {body: 'part', ending: 'error'});
});

test('tunnels: frames that are split anywhere give the bytes that were sent', () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({minLength: 1, maxLength: 9}), {minLength: 1}),
      fc.integer({min: 1, max: 7}),
      (chunks, size) => {
        const writer = createFrameWriter();
        for (const chunk of chunks) writer.write(chunk);
        writer.end();
        const framed = writer.read() as Buffer;
        const reader = createFrameReader();
        const received: Buffer[] = [];
        for (let at = 0; at < framed.length; at += size) {
          assert.equal(reader.hasEnded(), false);
          received.push(...reader.read(framed.subarray(at, at + size)));
        }
        assert.deepEqual(Buffer.concat(received), Buffer.concat(chunks));
        assert.equal(reader.hasEnded(), true);
      },
    ),
  );
});

test('tunnels: the endpoint notices that the host has left', async () => {
  let closed = false;
  const endpoint = await startEndpoint(socket => {
    socket.write('part');
    socket.once('close', () => (closed = true));
  });
  const host = await startHost('b', [endpoint.address]);
  const stream = dial([host], endpoint.address);
  stream.on('error', () => {});
  stream.write('request');
  await new Promise(done => stream.once('data', done));
  stream.destroy();
  while (!closed) await new Promise(done => setTimeout(done, 5));
});

for (const [name, openDirect] of [
  ['directly', openSocket],
  ['through another host', refuse],
] as const)
  test(`tunnels: a request that is abandoned ${name} is reset, so that no bytes arrive later`, async () => {
    let code: string | undefined;
    const endpoint = await startEndpoint(socket =>
      socket.once('error', (err: NodeJS.ErrnoException) => (code = err.code)),
    );
    const host = await startHost('b', [endpoint.address]);
    const stream = dial([host], endpoint.address, openDirect);
    stream.on('error', () => {});
    stream.write('request');
    while (endpoint.requests.length === 0)
      await new Promise(done => setTimeout(done, 5));
    stream.destroy();
    while (code === undefined) await new Promise(done => setTimeout(done, 5));
    assert.equal(code, 'ECONNRESET');
  });

test('tunnels: a large body passes a slow reader unchanged', async () => {
  const body = 'x'.repeat(3_000_000);
  const endpoint = await startEndpoint(socket => socket.end(body));
  const host = await startHost('b', [endpoint.address]);
  const result = await exchange(dial([host], endpoint.address));
  assert.equal(result.body.length, body.length);
});

const ENDLESS_BYTES = 64 * 1024 * 1024;
/** Well above what the kernel buffers for two connections. */
const MAX_UNREAD_BYTES = 32 * 1024 * 1024;

for (const [name, openDirect] of [
  ['directly', openSocket],
  ['through another host', refuse],
] as const)
  test(`tunnels: bytes that are not read stay at the sender, ${name}`, async () => {
    let sent = 0;
    const endpoint = await startEndpoint(socket => {
      const chunk = Buffer.alloc(65_536);
      const fill = () => {
        while (sent < ENDLESS_BYTES) {
          sent += chunk.length;
          if (!socket.write(chunk)) return;
        }
      };
      socket.on('drain', fill);
      fill();
    });
    const host = await startHost('b', [endpoint.address]);
    const stream = dial([host], endpoint.address, openDirect);
    stream.write('request');
    await new Promise(done => stream.once('readable', done));
    for (let before = -1; before < sent;) {
      before = sent;
      await new Promise(done => setTimeout(done, 100));
    }
    assert.ok(sent < MAX_UNREAD_BYTES, `${sent} bytes taken`);
  });

for (const [name, openDirect] of [
  ['directly', openSocket],
  ['through another host', refuse],
] as const)
  test(`tunnels: a response whose connection has ended reaches a slow reader whole, ${name}`, async () => {
    const body = 'x'.repeat(60_000);
    const endpoint = await startEndpoint(socket => socket.end(body));
    const host = await startHost('b', [endpoint.address]);
    const stream = dial([host], endpoint.address, openDirect);
    stream.write('request');
    await new Promise(done => stream.once('readable', done));
    await new Promise(done => setTimeout(done, 200));
    let received = 0;
    stream.on('data', (chunk: Buffer) => (received += chunk.length));
    await new Promise(done => stream.once('end', done).once('error', done));
    assert.equal(received, body.length);
  });

for (const [name, target] of [
  ['an address that is no endpoint', '127.0.0.1:9'],
  ['a line that is no request', 'nonsense'],
  ['a line with more than an address', '127.0.0.1:9 x'],
] as const)
  test(`tunnels: ${name} is refused`, async () => {
    const host = await startHost('b', []);
    const {ending, body} = await exchange(dial([host], target));
    assert.deepEqual({ending, body}, {ending: 'error', body: ''});
  });

test('tunnels: a host that gets no direct connection keeps the other way until it does', async () => {
  let isUp = false;
  const changes: boolean[] = [];
  const paths = createDirectPaths({
    onChange: (_, isLost) => changes.push(isLost),
    accepts: () => Promise.resolve(isUp),
  });
  closers.push(() => paths.close());
  paths.lose('10.0.0.1:80');
  assert.equal(paths.isLost('10.0.0.1:80'), true);
  assert.equal(paths.isLost('10.0.0.2:80'), false);
  assert.equal(paths.expectsLoss(), false);
  paths.lose('10.0.0.2:80');
  assert.equal(paths.expectsLoss(), true);
  isUp = true;
  while (paths.isLost('10.0.0.1:80') || paths.isLost('10.0.0.2:80'))
    await new Promise(done => setTimeout(done, 20));
  assert.equal(paths.expectsLoss(), false);
  assert.deepEqual(changes, [true, true, false, false]);
});
