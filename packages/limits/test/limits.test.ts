import assert from 'node:assert/strict';
import {id, type HostId} from '@chivewick/common';
import {test} from 'node:test';
import {createFleet, WORKSPACE, type Fleet} from './fleet.js';

interface Case {
  readonly name: string;
  readonly concurrency?: number;
  readonly run: (fleet: Fleet) => Promise<void>;
}

const used = (fleet: Fleet) => fleet.members.map(fleet.inUse);
const total = (fleet: Fleet) => used(fleet).reduce((a, b) => a + b, 0);

const LIVE_AFTER_STOP = [id<HostId>('host-1'), id<HostId>('host-2')];

const CASES: Case[] = [
  {
    name: 'one busy host gets the full plan while the others are idle',
    async run(fleet) {
      for (const index of [0, 1, 2]) fleet.acquire(index, 2);
      await fleet.time.advance(500);
      for (const index of [0, 1, 2]) fleet.release(index, 2);
      await fleet.time.advance(2_000);
      fleet.acquire(0, 12);
      await fleet.time.advance(1_000);
      assert.equal(fleet.inUse(fleet.members[0]), 12);
    },
  },
  {
    name: 'requests above the plan are refused with a retry-after',
    async run(fleet) {
      fleet.acquire(0, 20);
      await fleet.time.advance(5_000);
      assert.equal(total(fleet), 12);
      assert.deepEqual(
        new Set(fleet.members[0].refused),
        new Set(['limit_exceeded']),
      );
    },
  },
  {
    name: 'allocations remain usable during a platform outage',
    async run(fleet) {
      for (const index of [0, 1, 2]) fleet.acquire(index, 2);
      await fleet.time.advance(500);
      fleet.faults.outage = true;
      for (const index of [0, 1, 2]) fleet.release(index, 2);
      for (const index of [0, 1, 2]) fleet.acquire(index, 3);
      await fleet.time.advance(500);
      assert.deepEqual(used(fleet), [3, 3, 3]);
    },
  },
  {
    name: 'lowering a limit during use ends no running request and starts none above it',
    async run(fleet) {
      fleet.acquire(0, 8);
      await fleet.time.advance(500);
      fleet.setLimit(4);
      await fleet.time.advance(3_000);
      assert.equal(fleet.inUse(fleet.members[0]), 8);
      fleet.release(0, 5);
      fleet.acquire(0, 5);
      await fleet.time.advance(3_000);
      assert.equal(fleet.inUse(fleet.members[0]), 4);
    },
  },
  {
    name: 'a raised limit becomes usable',
    async run(fleet) {
      fleet.acquire(0, 12);
      await fleet.time.advance(500);
      fleet.setLimit(20);
      await fleet.time.advance(3_000);
      fleet.acquire(0, 8);
      await fleet.time.advance(3_000);
      assert.equal(fleet.inUse(fleet.members[0]), 20);
    },
  },
  // Guards against shares that grow when a limit is raised. The cut-off host
  // misses the raise and keeps scaling its old allocation to the old limit.
  {
    name: 'a limit raised and lowered again while a host is cut off is not exceeded',
    async run(fleet) {
      fleet.acquire(0, 6);
      await fleet.time.advance(1_000);
      fleet.faults.isolatedHosts.add('host-0');
      fleet.setLimit(20);
      await fleet.time.advance(3_000);
      for (let tries = 0; tries < 3; tries += 1) {
        fleet.acquire(1, 14);
        await fleet.time.advance(3_000);
      }
      fleet.setLimit(12);
      await fleet.time.advance(3_000);
      fleet.check('after the limit is back');
    },
  },
  {
    name: 'a removed workspace is refused and its object deleted',
    async run(fleet) {
      fleet.acquire(0, 2);
      fleet.acquire(1, 2);
      await fleet.time.advance(500);
      fleet.release(0, 2);
      fleet.release(1, 2);
      fleet.setLimit(undefined);
      await fleet.time.advance(5_000);
      fleet.acquire(0);
      await fleet.time.advance(10);
      assert.deepEqual(fleet.members[0].refused, ['forbidden']);
      assert.equal(fleet.store.read(`limits/${WORKSPACE}`), undefined);
    },
  },
  {
    name: 'a graceful stop frees the allocation immediately',
    async run(fleet) {
      fleet.acquire(0, 12);
      await fleet.time.advance(500);
      fleet.release(0, 12);
      void fleet.time.run(fleet.members[0].process, () =>
        fleet.members[0].limits.handover(),
      );
      await fleet.time.advance(500);
      fleet.crash(0);
      fleet.members[1].live = fleet.members[2].live = LIVE_AFTER_STOP;
      fleet.acquire(1, 12);
      await fleet.time.advance(1_000);
      assert.equal(fleet.inUse(fleet.members[1]), 12);
    },
  },
  {
    name: 'the allocation of a dead host is freed only after the maximum request duration',
    async run(fleet) {
      fleet.acquire(0, 12);
      await fleet.time.advance(500);
      fleet.crash(0);
      fleet.setHostListed(0, false);
      for (let elapsedMs = 0; elapsedMs < 40_000; elapsedMs += 1_000) {
        fleet.acquire(1, 1);
        await fleet.time.advance(1_000);
      }
      assert.equal(total(fleet), 0);
      for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 1_000) {
        fleet.acquire(1, 1);
        await fleet.time.advance(1_000);
      }
      assert.ok(total(fleet) > 0);
    },
  },
  // Guards against a host that uses an allocation that was freed while it was
  // suspended.
  {
    name: 'a holder that resumes after its allocation was freed starts nothing',
    async run(fleet) {
      fleet.acquire(0, 12);
      await fleet.time.advance(500);
      fleet.pause(0);
      fleet.setHostListed(0, false);
      for (let elapsedMs = 0; elapsedMs < 80_000; elapsedMs += 1_000) {
        fleet.acquire(1, 1);
        await fleet.time.advance(1_000);
      }
      assert.ok(total(fleet) > 0);
      fleet.resume(0);
      fleet.acquire(0, 12);
      await fleet.time.advance(10);
      assert.equal(fleet.inUse(fleet.members[0]), 0);
    },
  },
  // Guards against a host that uses an allocation that was freed while it was
  // running but missing from the host list.
  {
    name: 'a host that was unlisted and cut off for 60 s confirms its allocation before it starts a request',
    async run(fleet) {
      fleet.acquire(0, 12);
      await fleet.time.advance(500);
      fleet.release(0, 12);
      fleet.setHostListed(0, false);
      fleet.faults.isolatedHosts.add('host-0');
      for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 1_000) {
        fleet.acquire(1, 1);
        await fleet.time.advance(1_000);
      }
      assert.ok(fleet.inUse(fleet.members[1]) > 0);
      fleet.setHostListed(0, true);
      fleet.faults.isolatedHosts.clear();
      fleet.acquire(0, 12);
      await fleet.time.advance(0);
      assert.equal(fleet.inUse(fleet.members[0]), 0);
    },
  },
];

// Each case also fails if a start of a request violates the invariant.
for (const {name, run, concurrency = 12} of CASES) {
  test(`limits: ${name}`, async () => {
    const fleet = createFleet({hosts: 3, concurrency, seed: 7});
    try {
      await run(fleet);
      assert.deepEqual(fleet.violations, []);
    } finally {
      await fleet.close();
    }
  });
}
