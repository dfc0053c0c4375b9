import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import {
  createRandom,
  createSilentLogger,
  id,
  type EndpointId,
  type HostId,
} from '@chivewick/common';
import type {EngineStatus} from '@chivewick/engines';
import {createRouteTable, type RouteTable} from '../src/index.js';
import {entryOf, fakeEngines, requestOf, statusOf} from './fixtures.js';

/** Runs `body` with a table that polls the given statuses, then closes it. */
async function withTable(
  list: EngineStatus[],
  body: (table: RouteTable, statuses: Map<string, EngineStatus>) => unknown,
): Promise<void> {
  const statuses = new Map<string, EngineStatus>(
    list.map(status => [status.endpoint, status]),
  );
  const table = createRouteTable({
    self: id<HostId>('nav-a-1'),
    engines: fakeEngines(statuses),
    random: createRandom(1),
    log: createSilentLogger(),
  });
  try {
    table.update(list.map(status => entryOf(status)));
    await new Promise(resolve => setImmediate(resolve));
    await body(table, statuses);
  } finally {
    await table.close();
  }
}

const FIRST = {from: 0, to: 12};
const SECOND = {from: 12, to: 24};
const SPARE = [
  statusOf('spare-1', FIRST),
  statusOf('spare-2', SECOND),
  statusOf('slow-1', FIRST, {decodeUs: 900}),
];

/** Endpoints of 50 choices, because each choice considers a random sample. */
function stageNames(table: RouteTable, exclude: string[] = []): Set<string> {
  const set = new Set(exclude.map(name => id<EndpointId>(name)));
  const names = new Set<string>();
  for (let choice = 0; choice < 50; choice++) {
    const res = table.choose(requestOf({exclude: set}));
    if (!res.ok) names.add(res.err.kind);
    else for (const {endpoint} of res.value) names.add(endpoint);
  }
  return names;
}

// Guards against running the overlap of two ranges twice.
test('a route joins overlapping ranges, each layer once', () =>
  withTable(
    [statusOf('x', {from: 0, to: 16}), statusOf('y', {from: 8, to: 24})],
    table => {
      const res = table.choose(requestOf());
      assert.ok(res.ok);
      let at = 0;
      for (const {from, to} of res.value) {
        assert.equal(from, at);
        assert.ok(to > from);
        at = to;
      }
      assert.equal(at, 24);
    },
  ));

// Guards against a route that leaves out a layer.
test('a gap in the layers is no_route', () =>
  withTable(
    [statusOf('x', {from: 0, to: 8}), statusOf('y', {from: 9, to: 24})],
    table => assert.deepEqual([...stageNames(table)], ['no_route']),
  ));

// The tests below guard against new requests to endpoints that can't serve them.
const UNSUITABLE: {name: string; change: Partial<EngineStatus>}[] = [
  {name: 'with a leaving status', change: {state: 'leaving'}},
  {name: 'of another version', change: {version: 'v2'}},
];
for (const {name, change} of UNSUITABLE) {
  test(`an endpoint ${name} gets no new requests`, () =>
    withTable([...SPARE, statusOf('bad', FIRST, {decodeUs: 1, ...change})], t =>
      assert.ok(!stageNames(t).has('bad')),
    ));
}

for (const kind of ['leaving', 'failed'] as const) {
  test(`an endpoint observed as ${kind} immediately gets no new requests`, () =>
    withTable([...SPARE, statusOf('bad', FIRST, {decodeUs: 1})], table => {
      assert.ok(stageNames(table).has('bad'));
      table.observe({kind, endpoint: id<EndpointId>('bad')});
      assert.ok(!stageNames(table).has('bad'));
    }));
}

test('an endpoint listed as leaving immediately gets no new requests', () => {
  const bad = statusOf('bad', FIRST, {decodeUs: 1});
  return withTable([...SPARE, bad], table => {
    table.update([...SPARE.map(s => entryOf(s)), entryOf(bad, 'leaving')]);
    assert.ok(!stageNames(table).has('bad'));
  });
});

test('excluded endpoints are not chosen', () =>
  withTable(SPARE, table => {
    assert.ok(!stageNames(table, ['spare-1']).has('spare-1'));
    assert.deepEqual([...stageNames(table, ['spare-2'])], ['no_route']);
  }));

// Guards against a polling load that grows with the fleet, and against hosts that
// all poll the same subset.
test('a host polls at most 64 endpoints, not the same as another host', async () => {
  const all = Array.from({length: 200}, (_, index) =>
    statusOf(`e${index}`, FIRST),
  );
  const polledBy = async (host: string): Promise<string[]> => {
    const table = createRouteTable({
      self: id<HostId>(host),
      engines: fakeEngines(new Map(all.map(s => [s.endpoint, s]))),
      random: createRandom(1),
      log: createSilentLogger(),
    });
    table.update(all.map(status => entryOf(status)));
    const polled = table.endpoints().map(endpoint => endpoint.id);
    await table.close();
    return polled;
  };
  const one = await polledBy('nav-a-1');
  const two = await polledBy('nav-a-2');
  assert.equal(one.length, 64);
  assert.deepEqual(await polledBy('nav-a-1'), one);
  assert.notDeepEqual([...two].sort(), [...one].sort());
});

// Guards against treating an endpoint as failed after a single lost answer, and
// against never using it again.
test('an endpoint fails after two missed polls and is usable after one answer', async () => {
  const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
  try {
    const only = statusOf('only', {from: 0, to: 24});
    await withTable([only], async (table, statuses) => {
      const usable = () => table.choose(requestOf()).ok;
      assert.equal(usable(), true);
      statuses.delete('only');
      await clock.tickAsync(1200);
      assert.equal(usable(), true, 'one lost answer is not a failure');
      await clock.tickAsync(1200);
      assert.equal(usable(), false);
      statuses.set('only', only);
      await clock.tickAsync(1200);
      assert.equal(usable(), true);
    });
  } finally {
    clock.uninstall();
  }
});
