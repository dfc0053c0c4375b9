import {Buffer} from 'node:buffer';
import {configOf, route} from '../stand-ins/config.mjs';
import {send} from '../stand-ins/client.mjs';
import {createEngine, ENGINE} from '../stand-ins/engine.mjs';
import {createMachine} from '../stand-ins/host.mjs';
import {createRecord, pause} from '../stand-ins/record.mjs';
import {answerHead, createReplica} from '../stand-ins/replica.mjs';
import {startStore} from '../stand-ins/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'ficu95.example';
const KEY = 'n2ctnfzs989anu6wsjnb';
const PLAIN = 'wuno96b';
const MODEL = 'huvo11a';
const ZONES = ['zone-a', 'zone-b'];
const HALVES = ['first half of the schedule;', 'second half of the schedule.'];
const EVENTS = 60;
const EVENT_MS = 40;
const record = createRecord(new URL('./', import.meta.url));
const broken = [];
const machines = [];
let store;
/** Time between the halves of an answer of the plain service. */
let halfMs = 1_000;
/** Called when the first part of an answer has been sent. */
let begun = () => {};

/** An answer without a length: it ends with its connection. */
async function answerPlain(req, socket) {
  record.add(`replica runs ${req.attempt}`);
  socket.write(answerHead(req, ['Connection: close']) + HALVES[0]);
  begun();
  await pause(halfMs);
  if (socket.destroyed) {
    record.add(`replica: the connection of ${req.attempt} is gone`);
    return;
  }
  socket.end(HALVES[1]);
  record.add(`replica has sent the whole answer to ${req.attempt}`);
}

const event = id => `id: ${id}\ndata: piece ${id}\n\n`;

/** A stream without a length; it goes on after `Last-Event-Id`. */
async function answerStream(req, socket) {
  const since = Number(req.headers['last-event-id'] ?? 0);
  record.add(`replica runs ${req.attempt} from event ${since + 1}`);
  const fields = ['Content-Type: text/event-stream', 'Connection: close'];
  socket.write(answerHead(req, fields));
  for (let id = since + 1; id <= EVENTS; id++) {
    if (socket.destroyed) {
      record.add(`replica: the connection of ${req.attempt} is gone`);
      return;
    }
    socket.write(event(id));
    if (id === 10) begun();
    await pause(EVENT_MS);
  }
  socket.end();
  record.add(`replica has sent all ${EVENTS} events to ${req.attempt}`);
}

const WHOLE = {
  plain: HALVES.join(''),
  stream: Array.from({length: EVENTS}, (_, index) => event(index + 1)).join(''),
};
const RULE = {
  plain: 'MIXED: a 200 that ends as complete has not the whole body',
  stream: 'ORDER: a stream ends as complete before its last piece',
};

const REQUESTS = {
  plain: {path: '/puxa403/2f', deadlineMs: 19_000},
  stream: {
    path: '/lohu930/2f',
    method: 'POST',
    deadlineMs: 19_000,
    body: Buffer.from('prompt'),
    headers: {
      'x-model': 'daka510000',
      'x-token-usage': '760,180',
      'x-prefix-hash': '5c1e07a2:40,e4402b7d:720',
    },
  },
};

async function ask(machine, kind) {
  const answer = await send({
    port: machine.front,
    host: HOST,
    key: KEY,
    ...REQUESTS[kind],
  });
  const {attempt, status, headers, body, complete, error} = answer;
  const isWhole = body === WHOLE[kind];
  record.add(
    `client got ${attempt}: status ${status}, seal ${headers['x-response-seal']}, ` +
      `${body.length} of ${WHOLE[kind].length} bytes, ` +
      `ended as complete: ${complete}${error === undefined ? '' : `, ${error}`}`,
  );
  if (status === 200 && complete && !isWhole) {
    broken.push(RULE[kind]);
    record.add(`BROKEN: ${RULE[kind]}`);
  }
  return isWhole;
}

/**
 * One request to a machine that is partitioned from the replica, and so goes through
 * `helper`, which gets `signal` while the answer is on its way.
 */
async function round({kind, cut, helper, replica, signal}) {
  record.add(`--- ${kind}, ${signal}`);
  const isBegun = new Promise(resolve => (begun = resolve));
  const seen = cut.lines.length;
  if (TROUBLE) {
    // Both machines have the same IP address here, so the replica refuses connections
    // until the first machine has tried, and the second one is held for that moment.
    replica.refuse();
    helper.signal('SIGSTOP');
    record.add(`${cut.name} is partitioned from the replica`);
  }
  const pending = ask(cut, kind);
  if (TROUBLE) {
    await pause(70);
    await replica.open();
    helper.signal('SIGCONT');
  }
  await Promise.race([isBegun, pause(3_000)]);
  await pause(100);
  if (TROUBLE) {
    const isTunnel = cut.lines
      .slice(seen)
      .some(line => line.includes('connecting through other hosts'));
    if (!isTunnel) throw new Error('the request took the direct way');
    record.add(`${cut.name} connected through ${helper.name}`);
    helper.signal(signal);
    record.add(`${signal} to ${helper.name}`);
  }
  await pending;
  if (!TROUBLE) return;
  await helper.exited();
  helper.start({bootstrap: false});
  if (!(await helper.ready())) throw new Error(`${helper.name} is not back`);
  // The machines find each other again.
  await pause(3_000);
}

async function run() {
  store = await startStore();
  const replica = await createReplica({
    service: PLAIN,
    zone: ZONES[1],
    handle: answerPlain,
  });
  await replica.start();
  store.put('servers', replica.id(), replica.entry());
  const engines = [];
  for (let index = 0; index < 4; index++) {
    const engine = await createEngine({
      service: MODEL,
      zone: ZONES[1],
      store,
      stream: answerStream,
    });
    await engine.start();
    engines.push(engine);
  }
  const config = configOf({
    routes: [
      route({service: PLAIN, timeoutMs: 20_000}),
      route({
        name: 'r-2',
        pathPrefix: '/lohu930/',
        kind: 'streaming',
        timeoutMs: 20_000,
        goalMs: 500,
        gapGoalMs: 200,
        priority: 1,
        sticky: true,
        resumable: true,
        service: MODEL,
      }),
    ],
    services: [PLAIN, MODEL],
    tenants: [{name: 'hule930', apiKeys: [KEY], priority: 1}],
  });
  config.services[1].engine = ENGINE;
  store.put('config', 'main', config);
  for (const zone of ZONES) {
    const machine = await createMachine({
      name: `edge-${zone}-1`,
      zone,
      zones: ZONES,
      storeAddress: store.address,
    });
    machines.push(machine);
    machine.start();
  }
  const [cut, helper] = machines;
  for (const machine of machines) if (!(await machine.ready())) return 2;
  // The machines have found each other in the store, and the layers are placed.
  await pause(6_000);
  const first = engines.find(engine => engine.layers()?.from === 0);
  if (first === undefined) throw new Error('no engine holds layer 0');

  if (!(await ask(cut, 'plain')) || !(await ask(cut, 'stream'))) return 2;
  const both = {cut, helper};
  await round({...both, kind: 'plain', replica, signal: 'SIGKILL'});
  await round({...both, kind: 'stream', replica: first, signal: 'SIGKILL'});
  halfMs = 12_000;
  await round({...both, kind: 'plain', replica, signal: 'SIGTERM'});
  return broken.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (err) {
  record.add(`cannot run: ${err.stack}`);
} finally {
  await Promise.all(machines.map(machine => machine.end()));
  store?.close();
}
record.add(`exit ${code}`);
record.write();
process.exit(code);
