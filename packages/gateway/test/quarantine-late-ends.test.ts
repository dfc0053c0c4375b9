// Guards against requests that go on to crash endpoints because a crash is noticed late:
// the endpoint listens again at once, or is silent for seconds before its process ends.
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {
  closeHarnesses,
  config,
  header,
  MODEL,
  record,
  route,
  sendRequest,
  startEndpoint,
  startHarness,
  type Behavior,
  type FakeEndpoint,
} from './harness.js';

after(closeHarnesses);

const ENDPOINTS = 10;
/** Longer than the interval between two checks of a silent endpoint. */
const NOTICED_MS = 1_600;
/** Longer than the time over which entries are batched. */
const ENTRY_MS = 300;
const SILENT_MS = 2_500;

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const startOf = (head: string) =>
  `HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: ${header(head, 'request-id')}\r\ntransfer-encoding: chunked\r\n\r\n`;
const isDeadly = (head: string) => /request-id: deadly/.test(head);
const pause = (ms: number) => new Promise(done => setTimeout(done, ms));

const writes: Behavior = (socket, head) => {
  const events = [1, 2, 3, 4, 5].map(event).join('');
  socket.end(`${startOf(head)}${chunk(events)}0\r\n\r\n`);
};

const modelRecord = (name: string, address: string, startedAtMs: number) =>
  record(name, address, {
    service: MODEL,
    accelerator: 'card',
    layers: {from: 0, to: 80},
    startedAtMs,
  });

/** Endpoints that write one event of a deadly request, and then fall silent or end. */
async function startStreams(
  act: (endpoint: FakeEndpoint, isSilent: (value: boolean) => void) => void,
) {
  const runs = new Map<string, number>();
  const silent = new Set<string>();
  const endpoints = await Promise.all(
    Array.from({length: ENDPOINTS}, async () => {
      const endpoint = await startEndpoint(writes);
      const {address} = endpoint;
      runs.set(address, 1);
      const setSilent = (value: boolean) =>
        void (value ? silent.add(address) : silent.delete(address));
      endpoint.behavior = (socket, head) =>
        isDeadly(head)
          ? void socket.write(startOf(head) + chunk(event(1)), () =>
              setTimeout(() => act(endpoint, setSilent), 10),
            )
          : writes(socket, head);
      return endpoint;
    }),
  );
  const nameOf = (address: string) =>
    `m${endpoints.findIndex(endpoint => endpoint.address === address)}`;
  const harness = await startHarness({
    config: config({
      routes: [
        route({
          kind: 'stream',
          resumable: true,
          targets: [{service: MODEL, weight: 1}],
        }),
      ],
    }),
    records: endpoints.map(({address}) =>
      modelRecord(nameOf(address), address, 1),
    ),
    control: {
      report: address =>
        Promise.resolve(
          silent.has(address)
            ? undefined
            : {
                startedAtMs: runs.get(address),
                orderCount: 0,
                slowness: 1,
                stalled: [],
              },
        ),
      place: () => Promise.resolve({kind: 'unknown', message: 'not used'}),
      repath: () => Promise.resolve({kind: 'unknown', message: 'not used'}),
    },
  });
  const send = (n: number) =>
    sendRequest(harness.port, {
      headers: {'request-id': `deadly${n}`, parts: `common,deadly,own${n}`},
      body: `d${n}`,
    });
  /** Another run of an endpoint starts, with an entry of its own. */
  function restart({address}: FakeEndpoint, name = nameOf(address)): void {
    const startedAtMs = runs.get(address)! + 1;
    runs.set(address, startedAtMs);
    harness.store.put(
      `endpoints/${name}`,
      modelRecord(name, address, startedAtMs),
    );
  }
  return {send, restart, endpoints};
}

async function assertSuspected(
  send: (n: number) => ReturnType<typeof sendRequest>,
) {
  const reply = await send(9);
  assert.equal(reply.status, 503);
  assert.match(reply.body, /"suspected".*"not_run"/);
}

test('late ends: a part that crashes endpoints which listen again at once is stopped', async () => {
  const {send, restart} = await startStreams(endpoint => {
    restart(endpoint);
    endpoint.reset();
  });
  await send(0);
  await pause(ENTRY_MS);
  await send(1);
  await pause(ENTRY_MS);
  await assertSuspected(send);
});

test('late ends: a new entry at the address of an endpoint shows that it has crashed', async () => {
  const {send, restart, endpoints} = await startStreams((_, setSilent) =>
    setSilent(true),
  );
  await Promise.all([send(0), send(1)]);
  for (const [index, endpoint] of endpoints.entries()) {
    restart(endpoint, `new${index}`);
    await pause(ENTRY_MS);
  }
  await assertSuspected(send);
});

test('late ends: a part whose endpoints are silent for seconds before they end is stopped', async () => {
  const {send} = await startStreams((endpoint, setSilent) => {
    setSilent(true);
    setTimeout(() => endpoint.crash(), SILENT_MS);
  });
  await Promise.all([send(0), send(1)]);
  await pause(SILENT_MS + NOTICED_MS);
  await assertSuspected(send);
});
