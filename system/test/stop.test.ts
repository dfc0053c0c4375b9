/**
 * Guards against truncated streams and lost or repeated bookings when hosts and
 * endpoints are stopped as planned (I5, I6).
 */
import {
  ADMIN_KEY,
  applyDemoLists,
  bookSlot,
  expectedDraft,
  MODEL,
  postJson,
  readJson,
  startCluster,
  streamDraft,
  until,
  type BookingResult,
  type Cluster,
  type Host,
  type StreamResult,
} from '@chivewick/system';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

const TOKENS = 120;
/** Tokens of a stream during the rolling restart; it lasts longer than UNREADY_MS. */
const RESTART_TOKENS = 90;
/** Time between "not ready" and the closing of the listeners. */
const UNREADY_MS = 500;

function checkStream(result: StreamResult, prompt: string, tokens: number) {
  const {complete, failed, refusal, text} = result;
  assert.deepEqual(
    {complete, failed, refusal, text},
    {
      complete: true,
      failed: undefined,
      refusal: '',
      text: expectedDraft(prompt, tokens),
    },
  );
}

describe('a stopping host', () => {
  it('completes streams and bookings, whatever the number of signals', async () => {
    const cluster = await startCluster({hosts: 2});
    try {
      await applyDemoLists(cluster);
      const [host] = cluster.hosts;
      await postJson(`http://${cluster.service}/faults`, {latencyMs: 1_500});
      const prompts = Array.from({length: 8}, (_, at) => `Rota ${at}.`);
      const streams = prompts.map((prompt, at) =>
        streamDraft(host.callers, {
          prompt,
          maxTokens: TOKENS,
          onToken(count) {
            if (at === 0 && [10, 20, 80].includes(count)) host.kill('SIGTERM');
          },
        }),
      );
      const bookings = prompts.map((_, at) =>
        bookSlot(host.callers, `stop-${at}`, {at}),
      );
      const results = await Promise.all(streams);
      results.forEach((result, at) => checkStream(result, prompts[at], TOKENS));
      const booked = await Promise.all(bookings);
      for (const {status, body} of booked) assert.equal(status, 201, body);
      assert.equal(await host.running.exited, 0);
      await checkEachRanOnce(cluster, booked);
    } finally {
      await cluster.close();
    }
  });

  it('truncates and repeats nothing during a rolling restart of all hosts', async () => {
    const cluster = await startCluster({
      hosts: 3,
      settings: {shutdown: {unreadyMs: UNREADY_MS}},
    });
    try {
      await applyDemoLists(cluster);
      const load = startLoad(cluster);
      for (const host of cluster.hosts) {
        await sleep(300);
        host.kill('SIGTERM');
        assert.equal(await host.running.exited, 0, host.running.errors());
        host.restart();
        await until(`${host.name} is ready`, () => host.ready());
      }
      const {streams, bookings} = await load.stop();
      assert.ok(streams.length > 0 && bookings.length > 0);
      for (const [prompt, result] of streams)
        checkStream(result, prompt, RESTART_TOKENS);
      for (const {status, body} of bookings) assert.equal(status, 201, body);
      await checkEachRanOnce(cluster, bookings);
    } finally {
      await cluster.close();
    }
  });
});

async function checkEachRanOnce(
  cluster: Cluster,
  booked: readonly BookingResult[],
): Promise<void> {
  const counts = Object.values(await cluster.runs());
  assert.equal(counts.length, booked.length, 'each booking ran');
  assert.ok(
    counts.every(count => count === 1),
    'no booking ran twice',
  );
}

/** Sends load to the ready hosts only, as the platform's load balancer does. */
function startLoad({hosts}: Cluster) {
  const streams: Array<readonly [string, StreamResult]> = [];
  const bookings: BookingResult[] = [];
  let ready: Host[] = [...hosts];
  let running = true;
  let requestCount = 0;
  const nextHost = () => ready[requestCount++ % ready.length];
  async function balance(): Promise<void> {
    while (running) {
      const states = await Promise.all(hosts.map(host => host.ready()));
      ready = hosts.filter((_, at) => states[at]);
      await sleep(100);
    }
  }
  async function draft(caller: number): Promise<void> {
    for (let count = 0; running; count++) {
      const prompt = `Draft ${count} of caller ${caller}.`;
      const {callers} = nextHost();
      const options = {prompt, maxTokens: RESTART_TOKENS};
      streams.push([prompt, await streamDraft(callers, options)]);
    }
  }
  async function book(caller: number): Promise<void> {
    for (let count = 0; running; count++) {
      const key = `roll-${caller}-${count}`;
      bookings.push(await bookSlot(nextHost().callers, key, {key}));
      await sleep(50);
    }
  }
  const tasks = [balance(), ...[0, 1, 2].flatMap(at => [draft(at), book(at)])];
  return {
    async stop() {
      running = false;
      await Promise.all(tasks);
      return {streams, bookings};
    },
  };
}

const LEAVING_LIMIT_MS = 3_000;
const LIST_LAG_MS = 5_000;

describe('a leaving endpoint', () => {
  it('gets no new work after 3 s, although the host list lags by 5 s', async () => {
    const cluster = await startCluster({hosts: 2});
    try {
      await applyDemoLists(cluster);
      const [engine] = cluster.engines;
      // Otherwise the lagging list would show a state from before the cluster was
      // listed.
      await sleep(LIST_LAG_MS);
      await postJson(`http://${cluster.hostList}/faults`, {lagMs: LIST_LAG_MS});
      await engine.setFaults({leaving: true});
      await cluster.markLeaving(engine.id);
      const leftAt = performance.now();
      const lateResults: StreamResult[] = [];
      const lateChoices = new Set<string>();
      let lateSessions = 0;
      // Covers the time during which the host list still reports it as live.
      while (performance.now() - leftAt < LIST_LAG_MS) {
        const [host] = cluster.hosts;
        const isLate = performance.now() - leftAt > LEAVING_LIMIT_MS;
        const prompt = `Draft ${lateResults.length}.`;
        const result = await streamDraft(host.callers, {
          prompt,
          maxTokens: 8,
          onToken: () =>
            void engine.sessions().then(count => {
              if (isLate) lateSessions += count;
            }),
        });
        checkStream(result, prompt, 8);
        if (isLate) lateResults.push(result);
        for (const each of isLate ? cluster.hosts : [])
          for (const id of await chosenEndpoints(each)) lateChoices.add(id);
      }
      assert.ok(lateResults.length > 0);
      assert.equal(lateSessions, 0, 'sessions on the leaving endpoint');
      assert.ok(lateChoices.size > 0);
      assert.equal(
        lateChoices.has(engine.id),
        false,
        'the leaving endpoint is still chosen',
      );
    } finally {
      await cluster.close();
    }
  });
});

/** Returns the endpoints of the route that a host would choose now. */
async function chosenEndpoints({operators}: Host): Promise<string[]> {
  const url = `${operators}/admin/routes/${MODEL.name}`;
  const route = await readJson<ReadonlyArray<{endpoint: string}>>(
    url,
    ADMIN_KEY,
  );
  return (route ?? []).map(({endpoint}) => endpoint);
}
