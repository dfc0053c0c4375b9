import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {id, type HostId} from '@chivewick/common';
import {createMemberTable, type Update} from '../src/member-table.js';
import {createCluster, type Cluster} from './cluster.js';

// A fixed seed gives the same cases in every run.
fc.configureGlobal({seed: 1});

/** Simulated time within which every member must have the right view. */
const CONVERGENCE_TIMEOUT_MS = 40_000;

async function withCluster(
  size: number,
  run: (cluster: Cluster) => Promise<void>,
  seed = 7,
): Promise<void> {
  const cluster = createCluster(size, seed);
  try {
    await run(cluster);
  } finally {
    await cluster.close();
  }
}

async function assertAgreement(
  cluster: Cluster,
  live: HostId[],
): Promise<void> {
  const {time, members} = cluster;
  if (
    await time.advanceUntil(() => cluster.agree(live), CONVERGENCE_TIMEOUT_MS)
  )
    return;
  const views = [...members].map(([host, m]) => `${host}: ${m.live().join()}`);
  assert.fail(`no agreement on ${live.join()}\n${views.join('\n')}`);
}

// Guards against a crashed host that stays live, or a restarted one that stays
// dead, in some member's view.
for (const size of [2, 8, 64])
  test(`membership: a killed host of ${size} is detected, and accepted after its restart`, () =>
    withCluster(size, async cluster => {
      const {hosts, time} = cluster;
      await time.advance(5_000);
      assert.ok(cluster.agree(hosts));
      await cluster.kill(hosts[1]);
      await assertAgreement(
        cluster,
        hosts.filter(host => host !== hosts[1]),
      );
      cluster.start(hosts[1]);
      await assertAgreement(cluster, hosts);
    }));

// Guards against false suspicions of hosts that answer their probes.
test('membership: without faults no host is ever suspected', () =>
  withCluster(16, async cluster => {
    await cluster.time.advance(60_000);
    assert.deepEqual(
      cluster.changes.filter(change => change.state !== 'alive'),
      [],
    );
  }));

// Guards against an isolated host that stays dead after it is reachable again.
test('membership: an unreachable host is detected, and refutes after it comes back', () =>
  withCluster(9, async cluster => {
    const {hosts, network} = cluster;
    const [isolated, ...others] = hosts;
    await cluster.time.advance(15_000);
    network.partition([isolated], others);
    const detected = () =>
      others.every(
        host => cluster.members.get(host)?.state(isolated) === 'dead',
      );
    assert.ok(
      await cluster.time.advanceUntil(detected, CONVERGENCE_TIMEOUT_MS),
    );
    network.heal();
    await assertAgreement(cluster, hosts);
  }));

// Guards against a host that is considered dead because one other host can't
// reach it.
test('membership: a cut link between two hosts makes neither of them dead', () =>
  withCluster(6, async cluster => {
    const [a, b] = cluster.hosts;
    cluster.network.cut(a, b);
    await cluster.time.advance(60_000);
    assert.ok(cluster.agree(cluster.hosts));
    assert.ok(!cluster.changes.some(change => change.state === 'dead'));
  }));

// Guards against a partition that lasts after the network has healed, because
// neither side probes hosts that it considers dead.
test('membership: the sides of a partition find each other again', () =>
  withCluster(8, async cluster => {
    const {hosts, network} = cluster;
    network.partition(hosts.slice(0, 3), hosts.slice(3));
    await cluster.time.advance(60_000);
    assert.deepEqual(cluster.members.get(hosts[0])?.live(), hosts.slice(0, 3));
    network.heal();
    await assertAgreement(cluster, hosts);
  }));

