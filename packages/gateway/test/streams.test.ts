// Guards against missing, duplicate or partial events, against joining streams of
// two requests, and against callers that wait for a dead stage.
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {after, test} from 'node:test';
import type {EngineControl, EngineReport, RouteRule} from '../src/types.js';
import {
  respond,
  sendRequest,
  closeHarnesses,
  config,
  header,
  loadFromOthers,
  MODEL,
  PROFILE,
  record,
  route,
  startEndpoint,
  startHarness,
  type Behavior,
} from './harness.js';

after(closeHarnesses);

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const events = (from: number, to: number) =>
  Array.from({length: to - from + 1}, (_, index) => event(from + index)).join(
    '',
  );
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const END = '0\r\n\r\n';
const start = (head: string) =>
  `HTTP/1.1 200 OK\r\nrequest-id: ${header(head, 'request-id')}\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n`;

/** Sends the events of a five-event stream that the caller does not have yet. */
const resumes: Behavior = (socket, head) => {
  const after = Number(header(head, 'after-event') || 0);
  socket.end(start(head) + chunk(events(after + 1, 5)) + END);
};
/** Sends all five events, regardless of what the caller has. */
const restarts: Behavior = (socket, head) =>
  socket.end(start(head) + chunk(events(1, 5)) + END);
const breaksOff =
  (text: string, end: (socket: Socket) => void): Behavior =>
  (socket, head) =>
    socket.write(start(head) + chunk(text), () => setTimeout(end, 10, socket));
const reset = (socket: Socket) => socket.resetAndDestroy();
const close = (socket: Socket) => socket.end();
const skipsEvent: Behavior = (socket, head) =>
  socket.end(start(head) + chunk(events(1, 2) + events(4, 5)) + END);

const half = (
  name: string,
  address: string,
  from: number,
  accelerator = 'card',
) =>
  record(name, address, {
    service: MODEL,
    accelerator,
    layers: {from, to: from + 40},
  });

function streamRoute(changes: Partial<RouteRule> = {}) {
  return config({
    routes: [
      route({
        kind: 'stream',
        resumable: true,
        targets: [{service: MODEL, weight: 1}],
        timeoutMs: 30_000,
        ...changes,
      }),
    ],
  });
}

/** Starts two endpoints for the first half; `bad` is chosen first. */
async function twoFirstHalves(bad: Behavior, good: Behavior, changes = {}) {
  const first = await startEndpoint(bad);
  const second = await startEndpoint(good);
  const harness = await startHarness({
    config: streamRoute(changes),
    records: [
      half('bad', first.address, 0),
      half('good', second.address, 0),
      half('rest', '127.0.0.1:1', 40),
    ],
  });
  loadFromOthers(harness.gateway, 'good');
  return {first, second, ...harness};
}

const CASES: readonly {
  name: string;
  bad: Behavior;
  good?: Behavior;
  resumesAfter: string;
}[] = [
  {name: 'a reset', bad: breaksOff(events(1, 2), reset), resumesAfter: '2'},
  {
    name: 'an end without the final chunk',
    bad: breaksOff(events(1, 2), close),
    resumesAfter: '2',
  },
  {
    name: 'a break inside an event',
    bad: breaksOff(events(1, 2) + 'id: 3\nda', reset),
    resumesAfter: '2',
  },
  {name: 'a break before any event', bad: reset, resumesAfter: ''},
  {name: 'a skipped event', bad: skipsEvent, resumesAfter: '2'},
  {
    name: 'a retry that starts from the first event',
    bad: breaksOff(events(1, 2), reset),
    good: restarts,
    resumesAfter: '2',
  },
];

for (const {name, bad, good = resumes, resumesAfter} of CASES) {
  test(`streams: after ${name} the caller gets every event once`, async () => {
    const {port, second} = await twoFirstHalves(bad, good);
    const reply = await sendRequest(port);
    assert.equal(reply.body, events(1, 5));
    assert.equal(reply.complete, true);
    assert.equal(header(second.heads[0], 'after-event'), resumesAfter);
  });
}

test('streams: a caller that resumes gets only the following events', async () => {
  const {port} = await twoFirstHalves(resumes, resumes);
  const reply = await sendRequest(port, {headers: {'after-event': '3'}});
  assert.equal(reply.body, events(4, 5));
});

