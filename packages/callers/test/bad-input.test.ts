import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'node:test';
import {request} from 'undici';
import {fakePorts, KEY, listen} from './support.js';

const AUTHORIZED = {authorization: `Bearer ${KEY}`};
const JSON_HEADERS = {...AUTHORIZED, 'content-type': 'application/json'};
const CHAT = {model: 'rota', messages: [{role: 'user', content: 'hello'}]};

interface Case {
  name: string;
  path?: string;
  method?: 'GET' | 'POST' | 'DELETE';
  headers?: Record<string, string>;
  body?: string;
  status: number;
  kind: string;
}

const COMPLETIONS = '/v1/completions';

const CASES: Case[] = [
  {
    name: 'malformed JSON',
    body: '{"model":',
    status: 400,
    kind: 'invalid_request',
  },
  {name: 'empty body', body: '', status: 400, kind: 'invalid_request'},
  {name: 'a JSON array', body: '[]', status: 400, kind: 'invalid_request'},
  {
    name: 'wrong type of prompt',
    body: '{"model":"rota","prompt":7}',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'negative max_tokens',
    body: '{"model":"rota","prompt":"a","max_tokens":-1}',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'fractional max_tokens',
    body: '{"model":"rota","prompt":"a","max_tokens":1.5}',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'more than one choice',
    body: '{"model":"rota","prompt":"a","n":2}',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'no messages',
    path: '/v1/chat/completions',
    body: '{"model":"rota","messages":[]}',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'unknown role',
    path: '/v1/chat/completions',
    body: JSON.stringify({...CHAT, messages: [{role: 'bishop', content: 'a'}]}),
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'unknown model',
    body: '{"model":"other","prompt":"a"}',
    status: 404,
    kind: 'not_found',
  },
  {
    name: 'unknown adapter',
    body: '{"model":"rota:other","prompt":"a"}',
    status: 404,
    kind: 'not_found',
  },
  {
    name: 'prototype property as model',
    body: '{"model":"__proto__","prompt":"a"}',
    status: 404,
    kind: 'not_found',
  },
  {
    name: 'body over the limit',
    body: `{"model":"rota","prompt":"${'a'.repeat(1_100_000)}"}`,
    status: 413,
    kind: 'body_too_large',
  },
  {
    name: 'missing key',
    headers: {},
    body: '{}',
    status: 401,
    kind: 'unauthenticated',
  },
  {
    name: 'wrong key',
    headers: {authorization: 'Bearer wrong'},
    body: '{}',
    status: 401,
    kind: 'unauthenticated',
  },
  {
    name: 'key with another authorization scheme',
    headers: {authorization: `Basic ${KEY}`},
    body: '{}',
    status: 401,
    kind: 'unauthenticated',
  },
  {
    name: 'wrong method',
    method: 'GET',
    status: 405,
    kind: 'method_not_allowed',
  },
  {
    name: 'unknown path',
    path: '/v2/anything',
    body: '{}',
    status: 404,
    kind: 'not_found',
  },
  {
    name: 'unknown service',
    path: '/v1/services/other/x',
    body: '{}',
    status: 404,
    kind: 'not_found',
  },
  {
    name: 'non-repeatable call without a key',
    path: '/v1/services/bookings/slots',
    body: '{}',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'idempotency key too long',
    path: '/v1/services/bookings/slots',
    headers: {...JSON_HEADERS, 'idempotency-key': 'k'.repeat(300)},
    body: '{}',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'resume without an event id',
    path: '/v1/requests/req_1/stream',
    method: 'GET',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: "resume with another request's event id",
    path: '/v1/requests/req_1/stream',
    method: 'GET',
    headers: {...AUTHORIZED, 'last-event-id': 't.req_2:e:1:7'},
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'invalid percent-encoding in a path',
    path: '/v1/services/%E0%A4%A/x',
    method: 'GET',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'invalid percent-encoding in a call key',
    path: '/v1/calls/%E0%A4%A',
    method: 'GET',
    status: 400,
    kind: 'invalid_request',
  },
  {
    name: 'headers too large',
    headers: {...AUTHORIZED, 'x-large': 'x'.repeat(20_000)},
    body: '{}',
    status: 431,
    kind: 'headers_too_large',
  },
];

for (const {name, path, method, headers, body, status, kind} of CASES) {
  test(`callers: ${name} gets ${status} ${kind} and is not run`, async t => {
    const {ports, seen} = fakePorts();
    const server = await listen(ports);
    t.after(() => server.close());
    const res = await request(`${server.url}${path ?? COMPLETIONS}`, {
      method: method ?? 'POST',
      headers: headers ?? JSON_HEADERS,
      ...(method === 'GET' ? {} : {body}),
    });
    const responseBody = (await res.body.json()) as {
      error: {kind: string; ran: string; hint: string; retry: boolean};
    };
    assert.equal(responseBody.error.kind, kind);
    assert.equal(res.statusCode, status);
    assert.equal(responseBody.error.ran, 'not_run');
    assert.equal(responseBody.error.retry, false);
    assert.ok(responseBody.error.hint.length > 0);
    assert.deepEqual(
      {permits: seen.permits, slots: seen.slots, calls: seen.calls},
      {permits: 0, slots: 0, calls: []},
    );
  });
}

test('callers: bytes that are not HTTP get a 400 and a closed connection', async t => {
  const server = await listen(fakePorts().ports);
  t.after(() => server.close());
  const socket = connect(server.port, '127.0.0.1');
  socket.write('\x16\x03\x01 not http\r\n\r\n');
  let text = '';
  for await (const chunk of socket) text += String(chunk);
  assert.match(text, /^HTTP\/1\.1 400 Bad Request/);
  assert.match(text, /"kind":"invalid_request"/);
});
