// Guards against changes that do not reach every host, and against invalid or
// restored lists that replace the valid pair in effect.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  confirmed,
  entitlementsWith,
  INVALID,
  plansOf,
  status,
  withCluster,
  type Cluster,
} from './cluster.js';

test('lists: a change is in effect on all hosts, and grants are resolved', () =>
  withCluster(9, async cluster => {
    cluster.platform.write('plans', {...plansOf(4), writeId: 'maria:1'});
    await cluster.waitForVersions({plans: 3, entitlements: 1});
    for (const {lists} of cluster.running.values()) {
      const grant = lists.snapshot()?.grantOfKey('4'.padStart(64, '0'));
      assert.equal(grant?.workspace, 'ws-3');
      assert.equal(grant?.concurrency, 8);
      assert.equal(lists.confirmed(), true);
    }
    const digests = [...cluster.running.values()].map(
      ({lists}) => lists.status().digest,
    );
    assert.equal(new Set(digests).size, 1);
  }));

test('lists: few hosts of a domain watch the platform, the others receive changes from peers', () =>
  withCluster(
    16,
    async cluster => {
      await cluster.time.advance(20_000);
      const {calls} = cluster.platform;
      const before = {...calls};
      cluster.platform.write('plans', plansOf(5));
      await cluster.waitForVersions({plans: 3, entitlements: 1});
      const watching = cluster.hosts.filter(
        host => status(cluster, host)?.watching,
      );
      assert.equal(watching.length, 3);
      assert.equal(calls.watches, before.watches);
      assert.ok(calls.reads - before.reads <= 3);
    },
    {domains: 1},
  ));

const WATCH_FAULTS: {name: string; fault: (cluster: Cluster) => void}[] = [
  {
    name: 'misses a change',
    fault: ({platform}) => void (platform.faults.gaps = 1),
  },
  {
    name: 'delivers changes in another order',
    fault: ({platform}) => void (platform.faults.reorder = true),
  },
  {name: 'breaks', fault: ({platform}) => platform.breakWatches()},
];
for (const {name, fault} of WATCH_FAULTS)
  test(`lists: a watch that ${name} delays changes but loses none`, () =>
    withCluster(4, async cluster => {
      // Watcher roles, and with them reads, change until hosts know each
      // other's failure domains.
      await cluster.time.advance(25_000);
      fault(cluster);
      cluster.platform.write('entitlements', entitlementsWith('choir'));
      cluster.platform.write('plans', plansOf(3, 'choir'));
      cluster.platform.write('plans', plansOf(6, 'choir'));
      await cluster.waitForVersions({plans: 5, entitlements: 3});
    }));

test('lists: watchers of large lists stay within the read budget, and changes still arrive', () =>
  withCluster(4, async cluster => {
    const {platform, hosts, time} = cluster;
    await time.advance(25_000);
    const before = new Map(platform.bytes);
    const secondsTotal = 200;
    for (let second = 0; second < secondsTotal; second += 2) {
      // About 30 KB each, so that an unlimited watch would cost 15 KB/s.
      platform.write('plans', plansOf(300 + second));
      await time.advance(2_000);
    }
    await cluster.waitForVersions(cluster.storedVersions());
    for (const host of hosts) {
      const read = (platform.bytes.get(host) ?? 0) - (before.get(host) ?? 0);
      const bound = 512_000 + (8_000 + 1_000) * secondsTotal;
      assert.ok(read <= bound, `${host} read ${read} bytes`);
    }
  }));

test('lists: an invalid edit in the store leaves the last valid pair in effect', () =>
  withCluster(4, async cluster => {
    const {platform, hosts, events} = cluster;
    platform.write('plans', INVALID);
    await cluster.time.advance(30_000);
    await cluster.waitForVersions({plans: 2, entitlements: 1});
    for (const host of hosts) assert.ok(confirmed(cluster, host));
    const reports = hosts.map(host => status(cluster, host)?.invalid);
    const [report] = reports.filter(invalid => invalid !== undefined);
    assert.deepEqual(report, {
      versions: {plans: 3, entitlements: 1},
      faults: [
        {
          list: 'plans',
          key: 'workspaces.ws-0.plan',
          message: 'unknown plan "none"; did you mean "parish"?',
        },
      ],
    });
    const logged = events.filter(event => event.name === 'listInvalid');
    assert.equal(new Set(logged.map(event => event.host)).size, logged.length);
    platform.write('plans', plansOf(3));
    await cluster.waitForVersions({plans: 4, entitlements: 1});
    for (const host of hosts)
      assert.equal(status(cluster, host)?.invalid, undefined);
  }));

test('lists: a version that is valid only with a later version of the other list waits for it', () =>
  withCluster(4, async cluster => {
    cluster.platform.write('plans', plansOf(3, 'choir'));
    await cluster.time.advance(5_000);
    await cluster.waitForVersions({plans: 2, entitlements: 1});
    cluster.platform.write('entitlements', entitlementsWith('choir'));
    await cluster.waitForVersions({plans: 3, entitlements: 4});
  }));

test('lists: a deleted list leaves the last valid pair in effect', () =>
  withCluster(4, async cluster => {
    cluster.platform.write('plans', undefined);
    await cluster.time.advance(30_000);
    await cluster.waitForVersions({plans: 2, entitlements: 1});
  }));

test('lists: a store restored to an earlier state is reported, and no list in effect reverts', () =>
  withCluster(4, async cluster => {
    const {platform, hosts, time} = cluster;
    platform.write('plans', plansOf(5));
    await cluster.waitForVersions({plans: 3, entitlements: 1});
    platform.restore('plans', 2, plansOf(3));
    await time.advance(30_000);
    await cluster.waitForVersions({plans: 3, entitlements: 1});
    assert.deepEqual(status(cluster, hosts[0])?.storeBehind, {
      plans: 2,
      entitlements: 1,
    });
    platform.write('plans', plansOf(6));
    await cluster.waitForVersions({plans: 4, entitlements: 1});
    await time.advance(30_000);
    assert.equal(status(cluster, hosts[0])?.storeBehind, undefined);
  }));

test('lists: different content under the same versions is replaced by the content of the store', () =>
  withCluster(4, async cluster => {
    const {platform, hosts, events, time} = cluster;
    await time.advance(2_000);
    platform.restore('plans', 2, plansOf(7));
    await cluster.stop(hosts[0]);
    cluster.start(hosts[0]);
    const digests = () =>
      new Set(hosts.map(host => status(cluster, host)?.digest));
    assert.ok(await time.advanceUntil(() => digests().size === 2, 5_000));
    assert.ok(await time.advanceUntil(() => digests().size === 1, 8_000));
    assert.ok(events.some(event => event.name === 'listsDiffer'));
    const {lists} = cluster.running.get(hosts[1]) ?? {};
    assert.equal(lists?.snapshot()?.grants.size, 7);
  }));

test('lists: pushes alone distribute a change to all hosts of a small firm', () =>
  withCluster(5, async cluster => {
    const {platform, hosts, network} = cluster;
    await cluster.time.advance(10_000);
    platform.faults.unreachable = new Set(hosts.slice(1));
    platform.breakWatches();
    await cluster.time.advance(5_000);
    const fetches = network.requests.get('lists.fetch') ?? 0;
    platform.write('plans', plansOf(8));
    await cluster.waitForVersions({plans: 3, entitlements: 1});
    assert.equal(network.requests.get('lists.fetch') ?? 0, fetches);
  }));