// Guards against a planned leave that is reported as a crash.
test('membership: a host that leaves is not considered dead', () =>
  withCluster(8, async cluster => {
    const {hosts, members} = cluster;
    await cluster.time.advance(3_000);
    const leaving = members.get(hosts[2]);
    const left = leaving?.leave();
    const without = hosts.filter(host => host !== hosts[2]);
    await assertAgreement(cluster, without);
    await cluster.time.advance(1_000);
    await left;
    await cluster.kill(hosts[2]);
    await cluster.time.advance(20_000);
    const states = cluster.changes
      .filter(change => change.host === hosts[2] && change.state !== 'alive')
      .map(change => change.state);
    assert.deepEqual(new Set(states), new Set(['left']));
  }));

// Guards against a payload that is sent in pings but not in their responses, or
// the reverse.
test('membership: pings carry payloads in both directions', () =>
  withCluster(2, async cluster => {
    const [a, b] = cluster.hosts;
    const received: unknown[] = [];
    cluster.members.get(a)?.setPayload(() => 'from a');
    cluster.members.get(b)?.setPayload(() => 'from b');
    for (const host of [a, b])
      cluster.members
        .get(host)
        ?.onPayload((from, payload) => received.push(`${from} ${payload}`));
    await cluster.time.advance(3_000);
    assert.deepEqual(
      new Set(received),
      new Set([`${a} from a`, `${b} from b`]),
    );
  }));

// Guards against removed hosts that stay in the table, and against a removed
// host that can't join again.
test('membership: hosts that the platform no longer lists are removed once dead', () =>
  withCluster(4, async cluster => {
    const {hosts, members} = cluster;
    await cluster.kill(hosts[3]);
    const rest = hosts.slice(0, 3);
    await assertAgreement(cluster, rest);
    for (const member of members.values()) member.setListedHosts(rest);
    await cluster.time.advance(10_000);
    for (const member of members.values())
      assert.equal(member.state(hosts[3]), undefined);
    cluster.start(hosts[3]);
    await assertAgreement(cluster, hosts);
  }));

const updates = fc.array(
  fc.tuple(
    fc.constantFrom(id<HostId>('a'), id<HostId>('b')),
    fc.constantFrom('alive', 'suspect', 'dead', 'left'),
    fc.nat(3),
  ) as fc.Arbitrary<Update>,
  {maxLength: 12},
);

// Guards against views that differ because updates arrived in another order or
// more than once.
test('membership: the order and repetition of updates do not matter', () => {
  fc.assert(
    fc.property(
      updates.chain(list =>
        fc.tuple(
          fc.constant(list),
          fc.shuffledSubarray([...list, ...list], {
            minLength: 2 * list.length,
          }),
        ),
      ),
      ([list, shuffled]) => {
        const [one, other] = [createMemberTable(), createMemberTable()];
        for (const update of list) one.apply(update);
        for (const update of shuffled) other.apply(update);
        for (const host of [id<HostId>('a'), id<HostId>('b')])
          assert.deepEqual(one.get(host), other.get(host));
      },
    ),
  );
});

const step = fc.record({
  kind: fc.constantFrom('kill', 'start', 'split', 'heal'),
  host: fc.nat(5),
  waitMs: fc.integer({min: 100, max: 8_000}),
});

// Guards against sequences of crashes, restarts and partitions after which the
// views never agree.
test('membership: after any faults, all connected hosts agree on who is live', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {maxLength: 8}),
      fc.nat(1_000),
      (steps, seed) =>
        withCluster(
          6,
          async cluster => {
            const {hosts, network, members} = cluster;
            for (const {kind, host, waitMs} of steps) {
              const target = hosts[host];
              if (kind === 'kill' && members.has(target))
                await cluster.kill(target);
              if (kind === 'start' && !members.has(target))
                cluster.start(target);
              if (kind === 'split')
                network.partition(hosts.slice(0, host), hosts.slice(host));
              if (kind === 'heal') network.heal();
              await cluster.time.advance(waitMs);
            }
            network.heal();
            await assertAgreement(cluster, [...members.keys()]);
          },
          seed,
        ),
    ),
    {numRuns: 25, seed: 1},
  );
});
