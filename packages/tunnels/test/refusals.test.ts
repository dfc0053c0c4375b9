// Guards against suspecting endpoints that are up: a host whose links have just failed
// asks another one, which is cut off as well and does not know it yet.
import {
  createRandom,
  id,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {after, test} from 'node:test';
import {
  createDialer,
  createDirectPaths,
  createFrameWriter,
  UnreachableError,
  type TunnelHost,
} from '../src/index.js';

const ADDRESS = '10.1.64.9:8080';
const closers: (() => void)[] = [];
after(() => closers.forEach(close => close()));

async function listen(server: Server): Promise<string> {
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  closers.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A host with one answer to all requests for a connection. */
async function startHost(
  name: string,
  reply: 'opened' | 'refused' | 'silent' | 'unknown',
): Promise<TunnelHost> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      if (reply !== 'opened') return void socket.end(`${reply}\n`);
      socket.write('opened\n');
      const writer = createFrameWriter();
      writer.pipe(socket);
      writer.end('response');
    });
  });
  return {
    id: id<HostId>(name),
    tunnelAddress: await listen(server),
    // Hosts of the caller's own domain are asked last.
    failureDomain: id<FailureDomain>(reply === 'opened' ? 'a' : 'b'),
  };
}

function dial(hosts: readonly TunnelHost[]) {
  const paths = createDirectPaths({onChange: () => {}});
  const dialer = createDialer({
    failureDomain: id<FailureDomain>('a'),
    hosts: () => hosts,
    paths,
    random: createRandom(1),
    openDirect: () => Promise.reject(new Error('refused')),
  });
  const stream = dialer.dial(ADDRESS);
  closers.push(() => paths.close());
  closers.push(() => stream.destroy());
  return stream;
}

test('refusals: an endpoint is not down because one other host is refused too', async () => {
  const hosts = [
    await startHost('b', 'refused'),
    await startHost('c', 'opened'),
  ];
  const stream = dial(hosts);
  const [bytes] = (await once(stream, 'data')) as [Buffer];
  assert.equal(bytes.toString(), 'response');
});

test('refusals: an endpoint is not down because it is silent to one other host', async () => {
  const hosts = [
    await startHost('b', 'silent'),
    await startHost('c', 'opened'),
  ];
  const [bytes] = (await once(dial(hosts), 'data')) as [Buffer];
  assert.equal(bytes.toString(), 'response');
});

for (const replies of [
  ['refused'],
  ['refused', 'unknown'],
  ['refused', 'refused', 'opened'],
] as const)
  test(`refusals: an endpoint is down if other hosts say ${replies.join(', ')}`, async () => {
    const hosts = await Promise.all(
      replies.map((reply, index) => startHost(`h${index}`, reply)),
    );
    const [err] = (await once(dial(hosts), 'error')) as [Error];
    assert.equal(err instanceof UnreachableError, false);
    assert.equal(err.message, 'refused');
  });
