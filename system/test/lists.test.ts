/**
 * Changes of the two lists. Guards against an accepted change that does not take
 * effect on every host or is reverted when hosts or the platform fail (I7).
 */
import {
  ADMIN_KEY,
  applyDemoLists,
  applyList,
  CALLER_KEY,
  DEMO_PLANS,
  readJson,
  sendJson,
  startCluster,
  until,
  untilAdminApiResponds,
  untilInEffect,
  untilReady,
  type Cluster,
  type Host,
} from '@chivewick/system';
import {sha256} from '@chivewick/common';
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

/** Plans in which a new key replaces that of `santa-maria`. */
function plansWithKey(key: string): object {
  const {workspaces} = DEMO_PLANS;
  const entry = {plan: 'parish', keys: [sha256(key)]};
  return {workspaces: {...workspaces, 'santa-maria': entry}};
}

async function acceptsKey(host: Host, key: string): Promise<boolean> {
  return (await readJson(`${host.callers}/v1/models`, key)) !== undefined;
}

describe('list changes', () => {
  let cluster: Cluster;
  let hosts: readonly Host[];
  let newKey = 'key-0';
  before(async () => {
    cluster = await startCluster({hosts: 3, engines: []});
    ({hosts} = cluster);
    await applyDemoLists(cluster, {models: []});
  });
  after(() => cluster.close());

  /** Replaces the key of `santa-maria`; returns the version and the old key. */
  async function changeKey(through: Host): Promise<[number, string]> {
    const old = newKey;
    newKey = `key-of-${performance.now()}`;
    return [await applyList(through, 'plans', plansWithKey(newKey)), old];
  }

  async function checkInEffect(version: number, old: string): Promise<void> {
    await untilInEffect(hosts, 'plans', version);
    for (const host of hosts) {
      assert.equal(
        await acceptsKey(host, newKey),
        true,
        `${host.name}: new key`,
      );
      assert.equal(await acceptsKey(host, old), false, `${host.name}: old key`);
    }
  }

  it('are in effect on all hosts', async () => {
    await checkInEffect(...(await changeKey(hosts[0])));
  });

  it('reach a host that was frozen when they were made', async () => {
    hosts[2].kill('SIGSTOP');
    try {
      const change = await changeKey(hosts[0]);
      await untilInEffect(hosts.slice(0, 2), 'plans', change[0]);
      hosts[2].kill('SIGCONT');
      await checkInEffect(...change);
    } finally {
      hosts[2].kill('SIGCONT');
    }
  });

  it('reach all hosts if the platform fails right after acceptance', async () => {
    const change = await changeKey(hosts[1]);
    await cluster.setPlatformFaults({outage: true});
    try {
      await checkInEffect(...change);
    } finally {
      await cluster.setPlatformFaults({outage: false});
    }
  });

  it('are not lost on a host that restarts during an outage next to a stale peer', async () => {
    const [first, stale, restarted] = hosts;
    stale.kill('SIGSTOP');
    const [version, old] = await changeKey(first);
    await untilInEffect([first, restarted], 'plans', version);
    await cluster.setPlatformFaults({outage: true});
    restarted.kill('SIGKILL');
    await restarted.running.exited;
    try {
      restarted.restart();
      await untilAdminApiResponds(restarted);
      // One of two peers is not enough: it may not have the newest version.
      assert.equal(await restarted.ready(), false);
      stale.kill('SIGCONT');
      const seen = await sampleUntilReady(restarted);
      assert.ok(
        seen.every(v => v === 0 || v >= version),
        `versions in effect: ${seen.join()}; newest ${version}`,
      );
      await checkInEffect(version, old);
    } finally {
      stale.kill('SIGCONT');
      await cluster.setPlatformFaults({outage: false});
    }
  });

  it('that are invalid and bypass the API leave the last valid list in effect', async () => {
    const url = `http://${cluster.objectApi}/objects/lists%2Fplans`;
    const before = await readJson<{version: number}>(url);
    assert.ok(before !== undefined);
    const bad = {workspaces: {'san-fermin': {plan: 'no-such-plan', keys: []}}};
    await sendJson('PUT', url, bad, {'if-match': String(before.version)});
    for (const {name} of hosts)
      await until(`${name} reports the invalid list`, async () => {
        const log = await readFile(
          join(cluster.group.logs, `${name}.log`),
          'utf8',
        );
        return log.includes('"event":301');
      });
    for (const host of hosts) {
      assert.equal((await host.versions())?.plans, before.version);
      assert.equal(await acceptsKey(host, CALLER_KEY), true);
    }
    await checkInEffect(...(await changeKey(hosts[2])));
  });

  it('never lower the versions of a host, and one of two edits is refused', async () => {
    const url = `${hosts[0].operators}/admin/lists/plans`;
    const current = (await hosts[0].versions())!.plans;
    const headers = {
      authorization: `Bearer ${ADMIN_KEY}`,
      'if-match': `"${current}"`,
    };
    const edits = await Promise.allSettled(
      ['key-a', 'key-b'].map(key =>
        sendJson('PUT', url, plansWithKey(key), headers),
      ),
    );
    const accepted = edits.filter(({status}) => status === 'fulfilled');
    assert.equal(accepted.length, 1, JSON.stringify(edits));
  });
});

async function sampleUntilReady(host: Host): Promise<number[]> {
  const seen: number[] = [];
  await until(`${host.name} is ready`, async () => {
    const ready = await host.ready();
    const versions = await host.versions();
    if (versions !== undefined) seen.push(versions.plans);
    return ready;
  });
  return seen;
}

describe('a host isolated from the platform and its peers', () => {
  it('stops serving, and serves again when the connections are restored', async () => {
    const cluster = await startCluster({
      hosts: 2,
      engines: [],
      forwarded: true,
    });
    try {
      await applyDemoLists(cluster, {models: []});
      const [other, isolated] = cluster.hosts;
      isolated.cut();
      other.cutPeers();
      await until('the host refuses callers', async () => {
        assert.equal(await acceptsKey(other, CALLER_KEY), true);
        return !(await acceptsKey(isolated, CALLER_KEY));
      });
      assert.equal(await isolated.ready(), false);
      // It must not serve again while it is still isolated.
      await sleep(500);
      assert.equal(await acceptsKey(isolated, CALLER_KEY), false);
      isolated.restore();
      other.restore();
      await untilReady(cluster.hosts);
      assert.equal(await acceptsKey(isolated, CALLER_KEY), true);
    } finally {
      await cluster.close();
    }
  });
});
