// Guards against streams that get no path, or retries beyond the share, when a
// coordinator is killed, silent or not known, and against bytes of strangers.
import {
  createRandom,
  createSilentLogger,
  id,
  type EndpointId,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
import {rankCoordinators} from '@chivewick/coordination';
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import assert from 'node:assert/strict';
import {createSocket, type Socket} from 'node:dgram';
import {afterEach, mock, test} from 'node:test';
import {
  startCoordination,
  type Coordination,
  type PathNeed,
} from '../src/coordination/index.js';
import {createEndpointTable} from '../src/endpoint-table.js';
import type {FleetHost} from '../src/fleet.js';
import type {SuspectExchange} from '../src/quarantine/index.js';
import {createPipeUsage} from '../src/pipe-usage.js';
import {createRetryAllowance} from '../src/retry-allowance.js';
import {config, freePort, MODEL, PROFILE, record, until} from './harness.js';

const DOMAIN = id<FailureDomain>('a');
const HALF = 40;
const open: {close(): void}[] = [];
afterEach(() => {
  mock.restoreAll();
  for (const item of open.splice(0)) item.close();
});

interface Host {
  readonly self: FleetHost;
  readonly coordination: Coordination;
  readonly table: ReturnType<typeof createEndpointTable>;
  readonly verified: EndpointId[];
}

const freeAddress = () => `${LOOPBACK_HOST}:${freePort()}`;

async function bind(port = 0): Promise<Socket> {
  const socket = createSocket('udp4');
  await new Promise<void>(done => socket.bind(port, LOOPBACK_HOST, done));
  return socket;
}

function createFleetHosts(count: number, failureDomain = DOMAIN): FleetHost[] {
  const hosts = Array.from({length: count}, (_, n) => ({
    id: id<HostId>(`${failureDomain}-h${n}`),
    address: freeAddress(),
    failureDomain,
    cores: 1,
  }));
  return rankCoordinators(failureDomain, hosts);
}

/** Starts one host of a fleet, with an engine for each half of the model. */
async function startHost(
  self: FleetHost,
  hosts: FleetHost[],
  {extra = 1_000_000, windowMs = 10_000} = {},
): Promise<Host> {
  const log = createSilentLogger();
  const table = createEndpointTable(log, () => 2_000);
  for (const [index, from] of [0, HALF].entries())
    table.upsert(
      record(`e${index}`, `127.0.0.1:${index + 1}`, {
        service: MODEL,
        accelerator: 'card',
        layers: {from, to: from + HALF},
      }),
    );
  const verified: EndpointId[] = [];
  const coordination = await startCoordination({
    self,
    fleet: {
      count: () => hosts.length,
      others: () => hosts.filter(host => host.id !== self.id),
      domains: () => [...new Set(hosts.map(host => host.failureDomain))],
      isKnown: () => true,
      ready: () => Promise.resolve(),
      add: () => {},
    },
    table,
    allowance: createRetryAllowance({
      ratio: 0,
      extra,
      windowMs,
      shares: () => hosts.length,
    }),
    retryBounds: {ratio: 0, windowMs},
    config: () => config(),
    pipes: createPipeUsage({total: () => 0, averagingTimeMs: 1_000}),
    random: createRandom(1),
    log,
    isLeaseHolder: () => false,
    checkRun: () => Promise.resolve('ended' as const),
    verify: state => verified.push(state.record.id),
  });
  open.push(coordination);
  return {self, coordination, table, verified};
}

function need(changes: Partial<PathNeed> = {}): PathNeed {
  return {
    service: MODEL,
    profile: PROFILE,
    promptTokens: 100,
    outputTokens: 100,
    exclude: new Set(),
    isRetry: false,
    ...changes,
  };
}

const running = ({table}: Host) =>
  table.all().reduce((sum, state) => sum + state.othersRunning, 0);

/** Waits until a host grants paths to others, and asks it for one. */
async function choose(host: Host, coordinator: Host) {
  for (;;) {
    const choice = await host.coordination.choosePath(need());
    assert.equal(choice.kind, 'path');
    if (running(coordinator) > 0) return choice;
    if (choice.kind === 'path') host.coordination.held.release(choice.id);
  }
}

test('coordination: the coordinator knows the load of a granted path until it ends', async () => {
  const hosts = createFleetHosts(3);
  const [first, , third] = await Promise.all(
    hosts.map(host => startHost(host, hosts)),
  );
  const choice = await choose(third, first);
  assert.equal(choice.kind, 'path');
  if (choice.kind !== 'path') return;
  assert.equal(choice.stages.length, 2);
  third.coordination.held.release(choice.id);
  await until(() => running(first) === 0);
});

test('coordination: the standby takes over with the load that it was told', async () => {
  const hosts = createFleetHosts(3);
  const [first, second, third] = await Promise.all(
    hosts.map(host => startHost(host, hosts)),
  );
  const choice = await choose(third, first);
  first.coordination.close();
  for (;;) {
    const next = await third.coordination.choosePath(need());
    // The standby counts the path that it grants and the earlier one.
    if (running(second) >= 4) break;
    if (next.kind === 'path') third.coordination.held.release(next.id);
  }
  assert.equal(choice.kind, 'path');
});

test('coordination: without a coordinator a host serves, but retries nothing', async () => {
  const hosts = createFleetHosts(3);
  const alone = await startHost(hosts[2], hosts);
  const first = await alone.coordination.choosePath(need());
  assert.equal(first.kind, 'path');
  const retry = await alone.coordination.choosePath(need({isRetry: true}));
  assert.equal(retry.kind, 'no_retry');
});

test('coordination: the coordinator decides on a repair, or the host if none answers', async () => {
  const hosts = createFleetHosts(3);
  const started = await Promise.all(hosts.map(host => startHost(host, hosts)));
  const [first, second, third] = started;
  const choice = await choose(third, first);
  if (choice.kind !== 'path') return;
  const {id: grantId, stages} = choice;
  const askRepair = () =>
    third.coordination.askRepair({
      ...need(),
      repair: {id: grantId, stages, replaced: [stages[1].endpoint]},
      onGranted: () => {},
    });
  // No other engine holds the layers.
  assert.deepEqual(await askRepair(), {kind: 'denied'});
  third.table.remove(stages[1].endpoint, 2);
  for (const {table} of started)
    table.upsert(
      record('spare', '127.0.0.1:3', {
        service: MODEL,
        accelerator: 'card',
        layers: {from: HALF, to: 2 * HALF},
      }),
    );
  const granted = await askRepair();
  assert.equal(granted.kind === 'granted' && granted.stages.length, 2);
  assert.equal(first.table.get(id<EndpointId>('spare'))?.othersRunning, 1);
  first.coordination.close();
  second.coordination.close();
  assert.deepEqual(await askRepair(), {kind: 'local'});
});

test('coordination: a standby that takes over grants only the retries that are left', async () => {
  const bounds = {extra: 40, windowMs: 2_000};
  const hosts = createFleetHosts(3);
  const [first, , third] = await Promise.all(
    hosts.map(host => startHost(host, hosts, bounds)),
  );
  const retriedMs: number[] = [];
  const retry = async () => {
    const choice = await third.coordination.choosePath(need({isRetry: true}));
    if (choice.kind !== 'path') return;
    retriedMs.push(performance.now());
    third.coordination.held.release(choice.id);
  };
  const retryFor = async (ms: number) => {
    for (const untilMs = performance.now() + ms; performance.now() < untilMs;) {
      await retry();
      await new Promise(done => setTimeout(done, 2));
    }
  };
  await choose(third, first);
  await new Promise(done => setTimeout(done, bounds.windowMs));
  await retryFor(500);
  first.coordination.close();
  await retryFor(2 * bounds.windowMs);
  const most = Math.max(
    ...retriedMs.map(
      fromMs =>
        retriedMs.filter(
          atMs => atMs >= fromMs && atMs < fromMs + bounds.windowMs,
        ).length,
    ),
  );
  assert.ok(most <= bounds.extra, `${most} retries in one window`);
  assert.ok(retriedMs.length > most, 'the standby grants retries');
});

/** Starts a coordinator that grants each path that it is asked for. */
async function startGenerousCoordinator(
  {address}: FleetHost,
  stage: {endpoint: string; address: string; from: number; to: number},
  onAsk = () => {},
): Promise<void> {
  const asked = await bind(Number(address.split(':')[1]));
  open.push(asked);
  asked.on('message', (bytes, from) => {
    const {id: callId} = JSON.parse(bytes.toString()) as {id?: unknown};
    if (callId === undefined) return;
    onAsk();
    const result = {kind: 'path', stages: [stage]};
    const answer = JSON.stringify({jsonrpc: '2.0', id: callId, result});
    asked.send(answer, from.port, from.address);
  });
}

test('coordination: an answer that names an unknown endpoint is not used', async () => {
  const hosts = createFleetHosts(2);
  const stage = {endpoint: 'x', address: '127.0.0.1:9', from: 0, to: 80};
  await startGenerousCoordinator(hosts[0], stage);
  const host = await startHost(hosts[1], hosts);
  const choice = await host.coordination.choosePath(need());
  const used =
    choice.kind === 'path' ? choice.stages.map(item => item.endpoint) : [];
  assert.deepEqual(used, ['e0', 'e1']);
});

const SUSPENSIONS = [
  {name: 'no suspension', suspendedMs: 0, kind: 'path'},
  {name: 'a suspension of 3 s', suspendedMs: 3_000, kind: 'no_retry'},
];

for (const {name, suspendedMs, kind} of SUSPENSIONS)
  test(`coordination: permission to retry after ${name}`, async () => {
    const hosts = createFleetHosts(2);
    const stage = {endpoint: 'e0', address: '127.0.0.1:1', from: 0, to: 80};
    const epochMs = Date.now.bind(Date);
    // Only the wall clock advances while a process is suspended.
    const suspend = () =>
      void mock.method(Date, 'now', () => epochMs() + suspendedMs);
    await startGenerousCoordinator(hosts[0], stage, suspend);
    const host = await startHost(hosts[1], hosts);
    const choice = await host.coordination.choosePath(need({isRetry: true}));
    assert.equal(choice.kind, kind);
  });

const MALFORMED: readonly string[] = [
  '',
  '{',
  'null',
  '[]',
  '{"jsonrpc":"2.0","method":"path.choose","params":{}}',
  '{"jsonrpc":"2.0","id":1,"method":"path.choose","params":{"host":"h"}}',
  '{"jsonrpc":"2.0","method":"host.report","params":{"from":{"id":"x"},"held":1}}',
  '{"jsonrpc":"2.0","method":"coordinator.summary","params":{"from":"x","loads":[{}]}}',
  '{"jsonrpc":"2.0","method":"domain.summary","params":null}',
  '{"jsonrpc":"2.0","method":"endpoint.down","params":{"endpoints":[7]}}',
  '{"jsonrpc":"2.0","id":"none","result":{}}',
  '{"jsonrpc":"2.0","method":"unknown"}',
];

test('coordination: malformed datagrams are ignored', async () => {
  const hosts = createFleetHosts(2);
  const [first, second] = await Promise.all(
    hosts.map(host => startHost(host, hosts)),
  );
  const stranger = await bind();
  open.push(stranger);
  const port = Number(first.self.address.split(':')[1]);
  for (const text of MALFORMED)
    await new Promise(done => stranger.send(text, port, LOOPBACK_HOST, done));
  const choice = await choose(second, first);
  assert.equal(choice.kind, 'path');
});

test('coordination: a host with very many paths still reports them', async () => {
  const hosts = createFleetHosts(2);
  const [first, second] = await Promise.all(
    hosts.map(host => startHost(host, hosts)),
  );
  const stages = Array.from({length: 5}, (_, n) => ({
    endpoint: id<EndpointId>(`e${n % 2}`),
    address: '127.0.0.1:1',
    from: 16 * n,
    to: 16 * n + 16,
  }));
  const {held} = second.coordination;
  for (let n = 0; n < 1_000; n++) held.set(held.nextId(), 1, stages);
  await until(() => {
    void first.coordination.choosePath(need());
    return running(first) >= 500;
  });
});

test('coordination: the coordinator checks what another host suspects', async () => {
  const hosts = createFleetHosts(3);
  const [first, , third] = await Promise.all(
    hosts.map(host => startHost(host, hosts)),
  );
  const state = third.table.get(id<EndpointId>('e1'))!;
  third.table.suspect(state, 'test');
  await until(() => first.verified.includes(state.record.id));
});

test('coordination: hosts with streams on an endpoint that is down are told', async () => {
  const hosts = createFleetHosts(3);
  const [first, , third] = await Promise.all(
    hosts.map(host => startHost(host, hosts)),
  );
  await choose(third, first);
  const endpoint = id<EndpointId>('e0');
  first.table.suspect(first.table.get(endpoint)!, 'test');
  await until(
    () => third.table.get(endpoint)!.suspectedUntilMs > performance.now(),
  );
});

// Guards against an endpoint that no host uses for seconds after it has responded again.
test('coordination: a suspicion ends on all hosts once the coordinator that checks it is answered', async () => {
  const [checker] = createFleetHosts(1);
  const others = createFleetHosts(3, id<FailureDomain>('b'));
  const all = [checker, ...others];
  const [first, , , last] = await Promise.all(
    all.map(host => startHost(host, all)),
  );
  const endpoint = id<EndpointId>('e0');
  const isSuspected = ({table}: Host) =>
    table.get(endpoint)!.suspectedUntilMs > performance.now();
  const askAll = () =>
    void [first, last].map(host => host.coordination.choosePath(need()));
  first.table.suspect(first.table.get(endpoint)!, 'test');
  await until(() => {
    askAll();
    return isSuspected(last);
  });
  first.table.clearSuspicion(first.table.get(endpoint)!);
  await until(() => {
    askAll();
    return !isSuspected(last);
  });
  // One that has only expired keeps its time.
  assert.equal(last.table.get(endpoint)!.suspectedUntilMs, 0);
});

/** A request with a part that crashes endpoints. */
function deadly(body: string): SuspectExchange {
  const service = config().services.get(MODEL)!;
  const facts = {sharedParts: ['part'], promptTokens: 1, maxOutputTokens: 1};
  const req = {method: 'POST', url: '/x'} as SuspectExchange['req'];
  return {req, facts, service, body: Buffer.from(body)};
}

test('coordination: what crashes endpoints is known to all hosts, later ones too', async () => {
  const hosts = createFleetHosts(4);
  const present = hosts.slice(1);
  const started = await Promise.all(
    present.map(host => startHost(host, hosts)),
  );
  for (const [index, {coordination, table}] of started.slice(1).entries()) {
    const state = table.get(id<EndpointId>(`e${index}`))!;
    await coordination.quarantine.disconnected(deadly(`${index}`), state, true);
    await new Promise(done => setTimeout(done, 40));
  }
  const isBanned = ({coordination}: Host) =>
    coordination.quarantine.rejectionOf(deadly('another')) !== undefined;
  await until(() => started.every(isBanned));
  const late = await startHost(hosts[0], hosts);
  await until(() => isBanned(late));
});
