/**
 * Guards against the loss of an accepted change if the platform fails before a
 * watch has delivered it: the accepting host itself must distribute it (I7).
 */
import {
  applyDemoLists,
  applyList,
  DEMO_PLANS,
  startCluster,
  untilInEffect,
} from '@chivewick/system';
import {it} from 'node:test';

it('a change reaches all hosts if no watch delivers it and the platform fails', async () => {
  const cluster = await startCluster({hosts: 3, engines: []});
  try {
    await applyDemoLists(cluster, {models: []});
    await cluster.setPlatformFaults({watchGap: 100});
    const version = await applyList(cluster.hosts[1], 'plans', {
      workspaces: {'san-fermin': DEMO_PLANS.workspaces['san-fermin']},
    });
    await cluster.setPlatformFaults({outage: true});
    await untilInEffect(cluster.hosts, 'plans', version);
  } finally {
    await cluster.close();
  }
});
