/**
 * Books with the same keys through all hosts while hosts and the platform fail.
 * Guards against a booking that runs twice, and against one that is reported as
 * `not_run` although it ran (I3, I4).
 */
import {
  applyDemoLists,
  bookSlot,
  startCluster,
  until,
  untilReady,
  type BookingResult,
  type Cluster,
} from '@chivewick/system';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

const SHARED_KEY_COUNT = 40;
const ONCE_PREFIX = 'once-';
const LOAD_MS = 4_000;
const CALLS_PER_HOST = 6;

const cases: ReadonlyArray<{
  name: string;
  fault: (cluster: Cluster) => Promise<unknown>;
  /** Whether the fault must cause some calls to be reported as `not_run`. */
  expectsNotRun?: boolean;
}> = [
  {name: 'nothing fails', fault: async () => {}},
  {
    name: 'a host is killed',
    fault: async ({hosts}) => {
      await sleep(1_000);
      hosts[1].kill('SIGKILL');
    },
  },
  {
    // Longer than the time after which the other hosts acquire its partitions.
    name: 'a host is frozen until its ownership expires, then resumed',
    fault: async ({hosts}) => {
      await sleep(500);
      hosts[1].kill('SIGSTOP');
      await sleep(8_000);
      hosts[1].kill('SIGCONT');
    },
  },
  {
    name: 'the object API loses responses',
    fault: async cluster => {
      for (let round = 0; round < 10; round++) {
        await sleep(250);
        await cluster.setPlatformFaults({loseAnswers: 3, loseWrites: 2});
      }
    },
  },
  {
    name: 'the object API is down for 2 s',
    fault: async cluster => {
      await sleep(500);
      await cluster.setPlatformFaults({outage: true});
      await sleep(2_000);
      await cluster.setPlatformFaults({outage: false});
    },
  },
  {
    // Longer than the 5 s for which a call waits for the platform.
    name: 'the object API is down for 7 s',
    fault: async cluster => {
      await until('bookings ran', async () => {
        const runs = await cluster.runs();
        return Object.keys(runs).length > 0;
      });
      await cluster.setPlatformFaults({outage: true});
      await sleep(7_000);
      await cluster.setPlatformFaults({outage: false});
    },
    expectsNotRun: true,
  },
  {
    name: 'a host is killed while the object API loses responses',
    fault: async cluster => {
      await cluster.setPlatformFaults({loseAnswers: 5});
      await sleep(1_000);
      cluster.hosts[2].kill('SIGKILL');
      await cluster.setPlatformFaults({loseAnswers: 5});
    },
  },
];

describe('bookings during failures', {concurrency: 2}, () => {
  for (const {name, fault, expectsNotRun = false} of cases) {
    it(`runs each key at most once: ${name}`, async () => {
      const cluster = await startCluster({hosts: 3, engines: []});
      try {
        await applyDemoLists(cluster, {models: []});
        const [responses] = await Promise.all([
          generateLoad(cluster),
          fault(cluster),
        ]);
        await cluster.setPlatformFaults({loseAnswers: 0, loseWrites: 0});
        await untilReady(cluster.hosts.filter(h => h.running.alive()));
        // Time for a resumed host to send or drop the calls that it held.
        await sleep(1_000);
        checkRuns(responses, await cluster.runs(), expectsNotRun);
      } finally {
        await cluster.close();
      }
    });
  }
});

/**
 * Books through every host, alternating between a key that all hosts use many
 * times and a key that is used once. The response to a key that is used once must
 * agree with the number of its runs.
 */
async function generateLoad({
  hosts,
}: Cluster): Promise<Map<string, BookingResult[]>> {
  const responses = new Map<string, BookingResult[]>();
  const deadline = performance.now() + LOAD_MS;
  let callCount = 0;
  async function callRepeatedly(callers: string, first: number): Promise<void> {
    for (let at = first; performance.now() < deadline; at += CALLS_PER_HOST) {
      // New keys are added slowly, so that faults affect calls of all ages.
      const keyCount = Math.min(
        SHARED_KEY_COUNT,
        1 + Math.floor(callCount++ / 10),
      );
      const key =
        callCount % 2 === 0
          ? `booking-${at % keyCount}`
          : `${ONCE_PREFIX}${callCount}`;
      const response = await bookSlot(callers, key, {key});
      responses.set(key, [...(responses.get(key) ?? []), response]);
      if (response.status === 0) await sleep(50);
    }
  }
  await Promise.all(
    hosts.flatMap(({callers}) =>
      Array.from({length: CALLS_PER_HOST}, (_, at) =>
        callRepeatedly(callers, at),
      ),
    ),
  );
  return responses;
}

function checkRuns(
  responses: ReadonlyMap<string, readonly BookingResult[]>,
  runs: Readonly<Record<string, number>>,
  expectsNotRun: boolean,
): void {
  let notRunCount = 0;
  const counts = Object.values(runs);
  assert.ok(counts.length > 0, 'bookings ran');
  assert.deepEqual(
    Object.entries(runs).filter(([, count]) => count > 1),
    [],
    'keys that ran more than once',
  );
  for (const [key, results] of responses) {
    const booked = results.filter(({status}) => status === 201);
    const bodies = new Set(booked.map(({body}) => body));
    assert.ok(bodies.size <= 1, `${key} has responses ${[...bodies].join()}`);
    const ran = countRuns(runs, key);
    if (booked.length > 0) assert.equal(ran, 1, `${key} was booked`);
    // A shared key that one call did not run may have been run by a later call.
    const [only] = results;
    if (key.startsWith(ONCE_PREFIX) && only.ran === 'not_run') {
      notRunCount++;
      assert.equal(ran, 0, `${key} ran: ${only.body}`);
    }
  }
  assert.ok(
    !expectsNotRun || notRunCount > 0,
    'some calls were reported as not_run',
  );
}

function countRuns(
  runs: Readonly<Record<string, number>>,
  key: string,
): number {
  const found = Object.entries(runs).filter(
    ([name]) => name === key || name.endsWith(`/${key}`),
  );
  return found.reduce((sum, [, count]) => sum + count, 0);
}
