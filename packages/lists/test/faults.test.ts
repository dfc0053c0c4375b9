// Guards against faults, in any combination, after which a host adopts an older
// pair or the hosts keep different lists.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  ENTITLEMENTS,
  entitlementsWith,
  INVALID,
  plansOf,
  withCluster,
  type Cluster,
} from './cluster.js';

const step = fc.record({
  kind: fc.constantFrom(
    'plans',
    'plans',
    'invalid',
    'pair',
    'outage',
    'unreachable',
    'split',
    'heal',
    'restart',
    'break',
  ),
  at: fc.nat(4),
  waitMs: fc.constantFrom(0, 20, 100, 1_000, 6_000),
});

async function apply(
  cluster: Cluster,
  kind: string,
  at: number,
  count: number,
): Promise<void> {
  const {platform, network, hosts} = cluster;
  if (kind === 'plans') platform.write('plans', plansOf(count));
  if (kind === 'invalid') platform.write('plans', INVALID);
  if (kind === 'pair') {
    platform.write('plans', plansOf(count, `plan-${at}`));
    platform.write('entitlements', entitlementsWith(`plan-${at}`));
  }
  if (kind === 'outage') platform.faults.outage = true;
  if (kind === 'unreachable')
    platform.faults.unreachable = new Set(hosts.slice(at));
  if (kind === 'split') network.partition(hosts.slice(0, at), hosts.slice(at));
  if (kind === 'heal') heal(cluster);
  if (kind === 'break') platform.breakWatches();
  if (kind === 'restart') {
    await cluster.stop(hosts[at]);
    cluster.start(hosts[at]);
  }
}

function heal({platform, network}: Cluster): void {
  network.heal();
  platform.faults.outage = false;
  platform.faults.unreachable = new Set();
}

test('lists: under any sequence of faults, versions never decrease and all hosts converge', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {maxLength: 12}),
      fc.nat(10_000),
      (steps, seed) =>
        withCluster(
          5,
          async cluster => {
            cluster.platform.faults.gaps = 0.3;
            cluster.platform.faults.reorder = true;
            let count = 3;
            for (const {kind, at, waitMs} of steps) {
              await apply(cluster, kind, at, ++count);
              await cluster.time.advance(waitMs);
            }
            heal(cluster);
            await cluster.time.advance(25_000);
            const held = cluster.hosts.map(host => cluster.versions(host));
            const equal = held.filter(versions => versions !== undefined);
            assert.ok(equal.every(v => v.plans === equal[0].plans));
            assert.ok(
              equal.every(v => v.entitlements === equal[0].entitlements),
            );
            cluster.platform.write('entitlements', ENTITLEMENTS);
            cluster.platform.write('plans', plansOf(2));
            await cluster.waitForVersions(cluster.storedVersions());
          },
          {seed, duplicates: 0.2},
        ),
    ),
    {numRuns: 25, seed: 1},
  );
});
