// Guards against the loss of requests at a host that reaches no endpoint by itself while
// other hosts do, and against blaming the endpoints or the requests for it.
import {id, type FailureDomain, type HostId} from '@chivewick/common';
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import {createFrameWriter, type TunnelHost} from '@chivewick/tunnels';
import assert from 'node:assert/strict';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {after, test} from 'node:test';
import type {EngineReport} from '../src/types.js';
import {
  closeHarnesses,
  config,
  header,
  MODEL,
  record,
  respond,
  route,
  sendRequest,
  startEndpoint,
  startHarness,
  until,
  type Behavior,
  type FakeEndpoint,
} from './harness.js';

const closers: (() => void)[] = [];
after(async () => {
  closers.forEach(close => close());
  await closeHarnesses();
});

const event = (number: number) => `id: ${number}\ndata: ${number}\n\n`;
const works = respond(event(1));

/**
 * A host that reaches an endpoint in place of each that has crashed for this one, apart from
 * one that refuses its connections too.
 */
async function startTunnelHost(
  endpoint: FakeEndpoint,
  refusing?: string,
): Promise<{host: TunnelHost; opened: () => number; end: () => void}> {
  let opened = 0;
  const clients = new Set<Socket>();
  const server = createServer(client => {
    clients.add(client);
    client.on('error', () => {});
    client.once('data', line => {
      if (refusing !== undefined && line.includes(refusing))
        return void client.end('refused\n');
      opened += 1;
      const [ip, port] = endpoint.address.split(':');
      const upstream = connect(Number(port), ip);
      client.write('opened\n');
      upstream.on('error', () => client.destroy());
      client.once('close', () => upstream.destroy());
      upstream.pipe(createFrameWriter()).pipe(client);
      client.pipe(upstream);
    });
  });
  closers.push(() => server.close());
  await new Promise<void>(done => server.listen(0, LOOPBACK_HOST, done));
  const {port} = server.address() as AddressInfo;
  return {
    host: {
      id: id<HostId>('other'),
      tunnelAddress: `${LOOPBACK_HOST}:${port}`,
      failureDomain: id<FailureDomain>('b'),
    },
    opened: () => opened,
    end() {
      server.close();
      for (const client of clients) client.destroy();
    },
  };
}

const STREAM = {
  service: MODEL,
  accelerator: 'card',
  layers: {from: 0, to: 80},
} as const;
const STREAM_ROUTE = route({
  kind: 'stream',
  resumable: true,
  targets: [{service: MODEL, weight: 1}],
});

/** A gateway whose endpoints are lost to it; `real` is reached through another host. */
async function start(
  kind: 'repeatable' | 'once' | 'stream',
  endpoints: readonly FakeEndpoint[],
  real: FakeEndpoint,
) {
  const isStream = kind === 'stream';
  const tunnel = await startTunnelHost(real);
  const harness = await startHarness({
    config: config({routes: [isStream ? STREAM_ROUTE : route({kind})]}),
    records: endpoints.map(({address}, index) =>
      record(`e${index}`, address, isStream ? STREAM : {}),
    ),
    tunnelHosts: [tunnel.host],
  });
  return {...harness, opened: tunnel.opened, endHost: tunnel.end};
}

const endpointsOf = (behavior: Behavior, count: number) =>
  Promise.all(Array.from({length: count}, () => startEndpoint(behavior)));

for (const kind of ['repeatable', 'once', 'stream'] as const)
  test(`cut off: ${kind} requests are served through another host, each sent once`, async () => {
    const endpoints = await endpointsOf(works, 4);
    const real = await startEndpoint(works);
    const {port, gateway, opened} = await start(kind, endpoints, real);
    for (const endpoint of endpoints) endpoint.crash();
    for (let n = 0; n < 6; n++) {
      const headers = {'request-id': `q${n}`};
      const reply = await sendRequest(port, {headers, body: `${n}`});
      assert.equal(reply.status, 200);
    }
    assert.equal(real.heads.length, 6);
    assert.equal(opened(), 6);
    for (const state of gateway.table.all())
      assert.equal(state.suspectedUntilMs, 0);
  });

for (const kind of ['once', 'stream'] as const)
  test(`cut off: a ${kind} response with status 000 is not forwarded through another host`, async () => {
    const endpoints = await endpointsOf(works, 1);
    const real = await startEndpoint(respond(event(1), '000 Status'));
    const {port} = await start(kind, endpoints, real);
    for (const endpoint of endpoints) endpoint.crash();
    assert.equal((await sendRequest(port, {body: 'a'})).status, 502);
  });

test('cut off: a stream that falls silent goes on through another host', async () => {
  const silent: Behavior = (socket, head) =>
    void socket.write(
      `HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: ${header(head, 'request-id')}\r\n\r\n${event(1)}`,
    );
  const endpoints = await endpointsOf(silent, 3);
  const real = await startEndpoint((socket, head) =>
    header(head, 'after-event') === '1'
      ? respond(event(2))(socket, head)
      : works(socket, head),
  );
  const {port} = await start('stream', endpoints, real);
  const reply = sendRequest(port, {headers: {'request-id': 'q'}, body: 'a'});
  await until(() => endpoints.some(({heads}) => heads.length > 0));
  for (const endpoint of endpoints) endpoint.refuse();
  await sendRequest(port, {headers: {'request-id': 'r'}, body: 'b'});
  const {status, body, complete} = await reply;
  assert.deepEqual(
    {status, body, complete},
    {status: 200, body: event(1) + event(2), complete: true},
  );
});

