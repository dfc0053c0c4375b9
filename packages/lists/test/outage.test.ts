// Guards against hosts that stop serving in a platform outage, start with
// outdated lists, or serve unconfirmed lists while isolated.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {confirmed, INVALID, plansOf, status, withCluster} from './cluster.js';

test('lists: service continues in a platform outage, and changes arrive after it', () =>
  withCluster(6, async cluster => {
    const {platform, hosts} = cluster;
    platform.faults.outage = true;
    platform.breakWatches();
    await cluster.time.advance(60_000);
    for (const host of hosts) assert.ok(confirmed(cluster, host));
    platform.write('plans', plansOf(7));
    platform.faults.outage = false;
    await cluster.waitForVersions({plans: 3, entitlements: 1});
  }));

test('lists: a change that one host received just before an outage reaches all hosts', () =>
  withCluster(9, async cluster => {
    const {platform, hosts} = cluster;
    platform.faults.unreachable = new Set(hosts.slice(1));
    platform.breakWatches();
    platform.write('plans', plansOf(8));
    await cluster.waitForVersions(
      {plans: 3, entitlements: 1},
      hosts.slice(0, 1),
    );
    platform.faults.outage = true;
    await cluster.waitForVersions({plans: 3, entitlements: 1});
  }));

for (const failsAt of ['after', 'during'])
  test(`lists: an accepted change that no watch sees reaches all hosts when the platform fails ${failsAt} the edit`, () =>
    withCluster(4, async cluster => {
      const {platform, hosts, running, time} = cluster;
      await time.advance(25_000);
      platform.faults.gaps = 1;
      const value = {...plansOf(5), writeId: 'maria:2'};
      const version = platform.write('plans', value);
      platform.faults.outage = failsAt === 'during';
      const written = {list: 'plans', version, value} as const;
      const accepted = running.get(hosts[1])?.lists.applyWritten(written);
      await time.advance(200);
      await accepted;
      platform.faults.outage = true;
      await cluster.waitForVersions({plans: version, entitlements: 1});
    }));

test('lists: a host that starts while the store is invalid fetches the pair of its peers', () =>
  withCluster(4, async cluster => {
    const {platform, hosts, time} = cluster;
    await cluster.stop(hosts[0]);
    platform.write('plans', INVALID);
    await time.advance(5_000);
    cluster.start(hosts[0]);
    await cluster.waitForVersions({plans: 2, entitlements: 1});
    assert.deepEqual(status(cluster, hosts[0])?.invalid?.versions, {
      plans: 3,
      entitlements: 1,
    });
  }));

test('lists: a host that starts in an outage takes the highest versions of a majority', () =>
  withCluster(5, async cluster => {
    const {platform, hosts, network} = cluster;
    const [started, ...others] = hosts;
    await cluster.stop(started);
    platform.faults.unreachable = new Set(others.slice(1));
    platform.breakWatches();
    platform.write('plans', plansOf(8));
    await cluster.waitForVersions({plans: 3, entitlements: 1}, others);
    platform.faults.outage = true;
    network.partition([started, others[0], others[1]], others.slice(2));
    cluster.start(started);
    await cluster.time.advance(20_000);
    assert.equal(cluster.versions(started), undefined, 'two of four answer');
    network.heal();
    await cluster.waitForVersions({plans: 3, entitlements: 1});
    assert.equal(status(cluster, started)?.source, 'peers_in_outage');
    assert.ok(confirmed(cluster, started));
  }));

test('lists: of the versions that peers hold in an outage, the highest is taken', async () => {
  // The order in which peers respond depends on the seed.
  for (const seed of [1, 2, 3, 4])
    await withCluster(
      5,
      async cluster => {
        const {platform, hosts, network} = cluster;
        const [started, a, b, c, d] = hosts;
        await cluster.stop(started);
        for (const stale of [a, b, c]) network.cut(stale, d);
        platform.faults.unreachable = new Set([a, b, c]);
        platform.breakWatches();
        platform.write('plans', plansOf(8));
        await cluster.waitForVersions({plans: 3, entitlements: 1}, [d]);
        platform.faults.outage = true;
        cluster.start(started);
        const hasLists = () => cluster.versions(started) !== undefined;
        assert.ok(await cluster.time.advanceUntil(hasLists, 30_000));
        assert.deepEqual(cluster.versions(started), {
          plans: 3,
          entitlements: 1,
        });
      },
      {seed},
    );
});

test('lists: a starting host does not take the lists of one stale peer host', () =>
  withCluster(4, async cluster => {
    const {platform, hosts, network} = cluster;
    const [started, stale, ...others] = hosts;
    network.partition([stale], [started, ...others]);
    platform.faults.unreachable = new Set([stale]);
    platform.breakWatches();
    platform.write('plans', plansOf(9));
    await cluster.waitForVersions({plans: 3, entitlements: 1}, [
      started,
      ...others,
    ]);
    await cluster.stop(started);
    platform.faults.outage = true;
    network.partition([started, stale], others);
    cluster.start(started);
    await cluster.time.advance(20_000);
    assert.equal(cluster.versions(started), undefined);
    network.heal();
    await cluster.waitForVersions({plans: 3, entitlements: 1});
  }));

test('lists: a host isolated from platform and peers is unconfirmed after 10 s', () =>
  withCluster(4, async cluster => {
    const {platform, hosts, network, time} = cluster;
    const [isolated, ...others] = hosts;
    network.partition([isolated], others);
    platform.faults.unreachable = new Set([isolated]);
    platform.breakWatches();
    await time.advance(9_000);
    assert.ok(confirmed(cluster, isolated));
    await time.advance(6_000);
    assert.equal(confirmed(cluster, isolated), false);
    for (const host of others) assert.ok(confirmed(cluster, host));
    platform.write('plans', plansOf(9));
    await cluster.waitForVersions({plans: 3, entitlements: 1}, others);
    network.heal();
    // Contact with a peer host that has newer lists confirms this host's lists
    // only after those newer lists were fetched.
    const serves = () => confirmed(cluster, isolated) === true;
    assert.ok(await time.advanceUntil(serves, 30_000));
    assert.deepEqual(cluster.versions(isolated), {plans: 3, entitlements: 1});
  }));

test('lists: a single host is confirmed by the platform alone', () =>
  withCluster(1, async cluster => {
    const unconfirmed = () => confirmed(cluster, cluster.hosts[0]) === false;
    assert.ok(!(await cluster.time.advanceUntil(unconfirmed, 60_000)));
    cluster.platform.faults.outage = true;
    cluster.platform.breakWatches();
    await cluster.time.advance(20_000);
    assert.equal(confirmed(cluster, cluster.hosts[0]), false);
  }));
