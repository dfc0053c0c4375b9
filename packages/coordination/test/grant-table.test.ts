// Guards against loads that drift from the paths in use when messages are lost,
// repeated or reordered, or when hosts are suspended, killed or restarted.
import {id, type EndpointId, type HostId} from '@chivewick/common';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createGrantTable, type EndpointLoad, type Grant} from '../src/index.js';

const HOSTS = ['h1', 'h2', 'h3'].map(name => id<HostId>(name));
const ENDPOINTS = ['e1', 'e2', 'e3', 'e4'].map(name => id<EndpointId>(name));

const grantOf = (grantId: number, endpoint = ENDPOINTS[0]): Grant => ({
  id: grantId,
  tokens: 100,
  stages: [{endpoint, layers: 20}],
});

test('grants: a load counts until it is released', () => {
  const table = createGrantTable();
  table.add(HOSTS[0], grantOf(1));
  table.add(HOSTS[1], grantOf(1));
  assert.deepEqual(table.loads(), [
    {endpoint: ENDPOINTS[0], running: 2, tokenLayers: 4_000, starting: 2},
  ]);
  table.release(HOSTS[0], [1, 1, 7]);
  table.release(HOSTS[1], [1]);
  assert.deepEqual(table.loads(), []);
});

test('grants: a report leaves alone what was granted after it was written', () => {
  const table = createGrantTable();
  table.add(HOSTS[0], grantOf(1));
  table.add(HOSTS[0], grantOf(2));
  table.add(HOSTS[0], grantOf(3));
  table.sync(HOSTS[0], {held: [grantOf(1)], isComplete: true, through: 2});
  assert.equal(table.loads()[0].running, 2);
});

test('grants: an incomplete report ends nothing', () => {
  const table = createGrantTable();
  table.add(HOSTS[0], grantOf(1));
  table.sync(HOSTS[0], {held: [grantOf(2)], isComplete: false, through: 2});
  assert.equal(table.loads()[0].running, 2);
});

test('grants: a report moves a path that was repaired', () => {
  const table = createGrantTable();
  table.add(HOSTS[0], grantOf(1, ENDPOINTS[0]));
  table.sync(HOSTS[0], {
    held: [grantOf(1, ENDPOINTS[1])],
    isComplete: true,
    through: 1,
  });
  assert.deepEqual(
    table.loads().map(load => load.endpoint),
    [ENDPOINTS[1]],
  );
  assert.deepEqual(table.hostsOn(ENDPOINTS[0]), []);
  assert.deepEqual(table.hostsOn(ENDPOINTS[1]), [HOSTS[0]]);
});

test('grants: those of a host that does not report are dropped', () => {
  let nowMs = 0;
  const table = createGrantTable(
    () => {},
    () => nowMs,
  );
  table.add(HOSTS[0], grantOf(1));
  table.add(HOSTS[1], grantOf(1));
  nowMs = 4_000;
  table.sync(HOSTS[1], {held: [grantOf(1)], isComplete: true, through: 1});
  nowMs = 6_000;
  table.expire();
  assert.equal(table.loads()[0].running, 1);
});

type Step =
  | {kind: 'start' | 'end'; host: number; endpoint: number}
  | {kind: 'report' | 'restart'; host: number}
  | {kind: 'pause'; ms: number};

const host = fc.nat({max: HOSTS.length - 1});
const endpoint = fc.nat({max: ENDPOINTS.length - 1});
const steps: fc.Arbitrary<(Step & {isLost: boolean; isRepeated: boolean})[]> =
  fc.array(
    fc
      .tuple(
        fc.oneof(
          fc.record({
            kind: fc.constantFrom('start' as const, 'end' as const),
            host,
            endpoint,
          }),
          fc.record({
            kind: fc.constantFrom('report' as const, 'restart' as const),
            host,
          }),
          fc.record({
            kind: fc.constant('pause' as const),
            ms: fc.nat({max: 6_000}),
          }),
        ),
        fc.boolean(),
        fc.boolean(),
      )
      .map(([step, isLost, isRepeated]) => ({...step, isLost, isRepeated})),
    {maxLength: 60},
  );

test('grants: one report a host restores the loads after any history', () => {
  fc.assert(
    fc.property(steps, history => {
      let nowMs = 0;
      const changed = new Map<EndpointId, number>();
      const onChange = (change: EndpointLoad) =>
        changed.set(
          change.endpoint,
          (changed.get(change.endpoint) ?? 0) + change.running,
        );
      const table = createGrantTable(onChange, () => nowMs);
      const held = HOSTS.map(() => new Map<number, Grant>());
      let lastId = 0;
      const report = (index: number) =>
        table.sync(HOSTS[index], {
          held: [...held[index].values()],
          isComplete: true,
          through: lastId,
        });
      for (const step of history) {
        const send = (message: () => void) => {
          if (!step.isLost) message();
          if (!step.isLost && step.isRepeated) message();
        };
        if (step.kind === 'pause') {
          nowMs += step.ms;
          table.expire();
        } else if (step.kind === 'start') {
          const grant = grantOf((lastId += 1), ENDPOINTS[step.endpoint]);
          held[step.host].set(grant.id, grant);
          send(() => table.add(HOSTS[step.host], grant));
        } else if (step.kind === 'end') {
          const [first] = held[step.host].keys();
          if (first === undefined) continue;
          held[step.host].delete(first);
          send(() => table.release(HOSTS[step.host], [first]));
        } else if (step.kind === 'restart') {
          held[step.host].clear();
        } else {
          send(() => report(step.host));
        }
      }
      HOSTS.forEach((_, index) => report(index));
      const expected = new Map<EndpointId, number>();
      for (const grant of held.flatMap(grants => [...grants.values()])) {
        const [{endpoint: used}] = grant.stages;
        expected.set(used, (expected.get(used) ?? 0) + 1);
      }
      const actual = new Map(
        table.loads().map(load => [load.endpoint, load.running]),
      );
      assert.deepEqual([...actual].sort(), [...expected].sort());
      for (const [used, running] of changed)
        assert.equal(running, expected.get(used) ?? 0);
    }),
  );
});
