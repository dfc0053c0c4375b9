import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkRuns, reportedResult} from './checks.js';
import {createHarness, type Harness} from './harness/index.js';

// Each fault is injected at one point in the processing of a call. `owner` is
// the host that owns the key; the call arrives at another host.
const FAULTS: Record<string, (harness: Harness, owner: number) => void> = {
  'owner killed': (harness, owner) => harness.kill(owner),
  'owner killed and restarted': (harness, owner) => {
    harness.kill(owner);
    setTimeout(() => harness.restart(owner), 400);
  },
  'owner paused briefly': (harness, owner) => {
    harness.pause(owner);
    setTimeout(() => harness.resume(owner), 300);
  },
  'owner paused until another host took over': (harness, owner) => {
    harness.pause(owner);
    setTimeout(() => harness.resume(owner), 3_000);
  },
  'platform response lost': harness => (harness.store.faults.loseAnswers = 2),
  'platform write lost': harness => (harness.store.faults.loseWrites = 2),
  'platform write delayed': harness => (harness.store.faults.delayWrites = 1),
  'platform outage': harness => {
    harness.store.faults.outage = true;
    setTimeout(() => (harness.store.faults.outage = false), 2_500);
  },
  'owner partitioned from other hosts': (harness, owner) => {
    harness.net.isolated.add(harness.hosts[owner]);
    setTimeout(() => harness.net.isolated.clear(), 2_500);
  },
  'peer request lost': harness => (harness.net.loseRequests = 1),
  'peer response lost': harness => (harness.net.loseResponses = 1),
  'peer request delayed': harness => (harness.net.delayRequests = 1),
  'service crashed after the effect': harness =>
    (harness.service.faults.crashAfter = 1),
  'service frozen after the effect': harness =>
    (harness.service.faults.freezeAfter = 1),
  'service frozen before the effect': harness =>
    (harness.service.faults.freezeBefore = 1),
  'service endpoint refused': harness => (harness.service.faults.refuse = 1),
  'owner stops as planned': (harness, owner) =>
    void harness.ledger(owner).handover(),
};
const FAULT_TIMES_MS = [0, 8, 20, 40];
const HOSTS = 3;

async function runScenario(
  seed: number,
  faults: {name: string; atMs: number}[],
): Promise<void> {
  const harness = createHarness({hosts: HOSTS, seed});
  try {
    const owner = harness.owner('shared');
    const other = (owner + 1) % HOSTS;
    // The partition already has an owner before the fault, the usual case.
    harness.call(other, 'before');
    await harness.run(1_000);
    harness.call(owner, 'shared');
    harness.call(other, 'shared', 2_000);
    harness.call(other, 'single', 1_500);
    for (const {name, atMs} of faults)
      setTimeout(() => FAULTS[name](harness, owner), atMs);
    await harness.run(1_000);
    harness.call((owner + 2) % HOSTS, 'shared', 1_000);
    await harness.run(45_000);
    checkRuns(harness);
    // Every caller on another host than the owner has an answer, and repeated
    // calls after the fault agree with the service.
    for (const call of harness.sent.filter(sent => sent.host !== owner))
      assert.notEqual(reportedResult(call), 'no answer', call.key);
    harness.call(other, 'shared');
    harness.call((owner + 2) % HOSTS, 'single');
    await harness.run(20_000);
    checkRuns(harness);
  } finally {
    await harness.close();
  }
}

describe('ledger under faults', () => {
  const names = Object.keys(FAULTS);
  for (const [n, first] of names.entries()) {
    // Guards against a call that runs twice, and against `not_run` being
    // reported for a call that ran.
    it(`runs at most once: ${first}, alone and with each other fault`, async () => {
      for (const second of [undefined, ...names.slice(n + 1)])
        for (const [seed, atMs] of FAULT_TIMES_MS.entries()) {
          const faults = [{name: first, atMs}];
          if (second !== undefined)
            faults.push({
              name: second,
              atMs: FAULT_TIMES_MS[(seed * 3 + 1) % 4],
            });
          try {
            await runScenario(seed, faults);
          } catch (err) {
            const where = JSON.stringify({seed, faults});
            throw new Error(`${where}: ${(err as Error).message}`, {
              cause: err,
            });
          }
        }
    });
  }
});
