// Guards against running a request twice, reporting wrongly that it has not run, and
// forwarding a response that is truncated or belongs to another request.
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import type {RequestKind} from '../src/types.js';
import {
  respond,
  sendRequest,
  closeHarnesses,
  config,
  header,
  record,
  route,
  startEndpoint,
  startHarness,
  type Behavior,
} from './harness.js';

after(closeHarnesses);

const reset: Behavior = socket => socket.resetAndDestroy();
const unresponsive: Behavior = () => {};
const garbage: Behavior = socket => socket.end('no answer\r\n\r\n');
const refuses = respond('', '503 Service Unavailable', 'not-run: 1\r\n');
const misdirected = respond('', '421 Misdirected Request', '');
const unsigned = respond('x', '200 OK', '');
const fails = respond('x', '500 Internal Server Error');
const ofOtherRequest: Behavior = socket =>
  socket.end(
    'HTTP/1.1 200 OK\r\nrequest-id: q2\r\nsignature: s\r\ncontent-length: 1\r\n\r\nx',
  );
const truncated: Behavior = (socket, head) =>
  socket.end(
    `HTTP/1.1 200 OK\r\nrequest-id: ${header(head, 'request-id')}\r\nsignature: s\r\ncontent-length: 9\r\n\r\npart`,
  );

const CASES: readonly {
  name: string;
  first: Behavior;
  kind: RequestKind;
  status: number;
  /** Whether the second endpoint also gets the request. */
  resent: boolean;
}[] = [
  {name: 'a reset', first: reset, kind: 'once', status: 502, resent: false},
  {
    name: 'a reset',
    first: reset,
    kind: 'repeatable',
    status: 200,
    resent: true,
  },
  {name: 'garbage', first: garbage, kind: 'once', status: 502, resent: false},
  {
    name: 'garbage',
    first: garbage,
    kind: 'repeatable',
    status: 200,
    resent: true,
  },
  {
    name: 'a truncated body',
    first: truncated,
    kind: 'once',
    status: 502,
    resent: false,
  },
  {
    name: 'a truncated body',
    first: truncated,
    kind: 'repeatable',
    status: 200,
    resent: true,
  },
  {
    name: "another request's response",
    first: ofOtherRequest,
    kind: 'once',
    status: 502,
    resent: false,
  },
  {
    name: 'an unsigned response',
    first: unsigned,
    kind: 'once',
    status: 502,
    resent: false,
  },
  {name: 'a refusal', first: refuses, kind: 'once', status: 200, resent: true},
  {
    name: 'a misdirected request',
    first: misdirected,
    kind: 'once',
    status: 200,
    resent: true,
  },
  {
    name: "an endpoint's error response",
    first: fails,
    kind: 'once',
    status: 500,
    resent: false,
  },
  {
    name: "an endpoint's error response",
    first: fails,
    kind: 'repeatable',
    status: 200,
    resent: true,
  },
  {
    name: 'no response',
    first: unresponsive,
    kind: 'once',
    status: 504,
    resent: false,
  },
];

for (const {name, first, kind, status, resent} of CASES) {
  test(`plain: ${name} for a ${kind} request results in ${status}`, async () => {
    const bad = await startEndpoint(first);
    const good = await startEndpoint(respond('whole'));
    const {port, gateway} = await startHarness({
      config: config({routes: [route({kind, timeoutMs: 400})]}),
      records: [record('bad', bad.address), record('good', good.address)],
    });
    // The bad endpoint is chosen first, because its latency is lower.
    for (const state of gateway.table.all())
      state.latencyMs = state.record.id === 'bad' ? 1 : 100;
    const reply = await sendRequest(port);
    assert.equal(reply.status, status);
    assert.equal(good.heads.length, resent ? 1 : 0);
    assert.equal(bad.heads.length, 1);
    if (status === 200) assert.equal(reply.body, 'whole');
    const isFromGateway = status === 502 || status === 504;
    assert.equal(reply.headers['signature'], isFromGateway ? undefined : 's');
  });
}

test('plain: if all endpoints refuse, the response has a retry-after header', async () => {
  const endpoints = await Promise.all([0, 1].map(() => startEndpoint(refuses)));
  const {port} = await startHarness({
    config: config({routes: [route({kind: 'once'})]}),
    records: endpoints.map(({address}, index) => record(`e${index}`, address)),
  });
  const reply = await sendRequest(port);
  assert.equal(reply.status, 503);
  assert.ok(Number(reply.headers['retry-after']) > 0);
});

test('plain: an error response is forwarded if the retry gets no response', async () => {
  let requests = 0;
  const behavior: Behavior = (socket, head) =>
    requests++ === 0
      ? respond('sorry', '500 Internal Server Error')(socket, head)
      : socket.resetAndDestroy();
  const first = await startEndpoint(behavior);
  const second = await startEndpoint(behavior);
  const {port} = await startHarness({
    records: [record('first', first.address), record('second', second.address)],
  });
  const reply = await sendRequest(port);
  assert.equal(requests, 2);
  assert.equal(reply.status, 500);
  assert.equal(reply.body, 'sorry');
});

test('plain: a refused connection is not a run, so the request is sent elsewhere', async () => {
  const good = await startEndpoint(respond('whole'));
  const {port, gateway} = await startHarness({
    config: config({routes: [route({kind: 'once'})]}),
    records: [record('dead', '127.0.0.1:1'), record('good', good.address)],
  });
  for (const state of gateway.table.all())
    state.latencyMs = state.record.id === 'dead' ? 1 : 100;
  assert.equal((await sendRequest(port)).status, 200);
});

test('plain: a suspected endpoint is counted in the metric', async () => {
  const {port, metricsPort} = await startHarness({
    records: [record('dead', '127.0.0.1:1')],
  });
  await sendRequest(port);
  const {body} = await sendRequest(metricsPort, {method: 'GET'});
  assert.match(body, /^chivewick_gateway_suspected_total 1$/m);
});

test('plain: a response without a length is forwarded completely', async () => {
  const endpoint = await startEndpoint((socket, head) =>
    socket.end(
      `HTTP/1.1 200 OK\r\nrequest-id: ${header(head, 'request-id')}\r\nsignature: s\r\n\r\nwhole`,
    ),
  );
  const {port} = await startHarness({records: [record('e', endpoint.address)]});
  const reply = await sendRequest(port);
  assert.equal(reply.body, 'whole');
  assert.equal(reply.complete, true);
});

test('plain: a body over the limit is refused and not forwarded', async () => {
  const endpoint = await startEndpoint(respond('whole'));
  const {port} = await startHarness({records: [record('e', endpoint.address)]});
  const reply = await sendRequest(port, {body: 'x'.repeat(1_001)});
  assert.equal(reply.status, 413);
  assert.equal(endpoint.heads.length, 0);
});
