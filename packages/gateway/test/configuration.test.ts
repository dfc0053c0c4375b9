// Guards against the use of removed keys, missed configuration changes, and
// requests to endpoints that are draining or removed.
import {id, type WorkspaceId} from '@chivewick/common';
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {
  respond,
  sendRequest,
  closeHarnesses,
  config,
  header,
  record,
  route,
  sendPartialRequest,
  startEndpoint,
  startHarness,
  until,
} from './harness.js';

after(closeHarnesses);

const CLOSED = config({routes: [route({isPublic: false})]});

test('keys: a request is forwarded with the workspace of its key, without the key', async () => {
  const endpoint = await startEndpoint(respond('whole'));
  const {port} = await startHarness({
    config: CLOSED,
    records: [record('e', endpoint.address)],
  });
  assert.equal(
    (await sendRequest(port, {headers: {key: 'key-1'}})).status,
    200,
  );
  assert.equal(header(endpoint.heads[0], 'workspace'), 'w1');
  assert.equal(header(endpoint.heads[0], 'key'), undefined);
});

test('keys: an unknown key is refused', async () => {
  const endpoint = await startEndpoint(respond('whole'));
  const {port} = await startHarness({
    config: CLOSED,
    records: [record('e', endpoint.address)],
  });
  assert.equal(
    (await sendRequest(port, {headers: {key: 'key-2'}})).status,
    401,
  );
  assert.equal((await sendRequest(port)).status, 401);
  assert.equal(endpoint.heads.length, 0);
});

test('keys: a removed key is refused and an added one accepted', async () => {
  const endpoint = await startEndpoint(respond('whole'));
  const {port, store, gateway} = await startHarness({
    config: CLOSED,
    records: [record('e', endpoint.address)],
  });
  const workspaceOfKey = new Map([['key-3', {id: id<WorkspaceId>('w3')}]]);
  store.put('config/main', {...CLOSED, version: 2, workspaceOfKey});
  await until(() => gateway.config()?.version === 2);
  assert.equal(
    (await sendRequest(port, {headers: {key: 'key-1'}})).status,
    401,
  );
  assert.equal(
    (await sendRequest(port, {headers: {key: 'key-3'}})).status,
    200,
  );
});

test('keys: a host that cannot confirm them refuses them but serves open routes', async () => {
  const endpoint = await startEndpoint(respond('whole'));
  const {port, store, readinessPort} = await startHarness({
    config: config({
      routes: [
        route({isPublic: false}),
        route({pathPrefix: '/open/', name: 'o' as never}),
      ],
    }),
    records: [record('e', endpoint.address)],
    // Minus the 200 ms margin, a confirmation is valid for 300 ms.
    bounds: {revokeMs: 500},
  });
  store.setDown(true);
  let status = 200;
  while (status === 200) {
    status = (await sendRequest(port, {headers: {key: 'key-1'}})).status;
  }
  assert.equal(status, 503);
  assert.equal((await sendRequest(readinessPort)).status, 503);
  assert.equal((await sendRequest(port, {path: '/open/x'})).status, 200);
});

test('keys: they are accepted again after a store outage', async () => {
  const endpoint = await startEndpoint(respond('whole'));
  const {port, store} = await startHarness({
    config: CLOSED,
    records: [record('e', endpoint.address)],
    bounds: {revokeMs: 500},
  });
  store.setDown(true);
  let status = 200;
  while (status === 200) {
    status = (await sendRequest(port, {headers: {key: 'key-1'}})).status;
  }
  store.setDown(false);
  while (status !== 200) {
    status = (await sendRequest(port, {headers: {key: 'key-1'}})).status;
  }
});

test('configuration: a change is found by a new listing if the history is lost', async () => {
  const {store, gateway} = await startHarness({});
  store.loseHistory('config/main', config({version: 7}));
  await until(() => gateway.config()?.version === 7);
});

test('configuration: an unknown route gets 404', async () => {
  const {port} = await startHarness({config: config({routes: []})});
  assert.equal((await sendRequest(port)).status, 404);
});

test('endpoints: a draining one gets no new request', async () => {
  const leaving = await startEndpoint(respond('leaving'));
  const staying = await startEndpoint(respond('staying'));
  const {port, store, gateway} = await startHarness({
    records: [
      record('leaving', leaving.address),
      record('staying', staying.address),
    ],
  });
  for (const state of gateway.table.all())
    state.latencyMs = state.record.id === 'leaving' ? 1 : 100;
  assert.equal((await sendRequest(port)).body, 'leaving');
  store.put(
    'endpoints/leaving',
    record('leaving', leaving.address, {state: 'draining'}),
  );
  await until(() => gateway.table.usable(record('x', '').service).length === 1);
  assert.equal((await sendRequest(port)).body, 'staying');
});

test('endpoints: one is dropped with its entry, unless an outage may explain it', async () => {
  const {store, gateway} = await startHarness({
    records: [record('a', '127.0.0.1:1'), record('b', '127.0.0.1:2')],
  });
  store.remove('endpoints/a');
  await until(() => gateway.table.all().length === 1);
  gateway.table.storeUnavailable();
  store.remove('endpoints/b');
  await until(() => gateway.table.all()[0]?.retained !== undefined);
  assert.equal(gateway.table.usable(record('x', '').service).length, 1);
});

test('stop: streams are refused and redirected to other hosts', async () => {
  const {port, gateway, readinessPort} = await startHarness({
    config: config({routes: [route({kind: 'stream'})]}),
    bounds: {graceMs: 3_200},
  });
  // A request that is still being read keeps the host from closing early.
  const partialRequest = await sendPartialRequest(port);
  const stopped = gateway.stop();
  assert.equal((await sendRequest(readinessPort)).status, 503);
  let reply = await sendRequest(port);
  while (!reply.body.includes('shutting_down')) reply = await sendRequest(port);
  assert.equal(reply.status, 503);
  assert.equal(reply.headers['connection'], 'close');
  partialRequest.destroy();
  await stopped;
});
