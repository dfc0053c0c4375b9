/**
 * Runs two firms on one platform. Guards against a host that serves the callers of
 * another firm or accepts its hosts as peers (section 5.10).
 */
import {
  applyDemoLists,
  applyList,
  CALLER_KEY,
  createProcessGroup,
  startCluster,
  streamDraft,
  until,
  type Cluster,
} from '@chivewick/system';
import {sha256} from '@chivewick/common';
import assert from 'node:assert/strict';
import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {parse, stringify} from 'yaml';

const HERITAGE_KEY = 'key-of-the-heritage-utility';

describe('two firms', () => {
  let diocese: Cluster;
  let heritage: Cluster;
  before(async () => {
    [diocese, heritage] = await Promise.all([
      startCluster({hosts: 2}),
      startCluster({
        hosts: 1,
        firm: 'heritage',
        secret: 'another-secret-of-hosts',
      }),
    ]);
    await Promise.all([applyDemoLists(diocese), applyDemoLists(heritage)]);
    const plans = {
      workspaces: {museum: {plan: 'parish', keys: [sha256(HERITAGE_KEY)]}},
    };
    await applyList(heritage.hosts[0], 'plans', plans);
  });
  after(() => Promise.all([diocese.close(), heritage.close()]));

  it("refuses keys of the other firm's callers", async () => {
    const draft = {prompt: 'Condition report.', maxTokens: 4};
    const [own] = heritage.hosts;
    await until('the new list is in effect', async () => {
      const result = await streamDraft(own.callers, {
        ...draft,
        key: HERITAGE_KEY,
      });
      return result.complete;
    });
    const results = await Promise.all([
      streamDraft(own.callers, {...draft, key: CALLER_KEY}),
      streamDraft(diocese.hosts[0].callers, {...draft, key: HERITAGE_KEY}),
    ]);
    for (const {status, refusal, tokens} of results) {
      assert.equal(tokens, 0);
      assert.equal(status, 401, refusal);
      assert.match(refusal, /"kind":"unauthenticated"/);
    }
  });

  for (const {name, firm, secret} of [
    {
      name: "another firm with this firm's secret",
      firm: 'heritage',
      secret: undefined,
    },
    {
      name: 'this firm with another secret',
      firm: 'diocese',
      secret: 'another-secret-of-hosts',
    },
  ]) {
    it(`refuses a host of ${name} among the peers`, async () => {
      const [first, second] = diocese.hosts;
      const logs = diocese.group.logs;
      const settings = parse(
        await readFile(join(logs, `${second.name}.yaml`), 'utf8'),
      ) as {firm: string; peers: {secret: string}; platform: object};
      settings.firm = firm;
      settings.peers.secret = secret ?? settings.peers.secret;
      // Without the platform, the host can get the lists only from its peers.
      settings.platform = {objectApi: '127.0.0.1:9', hostList: '127.0.0.1:9'};
      second.kill('SIGKILL');
      await second.running.exited;
      const file = join(logs, `intruder-${firm}.yaml`);
      await writeFile(file, stringify(settings));
      const group = createProcessGroup(logs);
      try {
        const script = 'packages/chivewickd/dist/src/main.js';
        const intruder = group.start(`intruder-${firm}`, script, [
          '--config',
          file,
        ]);
        await until('a peer refused the intruder', async () => {
          assert.ok(intruder.alive(), intruder.errors());
          const log = join(logs, `${first.name}.log`);
          return (await readFile(log, 'utf8')).includes('"event":412');
        });
        const draft = {prompt: 'Rota.', maxTokens: 4};
        const result = await streamDraft(first.callers, draft);
        assert.equal(result.complete, true, result.refusal);
        assert.equal(await second.ready(), false, 'the intruder has no lists');
        assert.equal((await second.versions())?.plans ?? 0, 0);
      } finally {
        await group.stopAll();
        second.restart();
        await until('the host is ready', () => second.ready());
      }
    });
  }
});
