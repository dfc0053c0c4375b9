// Guards against error responses that do not have the format of section 4.1,
// and against refused requests that change a list.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ERROR_RESPONSES, type ErrorKind} from '@chivewick/common';
import {PLANS, startTestServer, storeLists} from './serve.js';

const LIST = '/admin/lists/plans';
const BAD = 'invalid_request';
const NO_KEY = 'unauthenticated';

type Sent = {
  method?: string;
  path?: string;
  headers?: Record<string, string>;
  body?: string;
};

const auth = (authorization: string): Sent => ({headers: {authorization}});
const ifMatch = (version: string): Sent => ({headers: {'if-match': version}});
const workspace = (entry: object): Sent => ({
  body: JSON.stringify({workspaces: {'san-fermin': entry}}),
});

const CASES: [name: string, kind: ErrorKind, sent: Sent][] = [
  ['missing key', NO_KEY, auth('')],
  ['wrong key', NO_KEY, auth('Bearer nobody')],
  ["caller's key", NO_KEY, auth('Bearer caller-key')],
  ['other scheme', NO_KEY, auth('Basic bWFyaWE6a2V5')],
  ['bad JSON', BAD, {body: '{"workspaces":'}],
  ['empty body', BAD, {body: ''}],
  ['null', BAD, {body: 'null'}],
  ['array', BAD, {body: '[]'}],
  ['text', BAD, {body: '"plans"'}],
  ['wrong type below', BAD, workspace({plan: 3, keys: []})],
  ['unknown plan', BAD, workspace({plan: 'cathedral', keys: []})],
  ['prototype key', BAD, {body: '{"__proto__":{"workspaces":{}}}'}],
  ['stale If-Match', 'version_mismatch', ifMatch('"999"')],
  ['If-Match that is not a version', BAD, ifMatch('*')],
  ['weak If-Match', BAD, ifMatch('W/"2"')],
  ['oversized body', 'body_too_large', {body: `"${'x'.repeat(20_000)}"`}],
  ['unknown list', 'not_found', {path: '/admin/lists/keys'}],
  ['unknown path', 'not_found', {path: '/admin/nothing'}],
  ['wrong method', 'method_not_allowed', {method: 'DELETE'}],
  ['path that is not UTF-8', BAD, {path: '/admin/lists/%ff'}],
  [
    'history version that is not a number',
    BAD,
    {method: 'GET', path: `${LIST}/history/1e400`},
  ],
  [
    'unknown request',
    'not_found',
    {method: 'GET', path: '/admin/requests/none'},
  ],
];

for (const [name, kind, sent] of CASES) {
  test(`administration API refuses: ${name}`, async t => {
    const server = await startTestServer(t);
    const versions = await storeLists(server);
    const {method = 'PUT', path = LIST, headers, body} = sent;
    const response = await server.send(method, path, {
      headers: {'if-match': `"${versions.plans}"`, ...headers},
      ...(method === 'PUT' && {body: body ?? JSON.stringify(PLANS)}),
    });
    assert.equal(response.status, ERROR_RESPONSES[kind].status, response.text);
    const {error} = response.json;
    assert.equal(error.kind, kind);
    for (const field of ['message', 'hint', 'ran', 'requestId'])
      assert.equal(typeof error[field], 'string', field);
    assert.equal(error.ran, 'not_run');
    assert.equal(typeof error.retry, 'boolean');
    const stored = server.store.objects.get('lists/plans');
    assert.equal(stored?.version, versions.plans);
  });
}

test('administration API requires a condition on PUT', async t => {
  const server = await startTestServer(t);
  const {status, json} = await server.send('PUT', '/admin/lists/plans', {
    body: JSON.stringify(PLANS),
  });
  assert.equal(status, 400);
  assert.match(json.error.message, /If-Match/);
});

test('administration API refuses to create a list that exists', async t => {
  const server = await startTestServer(t);
  await storeLists(server);
  const {status, json} = await server.send('PUT', '/admin/lists/plans', {
    headers: {'if-none-match': '*'},
    body: JSON.stringify(PLANS),
  });
  assert.equal(status, 412);
  assert.equal(json.error.kind, 'version_mismatch');
});

test('administration API reports an invalid list with faults as data', async t => {
  const server = await startTestServer(t);
  const {plans} = await storeLists(server);
  const {json} = await server.send('PUT', '/admin/lists/plans', {
    headers: {'if-match': `"${plans}"`},
    body: JSON.stringify({
      workspaces: {'san-fermin': {plan: 'cathedral', keys: ['no digest']}},
    }),
  });
  const {faults} = json.error.details;
  assert.ok(faults.length > 0);
  for (const fault of faults) {
    assert.match(fault.key, /^workspaces\.san-fermin/);
    assert.equal(typeof fault.message, 'string');
  }
});

test('administration API answers platform_unavailable in an outage', async t => {
  const server = await startTestServer(t);
  server.store.down = true;
  const {status, json} = await server.send('GET', '/admin/lists/plans');
  assert.equal(status, 503);
  assert.equal(json.error.kind, 'platform_unavailable');
});
