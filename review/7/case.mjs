// The configuration grows by many routes, and then changes in quick succession.
import {setTimeout} from 'node:timers';
import {
  configOf,
  headOf,
  newId,
  now,
  openConnection,
  pause,
  runCase,
  seal,
  startHost,
  startReplica,
  startStore,
  waitReady,
} from '../harness-2/lab.mjs';

/** `big_config`: 460 routes more each time; eight times. */
const GROWTHS = 8;
const ROUTES_MORE = 460;
/** `config_storm`: a change each 0.06 s for 1.5 s; another one 0.3 s later. */
const STORM_VERSIONS = 25;
const VERSION_INTERVAL_MS = 60;
const STORM_PAUSE_MS = 300;
const STORMS = 35;
/** Time of calm with the same callers, before the first growth. */
const CALM_MS = 6_000;
/** Requests of each host; a run takes a third of a second. */
const CALL_INTERVAL_MS = 50;
const WORK_MS = 300;
const DEADLINE_MS = 2_500;
/** Ends of processes after which the case is over. */
const MAX_ENDS = 2;
const KEY = 'n2ctnfzs989anu6wsjnb';
/** The store takes objects up to this size (`valueBytes`). */
const VALUE_BYTES = 1_048_576;

function routeOf(index, version) {
  return {
    name: `r-${(index + 46_656).toString(36)}`,
    host: 'ficu95.example',
    pathPrefix: index === 0 ? '/cufi504/' : `/lohu${index}/`,
    kind: 'non_idempotent',
    // What a version changes.
    timeoutMs: 2_500 + (version % 50),
    goalMs: 200,
    priority: 2,
    service: 'ledger-app',
    maxAttempts: 1,
    public: false,
  };
}

await runCase(import.meta.dirname, async ({record, cleanups, withTrouble}) => {
  const store = await startStore();
  cleanups.push(() => store.close());
  const ran = new Set();
  const replica = await startReplica({
    store,
    service: 'ledger-app',
    zone: 'gb-a',
    record: () => {},
    run(req, res, {requestId}) {
      ran.add(requestId);
      setTimeout(() => {
        res.writeHead(200, {...seal(), 'x-attempt-id': requestId});
        res.end('booked');
      }, WORK_MS);
    },
  });
  cleanups.push(() => replica.close());

  let version = 7;
  let routes = 8;
  let versions = 0;
  /** Writes the next version, as the operator does; versions grow in uneven steps. */
  function publish() {
    version += 1 + (version % 3);
    versions += 1;
    const config = configOf({
      version,
      routes: Array.from({length: routes}, (_, index) =>
        routeOf(index, version),
      ),
      services: ['ledger-app'],
      tenants: [{name: 'hule930', apiKeys: [KEY], priority: 1}],
    });
    store.write('config', 'main', config);
    const bytes = JSON.stringify(config).length;
    if (bytes > VALUE_BYTES) throw new Error(`a version has ${bytes} bytes`);
    return bytes;
  }
  publish();

  const hosts = [];
  for (const name of ['edge-gb-a-1', 'edge-gb-a-2']) {
    const host = await startHost({
      name,
      store,
      isRestarted: true,
      onEnd({ended, log}) {
        const fatal = log.match(/FATAL ERROR.*/g)?.at(-1) ?? '';
        record(
          `${name} has ended after ${versions} versions: ` +
            `${JSON.stringify(ended)} ${fatal}`,
        );
      },
    });
    hosts.push(host);
    cleanups.push(() => host.stop());
  }
  for (const host of hosts) await waitReady(host);
  await pause(1_000);

  /** Requests by outcome, in calm and while configurations are sent. */
  const counts = {
    calm: {sent: 0, served: 0, cut: 0},
    changes: {sent: 0, served: 0, cut: 0},
  };
  let phase = 'calm';
  let isOver = false;
  const calls = [];

  async function call(host) {
    const count = counts[phase];
    const connection = openConnection(host.front);
    const id = newId();
    const sentAtMs = now();
    connection.write(
      headOf({
        method: 'POST',
        path: '/cufi504/2f',
        host: 'ficu95.example',
        headers: {
          'X-Attempt-Id': id,
          'X-Deadline-Ms': DEADLINE_MS,
          'X-Credential': KEY,
          'Content-Length': 0,
        },
      }),
    );
    const answer = await connection.answer(DEADLINE_MS);
    connection.close();
    count.sent += 1;
    if (answer?.status === 200) count.served += 1;
    // Passed on to a replica, and the connection has ended without a complete answer.
    const isCut = answer === undefined || answer.complete === false;
    if (!isCut || !ran.has(id)) return;
    count.cut += 1;
    record(
      `caller of ${id} at ${host.name}: passed on, connection closed without an ` +
        `answer ${Math.round(now() - sentAtMs)} ms after it was sent`,
    );
  }

  async function sendCalls(host) {
    while (!isOver) {
      if (host.ended === undefined) calls.push(call(host));
      await pause(CALL_INTERVAL_MS);
    }
  }

  const senders = hosts.map(sendCalls);
  await pause(CALM_MS);
  const ends = () => hosts.reduce((sum, host) => sum + host.ends, 0);
  phase = 'changes';
  if (withTrouble) {
    for (let growth = 0; growth < GROWTHS; growth++) {
      routes += ROUTES_MORE;
      const bytes = publish();
      record(`the configuration has ${routes} routes and ${bytes} bytes`);
      await pause(500);
    }
    for (let storm = 0; storm < STORMS && ends() < MAX_ENDS; storm++) {
      for (let count = 0; count < STORM_VERSIONS; count++) {
        publish();
        await pause(VERSION_INTERVAL_MS);
      }
      await pause(STORM_PAUSE_MS);
      record(
        `${versions} versions; ${counts.changes.served} of ` +
          `${counts.changes.sent} requests served`,
      );
    }
  } else await pause(CALM_MS);
  isOver = true;
  await Promise.all(senders);
  await Promise.all(calls);
  for (const {name, ends: ended} of hosts)
    record(`${name} has ended by itself ${ended} times`);
  const {calm, changes} = counts;
  record(
    `calm: ${calm.sent} requests, ${calm.served} served, ${calm.cut} cut; beside ` +
      `configurations: ${changes.sent} requests, ${changes.served} served, ` +
      `${changes.cut} cut`,
  );
  if (calm.cut > 0 || calm.served < calm.sent)
    throw new Error('requests were not served in calm');
  // "only if the machine cuts requests over three times as often then as at other times"
  return changes.cut > 0;
});
