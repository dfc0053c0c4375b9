import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  brokenResponses,
  createServiceStandIn,
  soundResponses,
  writeResponse,
  type BrokenRule,
  type Delivery,
  type ServiceFaults,
  type ServiceStandIn,
} from '@chivewick/stand-ins';
import {createServiceApi, type HttpServiceApi} from '../src/index.js';

const BOOKING = {method: 'POST', path: '/slots', body: '{"day":1}'};
const PARTS = {fields: 'content-type: text/plain\r\n', body: 'booked'};
const BROKEN_RULES: readonly BrokenRule[] = [
  'status',
  'status line',
  'field name',
  'field value',
  'content length',
  'transfer coding',
  'chunk',
  'trailer',
  'interim',
  'no content',
  'field lines',
];

/** Calls a service that answers with the given bytes. */
async function callResponder(
  api: HttpServiceApi,
  text: string,
  delivery: Delivery,
) {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => void writeResponse(socket, text, delivery));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const options = {timeoutMs: 5_000};
  const outcome = await api.call(`127.0.0.1:${port}`, BOOKING, options);
  server.close();
  return outcome;
}

describe('service client', () => {
  let service: ServiceStandIn;
  let api: HttpServiceApi;

  beforeEach(async () => {
    service = await createServiceStandIn();
    api = createServiceApi();
  });
  afterEach(async () => {
    await api.close();
    await service.close();
  });

  // Guards against a call that ran being reported as not sent, and against a
  // call being written twice by the connection pool.
  const cases: {
    name: string;
    faults: Partial<ServiceFaults>;
    kind: string;
    runs: number;
  }[] = [
    {name: 'no fault', faults: {}, kind: 'answered', runs: 1},
    {
      name: 'connection refused',
      faults: {refuseMs: 60_000},
      kind: 'not_sent',
      runs: 0,
    },
    {
      name: 'freeze before the effect',
      faults: {freezeBeforeEffect: 1},
      kind: 'unknown',
      runs: 0,
    },
    {
      name: 'freeze after the effect',
      faults: {freezeAfterEffect: 1},
      kind: 'unknown',
      runs: 1,
    },
    {
      name: 'crash after the effect',
      faults: {crashAfterEffect: 1},
      kind: 'unknown',
      runs: 1,
    },
  ];
  for (const reused of [false, true]) {
    for (const {name, faults, kind, runs} of cases) {
      it(`${name} on a ${reused ? 'reused' : 'new'} connection`, async () => {
        const warmUpCall = {method: 'GET', path: '/status'};
        if (reused)
          await api.call(service.address, warmUpCall, {timeoutMs: 5_000});
        service.setFaults(faults);
        const call = {...BOOKING, idempotencyKey: 'k1'};
        const options = {timeoutMs: kind === 'answered' ? 5_000 : 500};
        const outcome = await api.call(service.address, call, options);
        // When the call is written, the client may not have detected that the
        // service closed the idle connection, so both outcomes are correct.
        const refusedOnReused = reused && kind === 'not_sent';
        if (refusedOnReused) assert.notEqual(outcome.kind, 'answered');
        else assert.equal(outcome.kind, kind);
        assert.equal(service.runs.runsOfKey('k1'), runs);
      });
    }
  }

  // Guards against a response to a call that no client can read.
  for (const status of ['000', '099', '101', '199', '600', '999'])
    it(`a response with status ${status} leaves the outcome unknown`, async () => {
      const server = createServer(socket => {
        socket.on('error', () => {});
        socket.once('data', () =>
          socket.end(`HTTP/1.1 ${status} Status\r\ncontent-length: 0\r\n\r\n`),
        );
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      const options = {timeoutMs: 1_000};
      const outcome = await api.call(`127.0.0.1:${port}`, BOOKING, options);
      server.close();
      assert.equal(outcome.kind, 'unknown');
    });

  // Guards against a call that is recorded as done with a response that is not the
  // service's own, and against an exception that ends the daemon.
  for (const delivery of ['whole', 'bytes'] as const) {
    for (const rule of BROKEN_RULES)
      it(`a response that breaks a rule (${rule}, ${delivery}) leaves the outcome unknown`, async () => {
        for (const broken of brokenResponses(PARTS)) {
          if (broken.rule !== rule) continue;
          const outcome = await callResponder(api, broken.text, delivery);
          assert.equal(outcome.kind, 'unknown', broken.name);
        }
      });

    it(`a sound response of an unusual form (${delivery}) is the answer`, async () => {
      for (const {text, name} of soundResponses(PARTS)) {
        const outcome = await callResponder(api, text, delivery);
        assert.equal(outcome.kind, 'answered', name);
        if (outcome.kind === 'answered')
          assert.equal(outcome.answer.body, PARTS.body, name);
      }
    });
  }

  // Guards against the response of an earlier call that is taken for that of the next one.
  it('a response that arrives after a complete one answers no call', async () => {
    const runs: string[] = [];
    const server = createServer(socket => {
      socket.on('error', () => {});
      socket.on('data', bytes => {
        const path = bytes.toString().split(' ')[1];
        const text = `HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`;
        runs.push(path);
        socket.write(text);
        setTimeout(() => socket.write(text), 2);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const wrong: string[] = [];
    for (let index = 0; index < 300; index++) {
      const path = `/${index}`;
      const call = {method: 'POST', path};
      const options = {timeoutMs: 5_000};
      const outcome = await api.call(`127.0.0.1:${port}`, call, options);
      const body = outcome.kind === 'answered' ? outcome.answer.body : '';
      if (body !== path) wrong.push(`${path}: ${outcome.kind} ${body}`);
    }
    server.close();
    assert.deepEqual(wrong, []);
    assert.equal(runs.length, 300);
  });

  it('a response without a length whose connection is reset leaves the outcome unknown', async () => {
    const server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nboo');
        socket.resetAndDestroy();
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const options = {timeoutMs: 5_000};
    const outcome = await api.call(`127.0.0.1:${port}`, BOOKING, options);
    server.close();
    assert.equal(outcome.kind, 'unknown');
  });

  it('a call cancelled before it starts is not sent', async () => {
    const signal = AbortSignal.abort();
    const outcome = await api.call(service.address, BOOKING, {
      timeoutMs: 5_000,
      signal,
    });
    assert.equal(outcome.kind, 'not_sent');
    assert.equal(service.runs.runsOfBody(BOOKING.body), 0);
  });

  it('a call that waits for a connection when the client is closed never runs', async () => {
    service.setFaults({freezeBeforeEffect: 64});
    const calls = Array.from({length: 65}, (_, index) =>
      api.call(
        service.address,
        {...BOOKING, body: `{"day":${index}}`},
        {timeoutMs: 5_000},
      ),
    );
    await new Promise(done => setTimeout(done, 100));
    await api.close();
    const outcomes = await Promise.all(calls);
    assert.equal(outcomes.at(-1)?.kind, 'not_sent');
    api = createServiceApi();
    await api.call(service.address, BOOKING, {timeoutMs: 5_000});
    assert.equal(service.runs.runsOfBody('{"day":64}'), 0);
  });

  it('a call cancelled while it waits for a connection never runs', async () => {
    // 64 calls occupy all connections to the endpoint.
    service.setFaults({freezeBeforeEffect: 64});
    const waiting = Array.from({length: 64}, () =>
      api.call(service.address, BOOKING, {timeoutMs: 400}),
    );
    const cancelled = await api.call(service.address, BOOKING, {timeoutMs: 50});
    assert.equal(cancelled.kind, 'not_sent');
    await Promise.all(waiting);
    await api.call(service.address, BOOKING, {timeoutMs: 5_000});
    assert.equal(service.runs.runsOfBody(BOOKING.body), 1);
  });
});
