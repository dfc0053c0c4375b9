// Guards against requests to an endpoint that has stated, in a response, that it stops or
// wants none.
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {
  closeHarnesses,
  config,
  MODEL,
  record,
  respond,
  route,
  sendRequest,
  startEndpoint,
  startHarness,
  type Behavior,
  type FakeEndpoint,
} from './harness.js';

after(closeHarnesses);

const SIGNED = 'signature: s\r\n';
const EVENT = 'id: 1\ndata: 1\n\n';
/** Slower than the others, so that it is chosen only in their place. */
const works: Behavior = (socket, head) =>
  setTimeout(() => respond(EVENT)(socket, head), 60);
const leaves = respond(EVENT, '200 OK', `${SIGNED}leaving: 1\r\n`);
const STREAM_ROUTE = route({
  kind: 'stream',
  targets: [{service: MODEL, weight: 1}],
});

const SERVICES = {
  plain: {},
  stream: {
    service: MODEL,
    accelerator: 'card',
    layers: {from: 0, to: 80},
  },
} as const;

async function start(
  kind: keyof typeof SERVICES,
  endpoints: readonly FakeEndpoint[],
) {
  const {port} = await startHarness({
    config: config(kind === 'stream' ? {routes: [STREAM_ROUTE]} : {}),
    records: endpoints.map(({address}, index) =>
      record(`e${index}`, address, SERVICES[kind]),
    ),
  });
  return async (count: number) => {
    const statuses: number[] = [];
    for (let n = 0; n < count; n++) {
      const reply = await sendRequest(port, {
        headers: {'request-id': `q${n}`},
        body: `${n}`,
      });
      statuses.push(reply.status);
    }
    return statuses;
  };
}

for (const kind of ['plain', 'stream'] as const)
  test(`notices: an endpoint that states it is leaving gets no further ${kind} request`, async () => {
    const endpoints = await Promise.all([
      startEndpoint(leaves),
      startEndpoint(works),
    ]);
    const send = await start(kind, endpoints);
    const statuses = await send(12);
    assert.deepEqual(new Set(statuses), new Set([200]));
    assert.ok(endpoints[0].heads.length <= 1);
  });

const asksForPause = respond(
  '',
  '503 Service Unavailable',
  'not-run: 1\r\nretry-after: 30\r\n',
);

for (const kind of ['plain', 'stream'] as const) {
  test(`notices: an endpoint that asks for a pause gets no ${kind} request in it`, async () => {
    const endpoints = await Promise.all([
      startEndpoint(asksForPause),
      startEndpoint(works),
    ]);
    const send = await start(kind, endpoints);
    for (let n = 0; n < 4; n++) {
      assert.deepEqual(await send(1), [200]);
      // Longer than an endpoint is avoided for that does not ask for a pause.
      await new Promise(done => setTimeout(done, 300));
    }
    assert.ok(endpoints[0].heads.length <= 1);
  });

  test(`notices: ${kind} requests are refused while all endpoints ask for a pause`, async () => {
    const endpoints = await Promise.all([
      startEndpoint(asksForPause),
      startEndpoint(asksForPause),
    ]);
    const send = await start(kind, endpoints);
    assert.deepEqual(await send(3), [503, 503, 503]);
    for (const {heads} of endpoints) assert.ok(heads.length <= 1);
  });
}

test('notices: a caller is told to return when the first pause ends', async () => {
  const endpoint = await startEndpoint(asksForPause);
  const {port} = await startHarness({
    records: [record('e0', endpoint.address)],
  });
  const send = (requestId: string) =>
    sendRequest(port, {headers: {'request-id': requestId}, body: requestId});
  await send('q0');
  const {status, headers} = await send('q1');
  assert.equal(status, 503);
  const seconds = Number(headers['retry-after']);
  assert.ok(seconds > 28 && seconds <= 30, `${seconds} s`);
});

const LIMIT = 4;
const limits = respond(EVENT, '200 OK', `${SIGNED}limit: ${LIMIT}\r\n`);

for (const kind of ['plain', 'stream'] as const) {
  test(`notices: an endpoint that limits ${kind} requests gets no more, others get the rest`, async () => {
    const endpoints = await Promise.all([
      startEndpoint(limits),
      startEndpoint(works),
    ]);
    const send = await start(kind, endpoints);
    const startMs = performance.now();
    const statuses = await Promise.all([send(15), send(15)]);
    const elapsedS = (performance.now() - startMs) / 1_000;
    assert.deepEqual(new Set(statuses.flat()), new Set([200]));
    const received = endpoints[0].heads.length;
    assert.ok(received <= LIMIT * (elapsedS + 1) + 3, `${received} requests`);
  });

  test(`notices: ${kind} requests wait or are refused if all endpoints limit them`, async () => {
    const endpoint = await startEndpoint(limits);
    const send = await start(kind, [endpoint]);
    const startMs = performance.now();
    const statuses = (
      await Promise.all(Array.from({length: 20}, () => send(1)))
    ).flat();
    const elapsedS = (performance.now() - startMs) / 1_000;
    assert.ok(endpoint.heads.length <= LIMIT * (elapsedS + 1) + 2);
    assert.ok(statuses.includes(200) && statuses.includes(503));
  });
}
