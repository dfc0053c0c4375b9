// Guards against lists that work in simulated time but not over real sockets.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createRandom,
  createSilentLogger,
  id,
  type FailureDomain,
  type Firm,
  type HostId,
} from '@chivewick/common';
import {createMembership} from '@chivewick/membership';
import {createObjectApi} from '@chivewick/platform';
import {createPeers} from '@chivewick/peers';
import {createObjectApiStandIn} from '@chivewick/stand-ins';
import {createLists, type Lists} from '../src/index.js';
import {ENTITLEMENTS, plansOf} from './cluster.js';

interface Host {
  readonly lists: Lists;
  close(): Promise<void>;
}

async function startHost(
  name: string,
  platformAddress: string,
  addresses: Map<HostId, string>,
): Promise<Host> {
  const self = id<HostId>(name);
  const log = createSilentLogger();
  const random = createRandom(1);
  const peers = await createPeers({
    firm: id<Firm>('diocese'),
    self,
    listen: '127.0.0.1:0',
    addresses,
    secret: 'a shared secret of the firm',
  });
  addresses.set(self, peers.address);
  const platform = createObjectApi({address: platformAddress});
  const membership = createMembership({
    self,
    peers,
    log,
    random,
    periodMs: 100,
  });
  const lists = createLists({
    self,
    firm: id<Firm>('diocese'),
    failureDomain: id<FailureDomain>('a'),
    platform,
    peers,
    membership,
    log,
    random,
  });
  await lists.start();
  return {
    lists,
    async close() {
      await Promise.all([lists.close(), membership.close()]);
      await Promise.all([peers.close(), platform.close()]);
    },
  };
}

/** The timeout ends the test if a change never arrives. */
const TEST_OPTIONS = {timeout: 60_000};

/** Resolves once the host has a version of plans. */
function waitForPlans({lists}: Host, version: number): Promise<void> {
  return new Promise(resolve => {
    const check = () => {
      if (lists.snapshot()?.versions.plans === version) resolve();
    };
    lists.onChange(check);
    check();
  });
}

test(
  'lists: over TCP and HTTP, changes reach all hosts, and a host starts in an outage',
  TEST_OPTIONS,
  async t => {
    const platform = await createObjectApiStandIn({});
    t.after(() => platform.close());
    const {store, faults} = platform;
    store.put('lists/entitlements', ENTITLEMENTS, 0);
    const addresses = new Map<HostId, string>();
    const hosts: Host[] = [];
    const start = async (name: string) => {
      const host = await startHost(name, platform.address, addresses);
      t.after(() => host.close());
      hosts.push(host);
      return host;
    };
    const change = async (workspaces: number, old: number) => {
      const version = store.put('lists/plans', plansOf(workspaces), old) ?? 0;
      await Promise.all(hosts.map(host => waitForPlans(host, version)));
      return version;
    };

    const first = await change(2, 0);
    for (const name of ['a-1', 'a-2', 'a-3']) await start(name);
    const second = await change(3, first);
    faults.watchGap = 2;
    const third = await change(4, second);

    faults.outage = true;
    const late = await start('a-4');
    await waitForPlans(late, third);
    assert.equal(late.lists.status().source, 'peers_in_outage');
    assert.equal(late.lists.confirmed(), true);

    faults.outage = false;
    await change(5, third);
  },
);
