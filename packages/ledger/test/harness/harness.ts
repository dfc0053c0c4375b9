import {install, type Clock} from '@sinonjs/fake-timers';
import {
  createRandom,
  createSilentLogger,
  id,
  rendezvousOwner,
  type HostId,
  type ServiceName,
  type WorkspaceId,
} from '@chivewick/common';
import {
  createLedger,
  type CallOutcome,
  type Ledger,
  type LedgerSettings,
} from '../../src/index.js';
import {entryId, partitionKey, partitionOf} from '../../src/record.js';
import {createFakeNet, type FakeNet} from './fake-net.js';
import {createFakeService, type FakeService} from './fake-service.js';
import {createFakeStore, type FakeStore} from './fake-store.js';
import {createGate, type Gate} from './gate.js';

export const WORKSPACE = id<WorkspaceId>('san-fermin');
const PARTITIONS = 2;
const SERVICE = id<ServiceName>('bookings');
/** Time until other hosts detect that a host has stopped or resumed. */
const DETECTION_MS = 700;

/** One call of a scenario and the outcome that its caller received, if any. */
export interface SentCall {
  readonly key: string;
  readonly host: number;
  /** Identifies this call among others with the same key. */
  readonly trace: string;
  outcome?: CallOutcome;
}

/** Hosts with their ledgers on a fake clock, with fault injection. */
export interface Harness {
  readonly clock: Clock;
  readonly store: FakeStore;
  readonly net: FakeNet;
  readonly service: FakeService;
  readonly sent: SentCall[];
  readonly hosts: HostId[];
  ledger(host: number): Ledger;
  /** Index of the host that owns the key while all hosts are live. */
  owner(key: string): number;
  call(host: number, key: string, deadlineMs?: number, body?: string): SentCall;
  kill(host: number): void;
  /** Starts a killed host again; it keeps only its id. */
  restart(host: number): void;
  pause(host: number): void;
  resume(host: number): void;
  /** Makes the other hosts treat a running host as dead. */
  markDead(host: number): void;
  /** Advances the clock, running every timer and promise in order. */
  run(ms: number): Promise<void>;
  /** Advances the clock until the promise settles, by one minute at most. */
  runUntilSettled<T>(promise: Promise<T>): Promise<T>;
  close(): Promise<void>;
}

export function createHarness(options: {
  hosts: number;
  seed?: number;
  settings?: Partial<LedgerSettings>;
}): Harness {
  const clock = install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
  });
  const random = createRandom(options.seed ?? 1);
  const store = createFakeStore(random);
  const net = createFakeNet(random);
  const service = createFakeService(random);
  const hosts = Array.from({length: options.hosts}, (_, n) =>
    id<HostId>(`host-${n}`),
  );
  const live = new Set(hosts);
  const running: {ledger: Ledger; gate: Gate}[] = [];
  const all: Ledger[] = [];
  const sent: SentCall[] = [];

  function start(host: number): void {
    const gate = createGate();
    const ledger = createLedger({
      self: hosts[host],
      platform: store.api(gate),
      peers: net.join(hosts[host], gate),
      services: service.api(gate),
      live: () => hosts.filter(h => live.has(h) || h === hosts[host]),
      endpoints: () => ['10.0.0.1:80', '10.0.0.2:80'],
      log: createSilentLogger(),
      settings: {
        partitions: PARTITIONS,
        writesPerSecond: 50,
        ...options.settings,
      },
    });
    running[host] = {ledger, gate};
    all.push(ledger);
  }
  hosts.forEach((_, host) => start(host));
  const scheduleDetection = (host: number) =>
    setTimeout(() => {
      if (running[host].gate.state() === 'running') live.add(hosts[host]);
      else live.delete(hosts[host]);
    }, DETECTION_MS);

  async function run(ms: number, stop = () => false): Promise<void> {
    let elapsed = false;
    const end = setTimeout(() => (elapsed = true), ms);
    await drainPromises();
    while (!elapsed && !stop()) {
      clock.next();
      await drainPromises();
    }
    clearTimeout(end);
  }

  return {
    clock,
    store,
    net,
    service,
    sent,
    hosts,
    ledger: host => running[host].ledger,
    owner(key) {
      const partitionNumber = partitionOf(entryId(WORKSPACE, key), PARTITIONS);
      const owner = rendezvousOwner(partitionKey(partitionNumber), hosts);
      return hosts.findIndex(host => host === owner);
    },
    call(host, key, deadlineMs = 5_000, body = '{}') {
      const trace = `trace-${sent.length}`;
      const call: SentCall = {key, host, trace};
      sent.push(call);
      const {ledger, gate} = running[host];
      const request = {
        workspace: WORKSPACE,
        service: SERVICE,
        key,
        call: {method: 'POST', path: '/slots', body, traceparent: trace},
        deadlineMs,
      };
      // A caller of a killed host gets no answer.
      void ledger.call(request).then(async outcome => {
        await gate.pass();
        call.outcome = outcome;
      });
      return call;
    },
    kill(host) {
      running[host].gate.kill();
      scheduleDetection(host);
    },
    restart(host) {
      if (running[host].gate.state() !== 'killed') return;
      start(host);
      scheduleDetection(host);
    },
    pause(host) {
      running[host].gate.pause();
      scheduleDetection(host);
    },
    resume(host) {
      running[host].gate.resume();
      scheduleDetection(host);
    },
    markDead: host => void live.delete(hosts[host]),
    run,
    async runUntilSettled(promise) {
      let settled = false;
      const markSettled = () => (settled = true);
      promise.then(markSettled, markSettled);
      await run(60_000, () => settled);
      return promise;
    },
    async close() {
      await Promise.all(all.map(ledger => ledger.close()));
      clock.uninstall();
    },
  };
}

const realSetImmediate = setImmediate;

/** Runs all pending promise callbacks. */
function drainPromises(): Promise<void> {
  return new Promise(resolve => realSetImmediate(resolve));
}
