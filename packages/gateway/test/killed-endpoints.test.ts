// Guards against delivering the part of a response that has arrived as a whole one when
// its endpoint is killed: the kernel ends the connections of a killed process in the same
// way as an endpoint ends a response without a length.
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
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

after(closeHarnesses);

const event = (number: number) => `id: ${number}\ndata: ${number}\n\n`;

/** Sends a response without a length; the process ends during it, or goes on. */
function startUnframed(body: string, isKilled: boolean): Promise<FakeEndpoint> {
  const begin: Behavior = (socket, head) => {
    const id = header(head, 'request-id');
    socket.write(
      `HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: ${id}\r\n\r\n${body}`,
      () => setTimeout(end, 20),
    );
    const end = () => (isKilled ? endpoint.crash() : socket.end());
  };
  let endpoint: FakeEndpoint;
  return startEndpoint(begin).then(started => (endpoint = started));
}

const STREAM_RECORD = {
  service: MODEL,
  accelerator: 'card',
  layers: {from: 0, to: 80},
} as const;

async function start(
  kind: 'repeatable' | 'once' | 'stream',
  endpoints: readonly FakeEndpoint[],
) {
  const rule =
    kind === 'stream'
      ? {kind, resumable: true, targets: [{service: MODEL, weight: 1}]}
      : {kind};
  return startHarness({
    config: config({routes: [route(rule)]}),
    records: endpoints.map(({address}, index) =>
      record(`e${index}`, address, kind === 'stream' ? STREAM_RECORD : {}),
    ),
  });
}

test('killed endpoint: a stream goes on at another endpoint after the last event', async () => {
  const killed = await startUnframed(event(1) + event(2), true);
  const {port, gateway} = await start('stream', [killed]);
  const sound = await startEndpoint((socket, head) => {
    const after = header(head, 'after-event');
    respond(after === '2' ? event(3) : 'unexpected')(socket, head);
  });
  const reply = sendRequest(port, {body: 'a'});
  await until(() => killed.heads.length > 0);
  gateway.table.upsert(record('e1', sound.address, STREAM_RECORD));
  const {status, body, complete} = await reply;
  assert.deepEqual(
    {status, body, complete},
    {status: 200, body: event(1) + event(2) + event(3), complete: true},
  );
});

test('killed endpoint: a repeatable request is sent to another endpoint', async () => {
  const killed = await startUnframed('part', true);
  const sound = await startEndpoint(respond('whole'));
  const {port, gateway} = await start('repeatable', [killed]);
  const reply = sendRequest(port);
  await until(() => killed.heads.length > 0);
  gateway.table.upsert(record('e1', sound.address));
  const {status, body} = await reply;
  assert.deepEqual({status, body}, {status: 200, body: 'whole'});
  assert.equal(killed.heads.length, 1);
});

test('killed endpoint: part of the response to a request that runs once is not delivered', async () => {
  const {port} = await start('once', [await startUnframed('part', true)]);
  const {status, body} = await sendRequest(port, {body: 'a'});
  assert.equal(status, 502);
  assert.doesNotMatch(body, /^part/);
});

for (const kind of ['repeatable', 'once', 'stream'] as const)
  test(`killed endpoint: a whole ${kind} response without a length is delivered`, async () => {
    const body = kind === 'stream' ? event(1) : 'whole';
    const {port} = await start(kind, [await startUnframed(body, false)]);
    const reply = await sendRequest(port, {body: 'a'});
    assert.deepEqual(
      {status: reply.status, body: reply.body, complete: reply.complete},
      {status: 200, body, complete: true},
    );
  });

/** Starts a request, and has its endpoint report that it leaves while it responds. */
async function startLeaving(
  kind: 'repeatable' | 'once',
  leaving: FakeEndpoint,
) {
  const {port, gateway} = await start(kind, [leaving]);
  const reply = sendRequest(port, {body: 'a'});
  const [state] = gateway.table.all();
  await until(() => leaving.heads.length > 0);
  gateway.table.upsert({...state.record, state: 'draining'});
  return {reply, gateway};
}

test('killed endpoint: part of the response of one that leaves is not delivered', async () => {
  const {reply} = await startLeaving('once', await startUnframed('part', true));
  const {status, body} = await reply;
  assert.equal(status, 502);
  assert.doesNotMatch(body, /^part/);
});

test('killed endpoint: a repeatable request to one that leaves is sent to another', async () => {
  const sound = await startEndpoint(respond('whole'));
  const leaving = await startUnframed('part', true);
  const {reply, gateway} = await startLeaving('repeatable', leaving);
  gateway.table.upsert(record('e1', sound.address));
  const {status, body} = await reply;
  assert.deepEqual({status, body}, {status: 200, body: 'whole'});
});

test('killed endpoint: one that leaves may exit as soon as its response with a length is complete', async () => {
  const leaving = await startEndpoint((socket, head) =>
    setTimeout(() => {
      respond('whole')(socket, head);
      leaving.refuse();
    }, 20),
  );
  const {reply} = await startLeaving('once', leaving);
  assert.equal((await reply).body, 'whole');
});

test('killed endpoint: a whole response without a length of one that leaves is delivered', async () => {
  const leaving = await startUnframed('whole', false);
  const {reply} = await startLeaving('once', leaving);
  assert.equal((await reply).body, 'whole');
});