test('streams: one that is not resumable runs once and does not appear complete', async () => {
  const {port, second} = await twoFirstHalves(
    breaksOff(events(1, 2), reset),
    resumes,
    {resumable: false},
  );
  const reply = await sendRequest(port);
  assert.equal(reply.complete, false);
  assert.equal(second.heads.length, 0);
});

test('streams: a failure has no headers of an endpoint that broke off before an event', async () => {
  const headOnly: Behavior = (socket, head) =>
    socket.write(start(head), () => setTimeout(reset, 10, socket));
  const {port} = await twoFirstHalves(headOnly, resumes, {resumable: false});
  const reply = await sendRequest(port);
  assert.equal(reply.status, 502);
  assert.equal(reply.headers['signature'], undefined);
});

test('streams: no endpoint gets more runs than the route allows', async () => {
  const {port, first, second} = await twoFirstHalves(
    breaksOff(events(1, 2), reset),
    breaksOff(event(3), reset),
  );
  const reply = await sendRequest(port);
  assert.equal(reply.complete, false);
  assert.equal(reply.body, events(1, 3));
  assert.equal(first.heads.length + second.heads.length, 2);
});

const errs = respond('wrong', '500 Internal Server Error');

test('streams: an error before any event leads to another path', async () => {
  const {port, gateway, first} = await twoFirstHalves(errs, resumes);
  assert.equal((await sendRequest(port)).body, events(1, 5));
  // Health checks of such an endpoint succeed, so only its answers show the fault.
  loadFromOthers(gateway, 'good');
  assert.equal((await sendRequest(port)).body, events(1, 5));
  assert.equal(first.heads.length, 1);
});

test('streams: if every path answers with an error, the first one is forwarded', async () => {
  const {port, first, second} = await twoFirstHalves(errs, errs);
  const reply = await sendRequest(port);
  assert.equal(reply.status, 500);
  assert.equal(reply.body, 'wrong');
  assert.equal(first.heads.length + second.heads.length, 2);
});

test('streams: one that is not resumable is not repeated after an error', async () => {
  const changes = {resumable: false};
  const {port, second} = await twoFirstHalves(errs, resumes, changes);
  assert.equal((await sendRequest(port)).status, 500);
  assert.equal(second.heads.length, 0);
});

test('streams: a refusal leads to another path and is not a run', async () => {
  const refuses = respond('', '503 Service Unavailable', 'not-run: 1\r\n');
  const {port} = await twoFirstHalves(refuses, resumes);
  assert.equal((await sendRequest(port)).body, events(1, 5));
});

test('streams: a started one is retried until an endpoint has capacity', async () => {
  const refuses = respond('', '503 Service Unavailable', 'not-run: 1\r\n');
  let refusalsLeft = 8;
  const {port, second} = await twoFirstHalves(
    breaksOff(events(1, 2), reset),
    (socket, head) =>
      refusalsLeft-- > 0 ? refuses(socket, head) : resumes(socket, head),
  );
  const reply = await sendRequest(port, {headers: {'deadline-ms': '30000'}});
  assert.equal(reply.body, events(1, 5));
  assert.equal(reply.complete, true);
  assert.equal(second.heads.length, 9);
});

test('streams: the caller is refused immediately if a layer has no endpoint', async () => {
  const first = await startEndpoint(resumes);
  const {port} = await startHarness({
    config: streamRoute(),
    records: [half('only', first.address, 0)],
  });
  const reply = await sendRequest(port);
  assert.equal(reply.status, 503);
  assert.ok(Number(reply.headers['retry-after']) > 0);
  assert.equal(first.heads.length, 0);
});

const ALIVE: EngineReport = {orderCount: 0, slowness: 1, stalled: []};

/** Engine control in which dead engines do not respond; records new paths. */
function createControl(dead: () => readonly string[], onRepath: () => void) {
  const paths: string[] = [];
  const control: EngineControl = {
    report: address =>
      Promise.resolve(dead().includes(address) ? undefined : ALIVE),
    place: () => Promise.resolve({kind: 'unknown', message: 'not expected'}),
    repath: (_first, _requestId, stages) => {
      paths.push(stages.map(stage => stage.endpoint).join(','));
      onRepath();
      return Promise.resolve({kind: 'done'});
    },
  };
  return {control, paths};
}

