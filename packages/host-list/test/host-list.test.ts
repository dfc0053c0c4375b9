import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSilentLogger} from '@chivewick/common';
import {createHostListStandIn} from '@chivewick/stand-ins';
import {createHostList, type HostListEntry} from '../src/index.js';

const ENTRY = {
  id: 'engine-1',
  kind: 'endpoint' as const,
  address: '127.0.0.1:1',
  failureDomain: 'nav-a',
  state: 'live' as const,
};

// Guards against an outage of the platform that empties the list, and against a
// list that is not refreshed after the outage.
test('host list: an outage keeps the last entries', async () => {
  const standIn = await createHostListStandIn({entries: [ENTRY]});
  const list = createHostList({
    address: standIn.address,
    refreshMs: 10,
    log: createSilentLogger(),
  });
  const changes: (readonly HostListEntry[])[] = [];
  const until = async (count: number) => {
    while (changes.length < count) await new Promise(r => setTimeout(r, 5));
  };
  list.onChange(entries => changes.push(entries));
  await until(1);
  standIn.faults.outage = true;
  await new Promise(r => setTimeout(r, 50));
  assert.equal(list.entries().length, 1);
  standIn.faults.outage = false;
  standIn.set([{...ENTRY, state: 'leaving'}]);
  await until(2);
  assert.equal(list.entries()[0].state, 'leaving');
  await list.close();
  await standIn.close();
});