// Requests that were reset meet an endpoint that refuses, as after a crash, each time.
test('cut off: requests that are reset are not taken for the cause of crashes', async () => {
  const resets: Behavior = socket => socket.resetAndDestroy();
  const endpoints = await endpointsOf(resets, 8);
  const real = await startEndpoint(resets);
  const {port} = await start('stream', endpoints, real);
  for (const endpoint of endpoints) endpoint.crash();
  const send = (n: number) =>
    sendRequest(port, {
      headers: {'request-id': `q${n}`, parts: 'common,part,own'},
      body: 'the same',
    });
  for (let n = 0; n < 8; n++) {
    await send(n);
    await new Promise(done => setTimeout(done, 100));
  }
  real.behavior = works;
  assert.equal((await send(9)).status, 200);
});

/** Begins a response without a length; it ends with its connection. */
const begins =
  (part: string): Behavior =>
  (socket, head) =>
    void socket.write(
      `HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: ${header(head, 'request-id')}\r\n\r\n${part}`,
    );

for (const kind of ['repeatable', 'once', 'stream'] as const)
  test(`cut off: a ${kind} response is not complete because the host that carries it ends`, async () => {
    const endpoints = await endpointsOf(works, 2);
    const real = await startEndpoint(begins(event(1)));
    const {port, endHost} = await start(kind, endpoints, real);
    for (const endpoint of endpoints) endpoint.crash();
    const reply = sendRequest(port, {body: 'a'});
    await until(() => real.heads.length > 0);
    await new Promise(done => setTimeout(done, 50));
    endHost();
    const {status, complete} = await reply;
    assert.equal(status === 200 && complete, false);
  });

const ALIVE: EngineReport = {orderCount: 0, slowness: 1, stalled: []};
const QUIET = '127.0.0.1:5';

/** Whether an engine without a report in time is suspected at a host that is cut off. */
async function isQuietSuspected(refusing?: string): Promise<boolean> {
  const real = await startEndpoint(begins(event(1)));
  const tunnel = await startTunnelHost(real, refusing);
  const half = (name: string, address: string, from: number) =>
    record(name, address, {...STREAM, layers: {from, to: from + 40}});
  const unexpected = {kind: 'unknown', message: 'not expected'} as const;
  const {port, gateway} = await startHarness({
    config: config({routes: [STREAM_ROUTE]}),
    records: [
      half('first', '127.0.0.1:2', 0),
      half('second', '127.0.0.1:3', 0),
      half('third', '127.0.0.1:4', 0),
      half('quiet', QUIET, 40),
    ],
    tunnelHosts: [tunnel.host],
    openDirect: () => Promise.reject(new Error('connect timeout')),
    control: {
      report: address => Promise.resolve(address === QUIET ? undefined : ALIVE),
      place: () => Promise.resolve(unexpected),
      repath: () => Promise.resolve(unexpected),
    },
  });
  for (const name of ['q', 'r', 's'])
    void sendRequest(port, {headers: {'request-id': name}, body: name});
  await until(() => real.heads.length === 3);
  await new Promise(done => setTimeout(done, 700));
  const quiet = gateway.table.all().find(({record}) => record.id === 'quiet');
  return quiet!.suspectedUntilMs > 0;
}

test('cut off: an engine whose report does not arrive is not suspected while it is up', async () => {
  assert.equal(await isQuietSuspected(), false);
});

test('cut off: an engine whose report does not arrive is suspected if it refuses another host', async () => {
  assert.equal(await isQuietSuspected(QUIET), true);
});

for (const end of ['refuse', 'crash'] as const)
  test(`cut off: an endpoint is not suspected for requests that are lost with their link (${end})`, async () => {
    const silent: Behavior = () => {};
    const endpoints = await endpointsOf(silent, 1);
    const real = await startEndpoint(works);
    const {port, gateway} = await start('repeatable', endpoints, real);
    const [{heads}] = endpoints;
    const replies = [1, 2, 3, 4].map(n =>
      sendRequest(port, {headers: {'request-id': `q${n}`}, body: `${n}`}),
    );
    await until(() => heads.length === 4);
    endpoints[0][end]();
    replies.push(sendRequest(port, {headers: {'request-id': 'r'}, body: 'r'}));
    await Promise.all(replies);
    const [state] = gateway.table.all();
    assert.equal(state.suspectedUntilMs, 0);
  });

test('cut off: an endpoint is not suspected for requests that end after their link has failed', async () => {
  const silent: Behavior = () => {};
  const endpoints = await endpointsOf(silent, 1);
  const real = await startEndpoint(works);
  const {port, gateway} = await start('once', endpoints, real);
  const [{heads, refuse}] = endpoints;
  const headers = {'deadline-ms': '500'};
  const replies = [1, 2, 3, 4].map(n =>
    sendRequest(port, {headers, body: `${n}`}),
  );
  await until(() => heads.length === 4);
  refuse();
  assert.equal((await sendRequest(port, {body: 'r'})).status, 200);
  for (const reply of replies) assert.equal((await reply).status, 504);
  const [state] = gateway.table.all();
  assert.equal(state.suspectedUntilMs, 0);
});
