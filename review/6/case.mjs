// A host is frozen while callers have opened connections and not sent their first request.
import {setTimeout} from 'node:timers';
import {
  configOf,
  headOf,
  newId,
  openConnection,
  pause,
  runCase,
  seal,
  startDelay,
  startHost,
  startReplica,
  startStore,
  waitReady,
} from '../harness-2/lab.mjs';

/** Within the 5 s that `node_freeze` lasts by default; beyond `headerTimeoutMs`. */
const FREEZE_MS = 3_600;
/** Time between a caller's connection and its request; `headerTimeoutMs` is 3,000. */
const THINK_MS = 300;
const CALLERS = 44;
const CALLER_INTERVAL_MS = 25;
const FREEZE_AT_MS = 1_000;
const DEADLINE_MS = 9_000;
/** One way between clients and hosts: 3 ms on the sheet. */
const CLIENT_DELAY_MS = 3;
const PROMISES = [408, 421, 429, 503];
const KEY = 'n2ctnfzs989anu6wsjnb';

await runCase(import.meta.dirname, async ({record, cleanups, withTrouble}) => {
  const store = await startStore();
  cleanups.push(() => store.close());
  /** Bookings by attempt, and runs by booking. */
  const ranAttempts = new Map();
  const ranBookings = new Map();
  for (const zone of ['gb-a', 'gb-b']) {
    const replica = await startReplica({
      store,
      service: 'ledger-app',
      zone,
      record,
      run(req, res, {requestId, body}) {
        const booking = body.toString();
        ranAttempts.set(requestId, booking);
        ranBookings.set(booking, (ranBookings.get(booking) ?? 0) + 1);
        setTimeout(() => {
          res.writeHead(200, {
            ...seal(),
            'x-attempt-id': requestId,
            'content-length': body.length,
          });
          res.end(body);
        }, 43);
      },
    });
    cleanups.push(() => replica.close());
  }
  store.write(
    'config',
    'main',
    configOf({
      routes: [
        {
          name: 'r-bill',
          host: 'ficu95.example',
          pathPrefix: '/puxa403/',
          kind: 'non_idempotent',
          timeoutMs: 10_000,
          goalMs: 200,
          priority: 2,
          service: 'ledger-app',
          maxAttempts: 1,
          public: false,
        },
      ],
      services: ['ledger-app'],
      tenants: [{name: 'hule930', apiKeys: [KEY], priority: 1}],
    }),
  );
  const host = await startHost({name: 'edge-gb-a-1', store});
  cleanups.push(() => host.stop());
  await waitReady(host);
  const link = await startDelay(host.front, CLIENT_DELAY_MS);
  cleanups.push(() => link.close());
  await pause(1_000);

  const falsePromises = [];
  let served = 0;

  /** One client attempt; returns its status, undefined if the connection was closed. */
  async function attempt(booking, thinkMs) {
    const connection = openConnection(link.address);
    await connection.opened;
    await pause(thinkMs);
    const id = newId();
    const sent = connection.write(
      headOf({
        method: 'POST',
        path: '/puxa403/2f',
        host: 'ficu95.example',
        headers: {
          'X-Attempt-Id': id,
          'X-Deadline-Ms': DEADLINE_MS,
          'X-Credential': KEY,
          'Content-Length': booking.length,
        },
      }) + booking,
    );
    record(`caller sends ${id} (${booking}) ${sent ? '' : 'buffered'}`);
    const answer = await connection.answer(DEADLINE_MS);
    connection.close();
    record(`caller gets ${id}: ${answer?.status ?? 'closed'} ${answer?.body}`);
    return {id, status: answer?.status};
  }

  async function book(index) {
    const booking = `booking-${index}`;
    const first = await attempt(booking, THINK_MS);
    if (first.status === 200) served += 1;
    if (!PROMISES.includes(first.status)) return;
    // Clients repeat an unsafe request after a promise that it has not run.
    await attempt(booking, 0);
    falsePromises.push(first);
  }

  const bookings = [];
  if (withTrouble)
    setTimeout(() => {
      host.child.kill('SIGSTOP');
      record('the host is frozen');
      setTimeout(() => {
        host.child.kill('SIGCONT');
        record('the host wakes');
      }, FREEZE_MS);
    }, FREEZE_AT_MS);
  for (let index = 0; index < CALLERS; index++) {
    bookings.push(book(index));
    await pause(CALLER_INTERVAL_MS);
  }
  await Promise.all(bookings);
  await pause(500);

  const broken = falsePromises.filter(({id}) => ranAttempts.has(id));
  const twice = [...ranBookings.values()].filter(runs => runs > 1).length;
  record(
    `${CALLERS} bookings: ${served} served at once, ${falsePromises.length} first ` +
      `attempts answered 408, 421, 429 or 503, ${broken.length} of these have run, ` +
      `${twice} bookings have run twice`,
  );
  if (!withTrouble && served < CALLERS)
    throw new Error('requests were not served without the disruption');
  return broken.length > 0;
});
