import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {LedgerSettings} from '../src/index.js';
import {checkRuns, reportedResult} from './checks.js';
import {
  createHarness,
  WORKSPACE,
  type SentCall,
  type Harness,
} from './harness/index.js';

const HOSTS = 3;
let harness: Harness;

function create(
  settings: Partial<LedgerSettings> = {},
  hosts = HOSTS,
): Harness {
  harness = createHarness({hosts, settings});
  return harness;
}

async function outcomeOf(call: SentCall, ms = 10_000) {
  await harness.run(ms);
  assert.ok(call.outcome !== undefined, 'call has no answer');
  return call.outcome;
}

function errOf(call: SentCall) {
  assert.equal(call.outcome?.kind, 'failed');
  return call.outcome.err;
}

const lookUp = (host: number, key: string) =>
  harness.runUntilSettled(harness.ledger(host).lookup(WORKSPACE, key));

describe('ledger', () => {
  afterEach(async () => {
    checkRuns(harness);
    await harness.close();
  });

  it('replays the answer of a finished call on every host', async () => {
    create();
    const first = await outcomeOf(harness.call(0, 'k'));
    assert.ok(first.kind === 'answered' && !first.replayed);
    for (const host of [0, 1, 2]) {
      const again = await outcomeOf(harness.call(host, 'k'));
      assert.deepEqual(again, {...first, replayed: true});
      assert.deepEqual(await lookUp(host, 'k'), again);
    }
  });

  it('joins concurrent calls on all hosts', async () => {
    create();
    harness.service.faults.latencyMs = 500;
    const calls = [0, 1, 2, 0, 1, 2].map(host => harness.call(host, 'k'));
    await harness.run(5_000);
    assert.ok(calls.every(call => reportedResult(call) === 'answered'));
    const replayed = calls.filter(
      ({outcome}) => outcome?.kind === 'answered' && outcome.replayed,
    );
    assert.equal(replayed.length, calls.length - 1);
  });

  it('refuses a key with another body, also while the first runs', async () => {
    create();
    const first = harness.call(0, 'k');
    const during = harness.call(1, 'k', 5_000, '{"other":1}');
    await harness.run(5_000);
    const after = harness.call(2, 'k', 5_000, '{"other":2}');
    await harness.run(5_000);
    const refused = [first, during].filter(
      ({outcome}) => outcome?.kind === 'failed',
    );
    assert.equal(refused.length, 1);
    for (const call of [...refused, after]) {
      assert.equal(errOf(call).kind, 'key_reused');
      assert.equal(reportedResult(call), 'not_run');
    }
  });

  it('tries another endpoint only if one was not reached', async () => {
    create();
    harness.service.faults.refuse = 1;
    await outcomeOf(harness.call(0, 'refused'));
    assert.deepEqual(harness.service.tried, ['10.0.0.1:80', '10.0.0.2:80']);
    harness.service.faults.crashAfter = 1;
    const crashed = harness.call(0, 'crashed');
    await harness.run(5_000);
    assert.equal(errOf(crashed).kind, 'outcome_unknown');
    assert.equal(harness.service.tried.length, 3);
  });

  it('records a call that reached no endpoint, and runs its key later', async () => {
    create();
    harness.service.faults.refuse = 2;
    const first = harness.call(0, 'k');
    await harness.run(5_000);
    assert.equal(reportedResult(first), 'not_run');
    const found = await lookUp(1, 'k');
    assert.ok(found.kind === 'failed' && found.err.ran === 'not_run');
    const again = await outcomeOf(harness.call(1, 'k'));
    assert.ok(again.kind === 'answered' && !again.replayed);
  });

  it('does not report not_run from a record that may be stale', async () => {
    create();
    const owner = harness.owner('k');
    harness.service.faults.refuse = 2;
    await outcomeOf(harness.call(owner, 'k'));
    harness.net.isolated.add(harness.hosts[owner]);
    const other = (owner + 1) % HOSTS;
    harness.markDead(owner);
    await outcomeOf(harness.call(other, 'k'));
    assert.equal(harness.service.runs.get('k'), 1);
    const stale = await lookUp(owner, 'k');
    assert.ok(stale.kind === 'failed' && stale.err.ran !== 'not_run');
  });

  it('reports that a call with a large answer ran, without the body', async () => {
    create();
    for (const [key, bytes] of [
      ['kept', 16 * 1024],
      ['large', 16 * 1024 + 1],
    ] as const) {
      harness.service.faults.answerBytes = bytes;
      await outcomeOf(harness.call(0, key));
    }
    const kept = await lookUp(1, 'kept');
    assert.ok(
      kept.kind === 'answered' && kept.answer.body.length === 16 * 1024,
    );
    const large = await outcomeOf(harness.call(1, 'large'));
    assert.ok(large.kind === 'failed' && large.err.ran === 'ran');
  });

  it('reports that the call of a key without a record may have run', async () => {
    create();
    const found = await lookUp(0, 'absent');
    assert.ok(found.kind === 'failed' && found.err.kind === 'not_found');
    assert.equal(found.err.ran, 'unknown');
  });

  for (const key of ['', 'x'.repeat(256)])
    it(`refuses a key of ${key.length} characters`, async () => {
      create();
      const call = harness.call(0, key);
      await harness.run(100);
      assert.equal(errOf(call).kind, 'invalid_request');
    });

  it('settles an unknown outcome by the report of the former owner', async () => {
    create();
    const owner = harness.owner('k');
    const other = (owner + 1) % HOSTS;
    harness.service.faults.latencyMs = 4_000;
    await outcomeOf(harness.call(owner, 'warm'));
    const slow = harness.call(owner, 'k', 9_000);
    await harness.run(300);
    harness.net.isolated.add(harness.hosts[owner]);
    harness.markDead(owner);
    const early = harness.call(other, 'k', 1_000);
    await harness.run(1_500);
    assert.equal(reportedResult(early), 'unknown');
    await harness.run(5_000);
    assert.equal(reportedResult(slow), 'answered');
    harness.net.isolated.clear();
    await harness.run(10_000);
    const settled = await lookUp(other, 'k');
    assert.ok(settled.kind === 'answered', JSON.stringify(settled));
    assert.equal(harness.ledger(owner).status().lateReports, 0);
  });

  it('leaves a partition with its owner when one link is broken', async () => {
    create();
    const owner = harness.owner('k');
    const [near, far] = [(owner + 1) % HOSTS, (owner + 2) % HOSTS];
    harness.net.broken.add(`${harness.hosts[far]} ${harness.hosts[owner]}`);
    for (let n = 0; n < 20; n++) {
      harness.call(n % 2 === 0 ? far : near, `k${n}`);
      await harness.run(200);
    }
    await harness.run(5_000);
    assert.ok(harness.sent.every(call => reportedResult(call) === 'answered'));
    const terms = harness.hosts.flatMap((_, host) =>
      harness
        .ledger(host)
        .status()
        .partitions.map(({term}) => term),
    );
    assert.deepEqual(terms, [1, 1]);
  });

  it('waits a bounded time in an outage and reports not_run', async () => {
    create({outageWaitMs: 2_000});
    await outcomeOf(harness.call(0, 'warm'));
    harness.store.faults.outage = true;
    const calls = ['k', 'l', 'm'].map(key => harness.call(0, key, 60_000));
    await harness.run(5_000);
    for (const call of calls) {
      assert.equal(errOf(call).kind, 'platform_unavailable');
      assert.equal(reportedResult(call), 'not_run');
    }
    const warm = await lookUp(0, 'warm');
    assert.equal(
      warm.kind,
      'answered',
      'finished calls are known in an outage',
    );
    harness.store.faults.outage = false;
    await harness.run(60_000);
    assert.equal(harness.service.runs.size, 1);
    assert.equal((await outcomeOf(harness.call(0, 'k'))).kind, 'answered');
  });

  it('hands over its partitions at a planned stop without interrupting a call', async () => {
    create();
    const owner = harness.owner('k');
    const other = (owner + 1) % HOSTS;
    harness.service.faults.latencyMs = 3_000;
    const slow = harness.call(other, 'k', 9_000);
    await harness.run(500);
    await harness.runUntilSettled(harness.ledger(owner).handover());
    assert.equal(reportedResult(slow), 'answered');
    assert.deepEqual(harness.ledger(owner).status().partitions, []);
    harness.service.faults.latencyMs = 5;
    const after = harness.call(other, 'after');
    assert.equal((await outcomeOf(after)).kind, 'answered');
    const replay = await outcomeOf(harness.call(other, 'k'));
    assert.ok(replay.kind === 'answered' && replay.replayed);
  });

  it('shares commits among calls and stays within its write budget', async () => {
    create({writesPerSecond: 4}, 1);
    for (let n = 0; n < 500; n++) {
      harness.call(0, `k${n}`);
      await harness.run(20);
    }
    await harness.run(5_000);
    assert.ok(harness.sent.every(call => reportedResult(call) === 'answered'));
    const allowed = 4 * 15 + 2;
    assert.ok(
      harness.store.writes() <= allowed,
      `${harness.store.writes()} writes`,
    );
  });

  it('resolves lost platform responses without losing a partition', async () => {
    create({}, 1);
    await outcomeOf(harness.call(0, 'warm'));
    for (const fault of ['loseAnswers', 'loseWrites', 'delayWrites'] as const) {
      harness.store.faults[fault] = 2;
      assert.equal((await outcomeOf(harness.call(0, fault))).kind, 'answered');
    }
    const {partitions} = harness.ledger(0).status();
    for (const {term} of partitions) assert.equal(term, 1);
  });

  it('does not run a call recorded as not_run when the same call arrives again', async () => {
    create();
    const owner = harness.owner('k');
    harness.service.faults.refuse = 2;
    harness.net.loseResponses = 1;
    harness.call((owner + 1) % HOSTS, 'k');
    await harness.run(300);
    const found = await lookUp(owner, 'k');
    assert.ok(found.kind === 'failed' && found.err.ran === 'not_run');
    // The caller's host now repeats the call at the next owner.
    harness.markDead(owner);
    await harness.run(10_000);
    assert.equal(harness.service.runs.get('k') ?? 0, 0);
  });

  it('seals finished calls before an object grows large, and replays them', async () => {
    const maxObjectBytes = 30_000;
    create({sealBytes: 15_000, maxObjectBytes}, 1);
    harness.service.faults.answerBytes = 2_000;
    for (let n = 0; n < 60; n++) {
      harness.call(0, `k${n}`, 20_000);
      if (n % 10 === 9) await harness.run(1_000);
    }
    await harness.run(20_000);
    assert.ok(harness.sent.every(call => reportedResult(call) === 'answered'));
    const largest = harness.store.largestBytes();
    assert.ok(largest <= maxObjectBytes * 1.05, `object of ${largest} bytes`);
    const {partitions} = harness.ledger(0).status();
    assert.ok(partitions.some(({segments}) => segments > 0));
    // A new owner finds the sealed calls too.
    harness.kill(0);
    harness.restart(0);
    for (let n = 0; n < 60; n++) {
      const found = await lookUp(0, `k${n}`);
      assert.ok(found.kind === 'answered', `k${n}: ${JSON.stringify(found)}`);
    }
    const again = await outcomeOf(harness.call(0, 'k0'));
    assert.ok(again.kind === 'answered' && again.replayed);
  });

  it('removes expired keys and their segments', async () => {
    create({sealBytes: 5_000, expiryMs: 60_000}, 1);
    for (let n = 0; n < 60; n++) harness.call(0, `k${n}`);
    await harness.run(5_000);
    for (let n = 0; n < 60; n++) harness.call(0, `later${n}`);
    await harness.run(5_000);
    const segments = () =>
      [...harness.store.objects.keys()].filter(key => key.includes('segment'));
    assert.ok(segments().length > 0);
    await harness.run(60_000);
    for (const key of ['new-1', 'new-2', 'new-3']) harness.call(0, key);
    await harness.run(5_000);
    assert.deepEqual(segments(), []);
    const found = await lookUp(0, 'k0');
    assert.ok(found.kind === 'failed' && found.err.kind === 'not_found');
  });

  it('refuses calls while too many are unfinished, and recovers', async () => {
    create({maxObjectBytes: 10_000, sealBytes: 5_000, commitIntervalMs: 50}, 1);
    harness.service.faults.latencyMs = 2_000;
    for (let n = 0; n < 200; n++) {
      harness.call(0, `k${n}`, 20_000);
      if (n % 10 === 9) await harness.run(100);
    }
    await harness.run(30_000);
    const refused = harness.sent.filter(
      call => reportedResult(call) !== 'answered',
    );
    assert.ok(refused.length > 0);
    for (const call of refused) assert.equal(reportedResult(call), 'not_run');
    assert.ok(harness.store.largestBytes() <= 10_500);
    assert.equal((await outcomeOf(harness.call(0, 'after'))).kind, 'answered');
  });
});