test('streams: a dead later stage is replaced while the stream continues', async () => {
  let resume = () => {};
  const first = await startEndpoint((socket, head) => {
    socket.write(start(head) + chunk(events(1, 3)));
    resume = () => void socket.end(chunk(events(4, 5)) + END);
  });
  const {control, paths} = createControl(
    () => ['127.0.0.1:2'],
    () => resume(),
  );
  const {port, gateway} = await startHarness({
    config: streamRoute(),
    control,
    records: [
      half('first', first.address, 0),
      half('dead', '127.0.0.1:2', 40),
      half('spare', '127.0.0.1:3', 40),
    ],
  });
  loadFromOthers(gateway, 'spare');
  const reply = await sendRequest(port);
  assert.equal(reply.body, events(1, 5));
  assert.equal(reply.complete, true);
  assert.deepEqual(paths, ['first,spare']);
  assert.equal(first.heads.length, 1);
});

test('streams: a repaired one is kept while the replacement reads the prompt', async () => {
  const first = await startEndpoint((socket, head) => {
    socket.write(start(head) + chunk(events(1, 3)));
    resume = () =>
      void setTimeout(() => socket.end(chunk(events(4, 5)) + END), 2_000);
  });
  let resume = () => {};
  const second = await startEndpoint(resumes);
  const {control} = createControl(
    () => ['127.0.0.1:2'],
    () => resume(),
  );
  // Half of the layers read the 100 tokens of the prompt in 3 s.
  const profile = {...PROFILE, prefillTokensPerS: 50};
  const engine = {name: MODEL, healthPath: '/health', engine: profile};
  const {port, gateway} = await startHarness({
    config: {...streamRoute(), services: new Map([[MODEL, engine]])},
    control,
    records: [
      half('first', first.address, 0),
      half('second', second.address, 0),
      half('dead', '127.0.0.1:2', 40),
      half('spare', '127.0.0.1:3', 40),
    ],
  });
  for (const busy of ['second', 'spare']) loadFromOthers(gateway, busy);
  const reply = await sendRequest(port);
  assert.equal(reply.body, events(1, 5));
  assert.equal(second.heads.length, 0);
});

test('streams: a stream with a dead first stage resumes on another path', async () => {
  const first = await startEndpoint((socket, head) => {
    socket.write(start(head) + chunk(events(1, 3)));
  });
  const second = await startEndpoint(resumes);
  const {control} = createControl(
    () => [first.address],
    () => {},
  );
  const {port, gateway} = await startHarness({
    config: streamRoute(),
    control,
    records: [
      half('first', first.address, 0),
      half('second', second.address, 0),
      half('rest', '127.0.0.1:3', 40),
    ],
  });
  loadFromOthers(gateway, 'second');
  const reply = await sendRequest(port);
  assert.equal(reply.body, events(1, 5));
  assert.equal(header(second.heads[0], 'after-event'), '3');
});

test('streams: no stage is suspected if none responds', async () => {
  const first = await startEndpoint((socket, head) => {
    socket.write(start(head) + chunk(events(1, 3)));
    setTimeout(() => socket.end(chunk(events(4, 5)) + END), 400);
  });
  const {control, paths} = createControl(
    () => [first.address, '127.0.0.1:2'],
    () => {},
  );
  const {port, gateway} = await startHarness({
    config: streamRoute(),
    control,
    records: [
      half('first', first.address, 0),
      half('later', '127.0.0.1:2', 40),
      half('spare', '127.0.0.1:3', 40),
    ],
  });
  loadFromOthers(gateway, 'spare');
  assert.equal((await sendRequest(port)).body, events(1, 5));
  assert.deepEqual(paths, []);
  assert.ok(gateway.table.all().every(state => state.suspectedUntilMs === 0));
});

test('streams: a silent one that is not resumable is not abandoned', async () => {
  const first = await startEndpoint((socket, head) => {
    socket.write(start(head) + chunk(events(1, 3)));
    setTimeout(() => socket.end(chunk(events(4, 5)) + END), 600);
  });
  const {control} = createControl(
    () => ['127.0.0.1:2'],
    () => {},
  );
  const {port} = await startHarness({
    config: streamRoute({resumable: false}),
    control,
    records: [half('first', first.address, 0), half('dead', '127.0.0.1:2', 40)],
  });
  const reply = await sendRequest(port);
  assert.equal(reply.body, events(1, 5));
  assert.equal(reply.complete, true);
});
