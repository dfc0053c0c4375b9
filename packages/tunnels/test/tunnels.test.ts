// Guards against the loss of all requests of a host that reaches no endpoint, against
// sending to endpoints twice, and against responses that are cut off in a tunnel and
// appear complete.
import {
  createRandom,
  id,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
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
  createReachability,
  startTunnelServer,
  type Reachability,
  type TunnelHost,
} from '../src/index.js';

const DOMAIN = id<FailureDomain>('a');
const closers: (() => void)[] = [];
after(() => closers.forEach(close => close()));

async function listen(server: Server): Promise<string> {
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
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

async function freeAddress(): Promise<string> {
  const server = createServer();
  const address = await listen(server);
  await new Promise<void>(done => server.close(() => done()));
  return address;
}

async function startHost(
  name: string,
  endpoints: readonly string[],
  isCutOff = false,
): Promise<TunnelHost> {
  const tunnelAddress = await freeAddress();
  const server = await startTunnelServer({
    address: tunnelAddress,
    isEndpoint: address => endpoints.includes(address),
    reachability: {isCutOff: () => isCutOff},
  });
  closers.push(() => server.close());
  return {id: id<HostId>(name), tunnelAddress, failureDomain: DOMAIN};
}

const CUT_OFF: Pick<Reachability, 'isCutOff' | 'check'> = {
  isCutOff: () => true,
  check: () => Promise.resolve(true),
};

function dial(hosts: readonly TunnelHost[], address: string) {
  const stream = createDialer({
    failureDomain: DOMAIN,
    hosts: () => hosts,
    reachability: CUT_OFF,
    random: createRandom(1),
  }).dial(address);
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
  assert.deepEqual(await exchange(dial([host], endpoint.address)), {
    body: 'response',
    ending: 'end',
  });
  assert.deepEqual(endpoint.requests, ['request']);
});

test('tunnels: a host that is cut off itself is passed over, and so is one that is gone', async () => {
  const endpoint = await startEndpoint(socket => socket.end('response'));
  const gone = {
    ...(await startHost('gone', [])),
    tunnelAddress: await freeAddress(),
  };
  const cutOff = await startHost('cut', [endpoint.address], true);
  const host = {
    ...(await startHost('b', [endpoint.address])),
    failureDomain: DOMAIN,
  };
  const result = await exchange(dial([gone, cutOff, host], endpoint.address));
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

test('tunnels: a large body passes a slow reader unchanged', async () => {
  const body = 'x'.repeat(3_000_000);
  const endpoint = await startEndpoint(socket => socket.end(body));
  const host = await startHost('b', [endpoint.address]);
  const result = await exchange(dial([host], endpoint.address));
  assert.equal(result.body.length, body.length);
});

for (const [name, target] of [
  ['an address that is no endpoint', '127.0.0.1:9'],
  ['a line that is no request', 'nonsense'],
] as const)
  test(`tunnels: ${name} is refused`, async () => {
    const host = await startHost('b', []);
    const {ending, body} = await exchange(dial([host], target));
    assert.deepEqual({ending, body}, {ending: 'error', body: ''});
  });

function reachabilityOf(accepts: () => boolean, count = 6) {
  const changes: boolean[] = [];
  const reachability = createReachability({
    endpoints: () => Array.from({length: count}, (_, n) => `10.0.0.${n}:80`),
    random: createRandom(1),
    onChange: isCutOff => changes.push(isCutOff),
    accepts: () => Promise.resolve(accepts()),
  });
  closers.push(() => reachability.close());
  return {reachability, changes};
}

test('reachability: a host is cut off until an endpoint accepts again', async () => {
  let isUp = false;
  const {reachability, changes} = reachabilityOf(() => isUp);
  let losses = 0;
  reachability.onCutOff(() => (losses += 1));
  assert.equal(reachability.isCutOff(), false);
  assert.equal(await reachability.check(), true);
  isUp = true;
  while (reachability.isCutOff())
    await new Promise(done => setTimeout(done, 20));
  assert.deepEqual({changes, losses}, {changes: [true, false], losses: 1});
});

test('reachability: one endpoint of several that accepts is enough', async () => {
  let calls = 0;
  const {reachability} = reachabilityOf(() => (calls += 1) % 4 === 0);
  assert.equal(await reachability.check(), false);
});

test('reachability: the only endpoint that is down does not cut a host off', async () => {
  const {reachability} = reachabilityOf(() => false, 1);
  assert.equal(await reachability.check(), false);
});
