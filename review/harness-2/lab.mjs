// Stand-ins for the review's scripts: the platform's store, plain replicas and callers, as
// PROTOCOL.md describes them, and the start of hosts with the command of the deploy file.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, get} from 'node:http';
import {connect, createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';

export const REPOSITORY = resolve(import.meta.dirname, '../..');
export const pause = ms => new Promise(done => setTimeout(done, ms));
export const now = () => performance.now();

/** Writes `record.txt` in the folder of a case; times are seconds from its start. */
export function openRecord(folder) {
  const path = join(folder, 'record.txt');
  writeFileSync(path, '');
  const startMs = now();
  return text =>
    appendFileSync(path, `${((now() - startMs) / 1000).toFixed(3)} ${text}\n`);
}

function isFree(port) {
  return new Promise(done => {
    const server = createNetServer();
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}

let lastPort = 20_000 + Math.floor(Math.random() * 8_000);

/** Returns the first of `count` consecutive free ports. */
export async function freePorts(count) {
  for (;;) {
    const first = lastPort + 1;
    lastPort += count;
    if (lastPort > 32_000) lastPort = 20_000;
    let areFree = true;
    for (let port = first; port < first + count; port++)
      areFree &&= await isFree(port);
    if (areFree) return first;
  }
}

/** The platform's store: objects with a revision, lists, watches and conditions. */
export async function startStore() {
  const kinds = new Map();
  const history = [];
  const waiting = new Set();
  let rev = 100;
  /** `normal`, or `silent`: calls are neither carried out nor answered. */
  let mode = 'normal';

  const kindOf = kind => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const send = (res, status, body) => {
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  };
  const changed = (kind, object, deleted) => {
    history.push({
      rev,
      kind,
      event: {object, deleted},
    });
    for (const wake of [...waiting]) wake();
  };
  function write(kind, name, spec, {status = null, finalizers = []} = {}) {
    const known = kindOf(kind).get(name);
    rev += 1;
    const created = known?.metadata.created ?? rev;
    const object = {
      metadata: {name, rev, created, finalizers, deleting: false},
      spec,
      status: known?.status ?? status,
    };
    kindOf(kind).set(name, object);
    changed(kind, object, false);
    return object;
  }
  function remove(kind, name) {
    const object = kindOf(kind).get(name);
    if (object === undefined) return;
    kindOf(kind).delete(name);
    rev += 1;
    changed(kind, {...object, metadata: {...object.metadata, rev}}, true);
  }

  function watch(req, res, kind, query) {
    const since = Number(query.get('watch'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    const events = () =>
      history
        .filter(item => item.kind === kind && item.rev > since)
        .map(item => item.event);
    const finish = () => {
      clearTimeout(timer);
      waiting.delete(wake);
      if (mode === 'silent' || res.destroyed) return;
      send(res, 200, {events: events(), asOf: rev});
    };
    const wake = () => {
      if (events().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    waiting.add(wake);
    res.once('close', () => {
      clearTimeout(timer);
      waiting.delete(wake);
    });
    wake();
  }

  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      if (mode === 'silent') return;
      const url = new URL(req.url, 'http://store');
      const [, , , kind, name, sub] = url.pathname
        .split('/')
        .map(decodeURIComponent);
      const text = Buffer.concat(chunks).toString();
      const body = text === '' ? undefined : JSON.parse(text);
      const query = url.searchParams;
      const objects = kindOf(kind);
      if (req.method === 'GET' && name === undefined) {
        if (query.has('watch')) return watch(req, res, kind, query);
        const after = query.get('after') ?? '';
        const items = [...objects.values()]
          .filter(object => object.metadata.name > after)
          .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
        return send(res, 200, {items, hasMore: false, asOf: rev});
      }
      const target = name ?? body?.metadata?.name;
      const known = objects.get(target);
      if (req.method === 'POST') {
        if (known !== undefined) return send(res, 409, known);
        return send(res, 201, write(kind, target, body.spec));
      }
      if (known === undefined) return send(res, 404, {});
      if (req.method === 'GET') return send(res, 200, known);
      const expected = body?.metadata?.rev ?? query.get('rev') ?? undefined;
      if (expected !== undefined && Number(expected) !== known.metadata.rev)
        return send(res, 409, known);
      if (req.method === 'PUT' && sub === undefined)
        return send(res, 200, write(kind, target, body.spec));
      if (req.method === 'DELETE') remove(kind, target);
      return send(res, 200, known);
    });
  });
  server.keepAliveTimeout = 60_000;
  const port = await freePorts(1);
  await new Promise(done => server.listen(port, '127.0.0.1', done));
  return {
    address: `127.0.0.1:${port}`,
    write,
    remove,
    get: (kind, name) => kindOf(kind).get(name),
    list: kind => [...kindOf(kind).values()],
    setMode(next) {
      mode = next;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/**
 * A replica of a plain service: one request at a time on a connection, 421 for requests
 * meant for another replica. `run` answers a request whose body has been read.
 */
export async function startReplica({store, service, zone, run, record, id}) {
  const name = id ?? `i-${randomBytes(4).toString('hex')}`;
  const port = await freePorts(1);
  const address = `127.0.0.1:${port}`;
  const born = Date.now();
  const sockets = new Set();
  const server = createServer((req, res) => {
    const target = req.headers['x-target-instance'];
    const requestId = req.headers['x-attempt-id'];
    if (target !== undefined && target !== name) {
      res.writeHead(421, {'x-instance-id': name});
      return void res.end();
    }
    if (req.url === '/healthz') {
      res.writeHead(200, {'x-instance-id': name});
      return void res.end();
    }
    if (requestId === undefined) {
      res.writeHead(400, {'x-not-executed': '1'});
      return void res.end();
    }
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      record(`replica ${name} runs ${req.method} ${req.url} ${requestId}`);
      run(req, res, {requestId, body: Buffer.concat(chunks), name});
    });
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise(done => server.listen(port, '127.0.0.1', done));
  let seq = 1;
  let state = 'ready';
  const beat = () =>
    store.write('servers', name, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 100,
      state,
      coldLeftMs: 0,
      seq: seq++,
      born,
    });
  beat();
  const timer = setInterval(beat, 1_200);
  return {
    id: name,
    address,
    server,
    sockets,
    drain() {
      state = 'draining';
      beat();
    },
    close() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}

export const seal = () => ({
  'x-response-seal': `3e1b.07.5a2.600.0.${randomBytes(4).toString('hex')}`,
});

/** Passes connections on to an address, with a delay in each direction. */
export async function startDelay(address, delayMs) {
  const [host, port] = address.split(':');
  const later = action => setTimeout(action, delayMs);
  const pass = (from, to) => {
    from.on('data', chunk => later(() => to.destroyed || to.write(chunk)));
    from.on('end', () => later(() => to.destroyed || to.end()));
    from.on('error', () => later(() => to.resetAndDestroy()));
  };
  const sockets = new Set();
  const server = createNetServer(
    {allowHalfOpen: true, noDelay: true},
    client => {
      const target = connect({
        host,
        port: Number(port),
        allowHalfOpen: true,
        noDelay: true,
      });
      for (const socket of [client, target]) {
        sockets.add(socket);
        socket.once('close', () => sockets.delete(socket));
      }
      pass(client, target);
      pass(target, client);
    },
  );
  const own = await freePorts(1);
  await new Promise(done => server.listen(own, '127.0.0.1', done));
  return {
    address: `127.0.0.1:${own}`,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** A configuration in the form of PROTOCOL.md. */
export function configOf({version = 7, routes, services, tenants, limits}) {
  return {
    version,
    routes,
    services: services.map(name => ({
      name,
      healthPath: '/healthz',
      maxConns: 110,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      ...limits,
    },
    ...(tenants === undefined ? {} : {tenants}),
  };
}

/** The platform starts a process that has ended again after a short delay. */
const RESTART_MS = 500;

/**
 * Starts a host with the command of the deploy file. `isRestarted` makes it start again
 * after an end, which `onEnd` is told.
 */
export async function startHost({
  name,
  zone = 'gb-a',
  store,
  bounds = {},
  limits = {},
  isFirstStart = true,
  isRestarted = false,
  onEnd,
}) {
  const deploy = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const [command, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  const front = `127.0.0.1:${await freePorts(1)}`;
  const ready = `127.0.0.1:${await freePorts(1)}`;
  const internal = await freePorts(4);
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const settings = join(folder, 'settings.toml');
  const allBounds = {
    seedLagS: 3,
    addrReuseS: 2,
    contactMs: 3000,
    ackMs: 4000,
    catchUpS: 4,
    drainMs: 2000,
    graceS: 8,
    lossSlackMs: 200,
    configApplyMs: 2000,
    rollbackSlackMs: 250,
    outerMs: 5000,
    strictRevoke: true,
    revokeMs: 5000,
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    budgetExtra: 200,
    recoverS: 12,
    passMs: 120,
    retryAfterS: 0,
    stall_ms: 3000,
    requireFence: true,
    ...bounds,
  };
  const allLimits = {
    cpuShare: 0.675,
    cores: 1,
    memoryMb: 350,
    maxFds: 4100,
    linkMbps: '1000.0',
    diskMb: 0,
    ...limits,
  };
  const table = values =>
    Object.entries(values)
      .map(([key, value]) => `${key} = ${value}`)
      .join('\n');
  writeFileSync(
    settings,
    `node = "${name}"
role = "host"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "${zone}"
region = "gyeongbuk"
internalPorts = [${internal},${internal + 3}]
seeds = []
bootstrap = ${isFirstStart}
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
gb-a = "gyeongbuk"
gb-b = "gyeongbuk"
[listen]
front = "${front}"
ready = "${ready}"
[limits]
${table(allLimits)}
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
${table(allBounds)}
[platform]
address = "${store.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`,
  );
  let isStopped = false;
  const host = {
    name,
    child: undefined,
    front,
    ready,
    internal,
    settings,
    log: '',
    /** How the last process ended; undefined while it runs. */
    ended: undefined,
    /** Processes that ended so far. */
    ends: 0,
    stop() {
      isStopped = true;
      if (host.ended === undefined) {
        host.child.kill('SIGCONT');
        host.child.kill('SIGKILL');
      }
      rmSync(folder, {recursive: true, force: true});
    },
  };
  function start() {
    const child = spawn(command, args, {
      cwd: REPOSITORY,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CHIVEWICK_CONFIG: settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    host.child = child;
    host.ended = undefined;
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', chunk => (host.log += chunk));
    child.once('exit', (code, signal) => {
      host.ended = {code, signal};
      host.ends += 1;
      onEnd?.(host);
      if (isRestarted && !isStopped)
        setTimeout(() => isStopped || start(), RESTART_MS);
    });
  }
  start();
  return host;
}

export function isReady({ready}) {
  return new Promise(resolve => {
    const req = get(`http://${ready}/-/readyz`, res => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on('error', () => resolve(false));
  });
}

export async function waitReady(host, timeoutMs = 20_000) {
  const untilMs = now() + timeoutMs;
  while (now() < untilMs) {
    if (host.ended !== undefined) break;
    if (await isReady(host)) return;
    await pause(100);
  }
  throw new Error(`host ${host.name} did not become ready: ${host.log}`);
}

export const newId = () => randomBytes(8).toString('hex');

/** The bytes of a request's head. */
export function headOf({method, path, host, headers}) {
  const lines = Object.entries(headers).map(
    ([key, value]) => `${key}: ${value}`,
  );
  return `${[`${method} ${path} HTTP/1.1`, `Host: ${host}`, ...lines].join('\r\n')}\r\n\r\n`;
}

/**
 * A caller's connection. `answer` resolves to the status, headers and body of the next
 * response, with `complete` false if the connection ended before its end, or to undefined
 * if it ended before any byte.
 */
export function openConnection(address) {
  const [ip, port] = address.split(':');
  const socket = connect({host: ip, port: Number(port), noDelay: true});
  let bytes = Buffer.alloc(0);
  let hasEnded = false;
  let wake = () => {};
  socket.on('data', chunk => {
    bytes = Buffer.concat([bytes, chunk]);
    wake();
  });
  const end = () => {
    hasEnded = true;
    wake();
  };
  socket.on('error', end);
  socket.on('end', end);
  socket.on('close', end);
  const opened = new Promise((done, failed) => {
    socket.once('connect', done);
    socket.once('error', failed);
  });
  opened.catch(() => {});

  function take() {
    const headEnd = bytes.indexOf('\r\n\r\n');
    if (headEnd < 0) return undefined;
    const [first, ...lines] = bytes
      .subarray(0, headEnd)
      .toString('latin1')
      .split('\r\n');
    const headers = Object.fromEntries(
      lines.map(line => {
        const colon = line.indexOf(':');
        return [
          line.slice(0, colon).toLowerCase(),
          line.slice(colon + 1).trim(),
        ];
      }),
    );
    const status = Number(first.split(' ')[1]);
    const rest = bytes.subarray(headEnd + 4);
    if (status === 100) {
      bytes = rest;
      return take();
    }
    if (headers['transfer-encoding'] === 'chunked') {
      const parts = [];
      let at = 0;
      for (;;) {
        const lineEnd = rest.indexOf('\r\n', at);
        if (lineEnd < 0) break;
        const size = parseInt(rest.subarray(at, lineEnd).toString(), 16);
        if (rest.length < lineEnd + 2 + size + 2) {
          parts.push(rest.subarray(lineEnd + 2));
          break;
        }
        parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
        at = lineEnd + 2 + size + 2;
        if (size > 0) continue;
        bytes = rest.subarray(at);
        return {status, headers, body: Buffer.concat(parts), complete: true};
      }
      if (!hasEnded) return undefined;
      return {status, headers, body: Buffer.concat(parts), complete: false};
    }
    const length = Number(headers['content-length'] ?? 0);
    if (rest.length >= length) {
      bytes = rest.subarray(length);
      const body = rest.subarray(0, length);
      return {status, headers, body, complete: true};
    }
    return hasEnded
      ? {status, headers, body: rest, complete: false}
      : undefined;
  }

  return {
    socket,
    opened,
    hasEnded: () => hasEnded,
    write: data => socket.write(data),
    async answer(timeoutMs = 30_000) {
      const untilMs = now() + timeoutMs;
      for (;;) {
        const found = take();
        if (found !== undefined) return found;
        if (hasEnded) return undefined;
        const leftMs = untilMs - now();
        if (leftMs <= 0) return {timeout: true};
        await new Promise(done => {
          const timer = setTimeout(done, leftMs);
          wake = () => {
            clearTimeout(timer);
            done();
          };
        });
      }
    },
    close: () => socket.destroy(),
  };
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not
 * run. `act` returns whether the rule was broken; what it adds to `cleanups` is ended.
 */
export async function runCase(folder, act) {
  const record = openRecord(folder);
  const cleanups = [];
  const withTrouble = process.env.TROUBLE !== '0';
  record(withTrouble ? 'with the disruption' : 'without the disruption');
  let code = 2;
  const giveUp = reason => {
    record(`could not run: ${reason}`);
    for (const cleanup of cleanups.reverse()) cleanup();
    process.exit(2);
  };
  const limit = setTimeout(() => giveUp('the case took too long'), 115_000);
  // An error of a stand-in must not look like a broken rule.
  process.on('uncaughtException', err => giveUp(err.stack));
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => giveUp(signal));
  try {
    const isBroken = await act({record, cleanups, withTrouble});
    code = isBroken ? 1 : 0;
    record(isBroken ? 'RULE BROKEN' : 'rule held');
  } catch (err) {
    record(`could not run: ${err.stack}`);
    console.error(err);
  }
  clearTimeout(limit);
  for (const cleanup of cleanups.reverse()) cleanup();
  process.exit(code);
}
