// Guards against a repeated request that crashes one endpoint after the other, where the
// crash is seen late, in the middle of a response, or beside sound requests.
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

const ENDPOINTS = 14;
/** Longer than the time in which all hosts report on a crash. */
const PAUSE_MS = 300;
const START = 'HTTP/1.1 200 OK\r\nsignature: s\r\n';

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

function startOf(head: string): string {
  return `${START}request-id: ${header(head, 'request-id')}\r\ntransfer-encoding: chunked\r\n\r\n`;
}

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** First event that an endpoint sends: the one after the last that was received. */
const firstEvent = (head: string) =>
  Number(header(head, 'after-event') || 0) + 1;

const writes: Behavior = (socket, head) => {
  const first = firstEvent(head);
  const events = Array.from({length: 5}, (_, n) => event(first + n)).join('');
  socket.end(`${startOf(head)}${chunk(events)}0\r\n\r\n`);
};

/** Writes one event, and crashes. */
const crashesAfterEvent = (
  endpoint: FakeEndpoint,
  ...[socket, head]: Parameters<Behavior>
) =>
  void socket.write(startOf(head) + chunk(event(firstEvent(head))), () =>
    setTimeout(() => endpoint.crash(), 10),
  );

async function startStreams(
  act: (endpoint: FakeEndpoint, ...args: Parameters<Behavior>) => void,
) {
  const endpoints = await Promise.all(
    Array.from({length: ENDPOINTS}, async () => {
      const endpoint = await startEndpoint(writes);
      endpoint.behavior = (socket, head) =>
        /request-id: deadly/.test(head)
          ? act(endpoint, socket, head)
          : writes(socket, head);
      return endpoint;
    }),
  );
  const {port} = await startHarness({
    config: config({
      routes: [
        route({
          kind: 'stream',
          resumable: true,
          maxEndpoints: 3,
          targets: [{service: MODEL, weight: 1}],
        }),
      ],
    }),
    records: endpoints.map(({address}, index) =>
      record(`m${index}`, address, {
        service: MODEL,
        accelerator: 'card',
        layers: {from: 0, to: 80},
      }),
    ),
  });
  const received = () =>
    endpoints.flatMap(({heads}) => heads).filter(head => /: deadly/.test(head))
      .length;
  return {port, received};
}

const pause = () => new Promise(done => setTimeout(done, PAUSE_MS));

test('quarantine: a request that crashes endpoints after its first event is stopped', async () => {
  const {port, received} = await startStreams(crashesAfterEvent);
  for (let n = 0; n < ENDPOINTS; n++) {
    await sendRequest(port, {
      headers: {'request-id': `deadly${n}`, parts: 'common,own'},
      body: 'the same body',
    });
    await pause();
  }
  assert.ok(received() <= 4, `sent ${received()} times`);
});

test('quarantine: a request that its caller resumes and that crashes endpoints is stopped', async () => {
  const {port, received} = await startStreams(crashesAfterEvent);
  for (let n = 0; n < ENDPOINTS; n++) {
    await sendRequest(port, {
      headers: {
        'request-id': `deadly${n}`,
        parts: 'common,own',
        'after-event': '7',
      },
      body: 'the same body',
    });
    await pause();
  }
  assert.ok(received() <= 4, `sent ${received()} times`);
});
