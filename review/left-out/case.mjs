// The host that holds the lease gets SIGTERM while the store is silent.
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

const GRACE_MS = 8_000;
const TIMEOUT_MS = 5_200;
const WORK_MS = 5_000;
/** Requests are sent later than 3 s after the SIGTERM. */
const FIRST_SENT_MS = 3_100;
const SEND_INTERVAL_MS = 50;
const REQUESTS = 10;
/** The store falls silent before the SIGTERM by this. */
const SILENT_BEFORE_MS = 300;

await runCase(import.meta.dirname, async ({record, cleanups, withTrouble}) => {
  const store = await startStore();
  cleanups.push(() => store.close());
  const ran = new Map();
  const replica = await startReplica({
    store,
    service: 'ledger-app',
    zone: 'gb-a',
    record,
    run(req, res, {requestId}) {
      ran.set(requestId, now());
      setTimeout(() => {
        res.writeHead(200, {...seal(), 'x-attempt-id': requestId});
        res.end('booked');
      }, WORK_MS);
    },
  });
  cleanups.push(() => replica.close());
  store.write(
    'config',
    'main',
    configOf({
      routes: [
        {
          name: 'r-export',
          host: 'ficu95.example',
          pathPrefix: '/puxa403/',
          kind: 'non_idempotent',
          timeoutMs: TIMEOUT_MS,
          goalMs: TIMEOUT_MS,
          priority: 2,
          service: 'ledger-app',
          maxAttempts: 1,
          public: true,
        },
      ],
      services: ['ledger-app'],
      tenants: [
        {name: 'hule930', apiKeys: ['n2ctnfzs989anu6wsjnb'], priority: 1},
      ],
    }),
  );
  const host = await startHost({
    name: 'edge-gb-a-1',
    store,
    bounds: {graceS: GRACE_MS / 1_000},
  });
  cleanups.push(() => host.stop());
  await waitReady(host);
  for (let tries = 0; store.list('orders').length === 0; tries++) {
    if (tries > 50) throw new Error('the host has not taken the lease');
    await pause(100);
  }
  record(`the lease is held: ${JSON.stringify(store.list('orders')[0].spec)}`);
  await pause(2_000);

  if (withTrouble) {
    store.setMode('silent');
    record('the store is silent');
  }
  await pause(SILENT_BEFORE_MS);
  const termAtMs = now();
  const sinceTermMs = () => Math.round(now() - termAtMs);
  host.child.kill('SIGTERM');
  record('SIGTERM');
  // The platform ends the process after the grace period.
  setTimeout(() => {
    if (host.ended !== undefined) return;
    host.child.kill('SIGKILL');
    record(`SIGKILL ${sinceTermMs()} ms after the SIGTERM`);
  }, GRACE_MS);

  async function call(index) {
    await pause(FIRST_SENT_MS + index * SEND_INTERVAL_MS - sinceTermMs());
    const connection = openConnection(host.front);
    const id = newId();
    const sentMs = sinceTermMs();
    connection.write(
      headOf({
        method: 'POST',
        path: '/puxa403/2f',
        host: 'ficu95.example',
        headers: {
          'X-Attempt-Id': id,
          'X-Deadline-Ms': TIMEOUT_MS,
          'Content-Length': 0,
        },
      }),
    );
    const answer = await connection.answer(TIMEOUT_MS + 2_000);
    connection.close();
    const endedMs = sinceTermMs();
    const ending = answer?.status ?? 'connection closed without an answer';
    const isPassedOn = ran.has(id);
    record(
      `caller ${id}: sent at ${sentMs} ms, ${isPassedOn ? '' : 'not '}passed on, ` +
        `${ending} at ${endedMs} ms`,
    );
    // Neither the deadline nor the route's timeout was reached.
    return (
      isPassedOn && answer === undefined && endedMs - sentMs < TIMEOUT_MS - 50
    );
  }

  const results = await Promise.all(
    Array.from({length: REQUESTS}, (_, index) => call(index)),
  );
  const lost = results.filter(isLost => isLost).length;
  record(`${REQUESTS} requests, ${lost} lost`);
  return lost > 0;
});
