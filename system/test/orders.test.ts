/**
 * Guards against a new model version in the entitlements that the engines load
 * or the hosts serve only after a further action of an operator.
 */
import {
  applyDemoLists,
  applyList,
  entitlementsWith,
  MODEL,
  readJson,
  startCluster,
  streamDraft,
  until,
  untilInEffect,
  type Cluster,
  type Engine,
} from '@chivewick/system';
import {id, type ModelName} from '@chivewick/common';
import {createWeightStoreStandIn, expectedText} from '@chivewick/stand-ins';
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

const LOADS_PER_SECOND = 10;
const PROMPT = 'Advent';
const MAX_TOKENS = 16;

describe('orders to engines', () => {
  let cluster: Cluster;
  let weights: Awaited<ReturnType<typeof createWeightStoreStandIn>>;
  before(async () => {
    weights = await createWeightStoreStandIn({
      loadsPerSecond: LOADS_PER_SECOND,
    });
    const orders = {
      enabled: true,
      weightStore: weights.address,
      loadsPerSecond: LOADS_PER_SECOND,
      leaseMs: 3_000,
    };
    cluster = await startCluster({hosts: 2, settings: {orders}});
    await applyDemoLists(cluster);
  });
  after(async () => {
    await cluster.close();
    await weights.close();
  });

  function expected(version: string): string {
    return expectedText({
      ...MODEL,
      model: id<ModelName>(MODEL.name),
      version,
      adapter: '',
      prompt: PROMPT,
      maxTokens: MAX_TOKENS,
    });
  }

  async function versionOf({address}: Engine): Promise<string | undefined> {
    const url = `http://${address}/engine/status`;
    return (await readJson<{version: string}>(url))?.version;
  }

  async function draft() {
    const [, host] = cluster.hosts;
    return streamDraft(host.callers, {prompt: PROMPT, maxTokens: MAX_TOKENS});
  }

  it('are not sent to engines that already hold what is granted', async () => {
    assert.equal((await draft()).text, expected('v1'));
    assert.equal(weights.counts.granted, 0);
  });

  it('load a new version of a model, which is then served', async () => {
    const {hosts, engines} = cluster;
    const list = entitlementsWith() as {models: Record<string, object>};
    list.models[MODEL.name] = {...list.models[MODEL.name], version: 'v2'};
    const version = await applyList(hosts[0], 'entitlements', list);
    await untilInEffect(hosts, 'entitlements', version);
    await until('the new version is served', async () => {
      const {complete, text} = await draft();
      return complete && text === expected('v2');
    });
    await until('every engine holds the new version', async () => {
      const held = await Promise.all(engines.map(versionOf));
      return held.every(v => v === 'v2');
    });
    assert.deepEqual(weights.counts, {granted: engines.length, refused: 0});
  });
});
