// Guards against clients that keep a connection open with a body that never
// ends, and against lists too large for the object API or the history.
import assert from 'node:assert/strict';
import {request, type IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {KEY, PLANS, startTestServer, storeLists} from './serve.js';

const BODIES: {
  name: string;
  start: string;
  status: number;
  /**
   * Unset in the other case, which must not depend on how fast a body arrives.
   */
  bodyDeadlineMs?: number;
}[] = [
  {
    name: 'that stops arriving',
    start: '{"workspaces":',
    status: 408,
    bodyDeadlineMs: 20,
  },
  {name: 'that never ends', start: 'x'.repeat(20_000), status: 413},
];

for (const {name, start, status, bodyDeadlineMs} of BODIES) {
  test(`administration API aborts a body ${name}`, async t => {
    const {port} = await startTestServer(t, {bodyDeadlineMs});
    const req = request({
      port,
      method: 'PUT',
      path: '/admin/lists/plans',
      headers: {
        authorization: `Bearer ${KEY}`,
        'if-none-match': '*',
        'transfer-encoding': 'chunked',
      },
    });
    const response = new Promise<IncomingMessage>((resolve, reject) =>
      req.on('response', resolve).on('error', reject),
    );
    req.write(start);
    const res = await response;
    assert.equal(res.statusCode, status);
    // The server ends the connection although the body has not ended.
    const closed = new Promise(resolve => req.once('close', resolve));
    res.resume();
    req.on('error', () => {});
    await closed;
  });
}

test('administration API refuses a list that the history cannot hold', async t => {
  const server = await startTestServer(t, {maxBodyBytes: 2_000_000});
  const {plans} = await storeLists(server);
  const keys = Array.from({length: 15_000}, (_, at) =>
    at.toString(16).padStart(64, '0'),
  );
  const {status, json} = await server.send('PUT', '/admin/lists/plans', {
    headers: {'if-match': `"${plans}"`},
    body: JSON.stringify({workspaces: {'san-fermin': {plan: 'parish', keys}}}),
  });
  assert.equal(status, 413);
  assert.equal(json.error.kind, 'body_too_large');
});

test('administration API logs who changed a list, and no key', async t => {
  const server = await startTestServer(t);
  const {plans} = await storeLists(server);
  const put = (version: number, key: string) =>
    server.send('PUT', '/admin/lists/plans', {
      headers: {'if-match': `"${version}"`, authorization: `Bearer ${key}`},
      body: JSON.stringify({workspaces: {}}),
    });
  await put(plans, 'key-of-nobody');
  await put(999, KEY);
  await put(plans, KEY);
  const events = server.log.map(line => JSON.parse(line));
  assert.deepEqual(
    events.map(({event, by}) => [event, by]),
    [
      [150, 'maria'],
      [150, 'maria'],
      [153, undefined],
      [151, 'maria'],
      [150, 'maria'],
    ],
  );
  const digests = Object.values(PLANS.workspaces).flatMap(({keys}) => keys);
  for (const secret of [KEY, 'key-of-nobody', ...digests])
    assert.ok(!server.log.join('').includes(secret));
});
