// Guards against lost edits, edits applied twice, and gaps in the history.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {HISTORY_ENTRIES} from '../src/index.js';
import {
  ENTITLEMENTS,
  PLANS,
  startTestServer,
  storeLists,
  type TestServer,
} from './serve.js';

const withConcurrency = (concurrency: number) => ({
  ...ENTITLEMENTS,
  plans: {parish: {...ENTITLEMENTS.plans.parish, concurrency}},
});

function edit(server: TestServer, version: number, value: unknown, query = '') {
  return server.send('PUT', `/admin/lists/entitlements${query}`, {
    headers: {'if-match': `"${version}"`},
    body: JSON.stringify(value),
  });
}

test('a list is read back as it was written, with its version as the ETag', async t => {
  const server = await startTestServer(t);
  const {plans} = await storeLists(server);
  const {status, headers, json} = await server.send(
    'GET',
    '/admin/lists/plans',
  );
  assert.equal(status, 200);
  assert.equal(headers.get('etag'), `"${plans}"`);
  assert.deepEqual(json, PLANS);
});

test('of two concurrent edits, one is refused because the list has changed', async t => {
  const server = await startTestServer(t);
  const {entitlements} = await storeLists(server);
  // Both edits pass the version check of the API; only the platform's condition
  // decides between them.
  let second: Promise<{status: number}> | undefined;
  server.store.beforeWrite('lists/entitlements', async () => {
    second = edit(server, entitlements, withConcurrency(9));
    await second;
  });
  const first = await edit(server, entitlements, withConcurrency(10));
  assert.equal(first.status, 412);
  assert.equal(first.json.error.kind, 'version_mismatch');
  assert.equal((await second)?.status, 200);
  const {json} = await server.send('GET', '/admin/lists/entitlements');
  assert.equal(json.plans.parish.concurrency, 9);
});

for (const fault of ['lost-after-effect', 'lost-before-effect'] as const) {
  test(`an edit whose response is ${fault} is accepted once`, async t => {
    const server = await startTestServer(t);
    const {entitlements} = await storeLists(server);
    server.store.failWrites('lists/entitlements', fault, fault);
    const sent = await edit(server, entitlements, withConcurrency(9));
    assert.equal(sent.status, 200, sent.text);
    const stored = server.store.objects.get('lists/entitlements');
    assert.equal(sent.json.version, stored?.version);
    const {json} = await server.send(
      'GET',
      '/admin/lists/entitlements/history',
    );
    assert.equal(json.versions.length, 2);
  });
}

test('a lost response followed by another edit is reported as unknown', async t => {
  const server = await startTestServer(t);
  const {entitlements} = await storeLists(server);
  server.store.failWrites('lists/entitlements', 'lost-before-effect');
  const get = server.store.get;
  let reads = 0;
  server.store.get = async key => {
    // The second read of the list is the one that checks for the lost write.
    if (key === 'lists/entitlements' && ++reads === 2) {
      const value = {...withConcurrency(7), writeId: 'other:1'};
      await server.store.put(key, value, entitlements);
    }
    return get(key);
  };
  const sent = await edit(server, entitlements, withConcurrency(9));
  assert.equal(sent.json.error.kind, 'outcome_unknown');
  assert.equal(sent.json.error.ran, 'unknown');
});

test('a dry run names the workspaces that change and writes nothing', async t => {
  const server = await startTestServer(t);
  const {entitlements} = await storeLists(server);
  const before = server.store.objects.size;
  const sent = await edit(
    server,
    entitlements,
    withConcurrency(9),
    '?dryRun=1',
  );
  assert.equal(sent.status, 200, sent.text);
  assert.equal(sent.json.dryRun, true);
  assert.equal(sent.json.changes.length, 1);
  assert.equal(sent.json.changes[0].workspace, 'san-fermin');
  assert.equal(server.store.objects.size, before);
  const stored = server.store.objects.get('lists/entitlements');
  assert.equal(stored?.version, entitlements);
});

test('the history records who changed a list, and returns each version', async t => {
  const server = await startTestServer(t);
  const {entitlements} = await storeLists(server);
  const sent = await edit(server, entitlements, withConcurrency(9));
  const path = '/admin/lists/entitlements/history';
  const {json} = await server.send('GET', path);
  assert.deepEqual(
    json.versions.map((line: {version: number}) => line.version),
    [sent.json.version, entitlements],
  );
  assert.equal(json.versions[0].by, 'maria');
  assert.match(json.versions[0].at, /^\d{4}-\d\d-\d\dT/);
  const old = await server.send('GET', `${path}/${entitlements}`);
  assert.deepEqual(old.json, ENTITLEMENTS);
});

test('a version that could not be recorded is recorded by the next edit', async t => {
  const server = await startTestServer(t);
  const {entitlements} = await storeLists(server);
  server.store.failWrites('lists/history/entitlements/', 'lost-before-effect');
  const second = await edit(server, entitlements, withConcurrency(9));
  assert.equal(second.status, 200, second.text);
  const third = await edit(server, second.json.version, withConcurrency(10));
  const {json} = await server.send('GET', '/admin/lists/entitlements/history');
  assert.deepEqual(
    json.versions.map(({version, by}: {version: number; by: string}) => [
      version,
      by,
    ]),
    [
      [third.json.version, 'maria'],
      [second.json.version, 'maria'],
      [entitlements, 'maria'],
    ],
  );
});

test('the history keeps a bounded number of versions', async t => {
  const server = await startTestServer(t);
  let {entitlements: version} = await storeLists(server);
  for (let i = 0; i < HISTORY_ENTRIES + 5; i++) {
    const sent = await edit(server, version, withConcurrency(9 + i));
    version = sent.json.version;
  }
  const kept = [...server.store.objects.keys()].filter(key =>
    key.startsWith('lists/history/entitlements/'),
  );
  assert.equal(kept.length, HISTORY_ENTRIES);
  assert.ok(kept.includes(`lists/history/entitlements/${version}`));
});
