// Guards against rights that were removed, configurations that go back, and
// endpoints that have left.
import {id, type WorkspaceId} from '@chivewick/common';
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {
  answer,
  ask,
  closeWorlds,
  config,
  header,
  record,
  route,
  sendPart,
  startEndpoint,
  startWorld,
  until,
} from './world.js';

after(closeWorlds);

const CLOSED = config({routes: [route({open: false})]});

test('keys: a request runs for the workspace of its key, without the key', async () => {
  const endpoint = await startEndpoint(answer('whole'));
  const {port} = await startWorld({
    config: CLOSED,
    records: [record('e', endpoint.address)],
  });
  assert.equal((await ask(port, {headers: {key: 'key-1'}})).status, 200);
  assert.equal(header(endpoint.heads[0], 'workspace'), 'w1');
  assert.equal(header(endpoint.heads[0], 'key'), undefined);
});

test('keys: an unknown key is refused', async () => {
  const endpoint = await startEndpoint(answer('whole'));
  const {port} = await startWorld({
    config: CLOSED,
    records: [record('e', endpoint.address)],
  });
  assert.equal((await ask(port, {headers: {key: 'key-2'}})).status, 401);
  assert.equal((await ask(port)).status, 401);
  assert.equal(endpoint.heads.length, 0);
});

test('keys: a removed key no longer works, an added one does', async () => {
  const endpoint = await startEndpoint(answer('whole'));
  const {port, store, gateway} = await startWorld({
    config: CLOSED,
    records: [record('e', endpoint.address)],
  });
  const workspaceOfKey = new Map([['key-3', {id: id<WorkspaceId>('w3')}]]);
  store.put('config/main', {...CLOSED, version: 2, workspaceOfKey});
  await until(() => gateway.config()?.version === 2);
  assert.equal((await ask(port, {headers: {key: 'key-1'}})).status, 401);
  assert.equal((await ask(port, {headers: {key: 'key-3'}})).status, 200);
});

test('keys: a host that cannot confirm them refuses, and serves open routes', async () => {
  const endpoint = await startEndpoint(answer('whole'));
  const {port, store, readinessPort} = await startWorld({
    config: config({
      routes: [
        route({open: false}),
        route({pathPrefix: '/open/', name: 'o' as never}),
      ],
    }),
    records: [record('e', endpoint.address)],
    // With the margin taken off, an answer counts for 300 ms.
    bounds: {revokeMs: 500},
  });
  store.setDown(true);
  let status = 200;
  while (status === 200) {
    status = (await ask(port, {headers: {key: 'key-1'}})).status;
  }
  assert.equal(status, 503);
  assert.equal((await ask(readinessPort)).status, 503);
  assert.equal((await ask(port, {path: '/open/x'})).status, 200);
});

test('keys: after an outage of the store they work again', async () => {
  const endpoint = await startEndpoint(answer('whole'));
  const {port, store} = await startWorld({
    config: CLOSED,
    records: [record('e', endpoint.address)],
    bounds: {revokeMs: 500},
  });
  store.setDown(true);
  let status = 200;
  while (status === 200) {
    status = (await ask(port, {headers: {key: 'key-1'}})).status;
  }
  store.setDown(false);
  while (status !== 200) {
    status = (await ask(port, {headers: {key: 'key-1'}})).status;
  }
});

test('configuration: a change in a lost history is found by a new listing', async () => {
  const {store, gateway} = await startWorld({});
  store.loseHistory('config/main', config({version: 7}));
  await until(() => gateway.config()?.version === 7);
});

test('configuration: an unknown route gets 404', async () => {
  const {port} = await startWorld({config: config({routes: []})});
  assert.equal((await ask(port)).status, 404);
});

test('endpoints: one that leaves gets nothing new', async () => {
  const leaving = await startEndpoint(answer('leaving'));
  const staying = await startEndpoint(answer('staying'));
  const {port, store, gateway} = await startWorld({
    records: [
      record('leaving', leaving.address),
      record('staying', staying.address),
    ],
  });
  for (const state of gateway.table.all())
    state.latencyMs = state.record.id === 'leaving' ? 1 : 100;
  assert.equal((await ask(port)).body, 'leaving');
  store.put(
    'endpoints/leaving',
    record('leaving', leaving.address, {state: 'draining'}),
  );
  await until(() => gateway.table.usable(record('x', '').service).length === 1);
  assert.equal((await ask(port)).body, 'staying');
});

test('endpoints: a removed entry ends them, unless an outage may explain it', async () => {
  const {store, gateway} = await startWorld({
    records: [record('a', '127.0.0.1:1'), record('b', '127.0.0.1:2')],
  });
  store.remove('endpoints/a');
  await until(() => gateway.table.all().length === 1);
  gateway.table.storeUnavailable();
  store.remove('endpoints/b');
  await until(() => gateway.table.all()[0]?.lapsedUntilMs !== undefined);
  assert.equal(gateway.table.usable(record('x', '').service).length, 1);
});

test('stop: streams are refused, and told to come back elsewhere', async () => {
  const {port, gateway, readinessPort} = await startWorld({
    config: config({routes: [route({kind: 'stream'})]}),
    bounds: {graceMs: 3_200},
  });
  // A request that is still being read keeps the host from closing early.
  const unfinished = await sendPart(port);
  const stopped = gateway.stop();
  assert.equal((await ask(readinessPort)).status, 503);
  let reply = await ask(port);
  while (!reply.body.includes('shutting_down')) reply = await ask(port);
  assert.equal(reply.status, 503);
  assert.equal(reply.headers['connection'], 'close');
  unfinished.destroy();
  await stopped;
});
