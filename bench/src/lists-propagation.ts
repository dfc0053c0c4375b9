import {createObjectApiStandIn} from '@chivewick/stand-ins';
import * as hdr from 'hdr-histogram-js';
import type {Bench} from './bench.js';
import {
  connectAll,
  connectionBytes,
  fitLine,
  pause,
  startListHosts,
  waitFor,
  type BenchHost,
} from './lists-hosts.js';

const SIZES = [8, 16, 32, 64];
const WORKSPACES = 390;
const CHANGES = 6;
const IDLE_MS = 2_000;
const BETWEEN_CHANGES_MS = 300;

/** 37,000 changes a day. */
const DESIGN_CHANGES_PER_S = 0.43;
const DESIGN_HOSTS = 2_500;
/** Calls per second of a host: a probe per second, some of crashed hosts. */
const PROBES_PER_S = 1.34;
const PUSHES_PER_CHANGE = 4;
const TARGET_MEASURED_MS = 2_000;
const TARGET_DESIGN_MS = 9_000;
const TARGET_BYTES_PER_S = 16_000;
const TIMEOUT_MS = 15_000;

type Emit = (line: object) => void;

interface Figures {
  readonly size: number;
  readonly medianMs: number;
  readonly maxMs: number;
  readonly idleBytesPerS: number;
  readonly bytesPerChange: number;
  readonly idleCallsPerS: number;
  readonly callsPerChange: number;
  readonly watcherBytesPerChange: number;
  readonly cpuMsPerChange: number;
}

export const bench: Bench = {
  name: 'lists-propagation',
  question:
    'How long until a list change is in effect on all hosts, and what does it cost each host?',
  async run({small, emit}) {
    const measured: Figures[] = [];
    for (const size of small ? SIZES.slice(0, 1) : SIZES) {
      const figures = await measure(size);
      measured.push(figures);
      emitFigures(figures, emit);
    }
    const setup = await connectionBytes();
    emit({
      seed: 1,
      policy: 'push+ping',
      size: 2,
      name: 'connection of a pair, both hosts',
      figure: setup,
      unit: 'B',
    });
    if (!small) extrapolate(measured, setup, emit);
  },
};

function plansOf(round: number): object {
  const workspaces = Array.from({length: WORKSPACES}, (_, n) => {
    const keys = [0, 1].map(key =>
      (1_000_000 * n + 10 * round * Number(n === 0) + key)
        .toString(16)
        .padStart(64, '0'),
    );
    return [`workspace-${n}`, {plan: 'parish', keys}] as const;
  });
  return {workspaces: Object.fromEntries(workspaces)};
}

const ENTITLEMENTS = {
  models: {'rota-draft': {version: 'v1', layers: 24, adapters: ['formal']}},
  services: {bookings: {repeatable: true, nonRepeatablePaths: ['/slots']}},
  plans: {
    parish: {
      models: ['rota-draft', 'rota-draft:formal'],
      services: ['bookings'],
      priority: 1,
      concurrency: 8,
      tokensPerSecond: 400,
    },
  },
};

async function measure(size: number): Promise<Figures> {
  const platform = await createObjectApiStandIn({});
  platform.store.put('lists/entitlements', ENTITLEMENTS, 0);
  platform.store.put('lists/plans', plansOf(0), 0);
  const hosts = await startListHosts(size, platform.address);
  try {
    const reached = await reach(hosts, 2);
    if (reached === undefined) throw new Error('hosts did not start');
    await connectAll(hosts.map(host => host.peers));
    await pause(1_000);
    return await measureChanges(size, hosts, platform);
  } finally {
    await Promise.all(hosts.map(host => host.close()));
    await platform.close();
  }
}

async function measureChanges(
  size: number,
  hosts: BenchHost[],
  platform: Awaited<ReturnType<typeof createObjectApiStandIn>>,
): Promise<Figures> {
  const calls = () => platform.calls.reads + platform.calls.watches;
  const idle = {bytes: sent(hosts), calls: calls(), atMs: performance.now()};
  await pause(IDLE_MS);
  const idleS = (performance.now() - idle.atMs) / 1_000;
  const idleBytesPerS = (sent(hosts) - idle.bytes) / idleS / size;
  const idleCallsPerS = (calls() - idle.calls) / idleS / size;

  const times = hdr.build();
  const before = {
    bytes: sent(hosts),
    calls: calls(),
    platform: hosts.map(host => host.platformBytes()),
    cpu: process.cpuUsage(),
    atMs: performance.now(),
  };
  let maxMs = 0;
  for (let round = 1; round <= CHANGES; round++) {
    const held = platform.store.get('lists/plans')?.version ?? 0;
    const version = platform.store.put('lists/plans', plansOf(round), held);
    const tookMs = await reach(hosts, version ?? 0, ms =>
      times.recordValue(Math.max(1, Math.round(ms))),
    );
    maxMs = Math.max(maxMs, tookMs ?? Infinity);
    await pause(BETWEEN_CHANGES_MS);
  }
  const seconds = (performance.now() - before.atMs) / 1_000;
  const perChange = (total: number) => total / CHANGES / size;
  const cpu = process.cpuUsage(before.cpu);
  const platformBytes = hosts.map(
    (host, n) => host.platformBytes() - before.platform[n],
  );
  const idleBytes = idleBytesPerS * size * seconds;
  const idleCalls = idleCallsPerS * size * seconds;
  return {
    size,
    medianMs: times.getValueAtPercentile(50),
    maxMs,
    idleBytesPerS,
    bytesPerChange: perChange(sent(hosts) - before.bytes - idleBytes),
    idleCallsPerS,
    callsPerChange: perChange(calls() - before.calls - idleCalls),
    watcherBytesPerChange: Math.max(...platformBytes) / CHANGES,
    cpuMsPerChange: perChange((cpu.user + cpu.system) / 1_000),
  };
}

/** Bytes that the hosts sent to each other; each is also received once. */
function sent(hosts: BenchHost[]): number {
  return hosts.reduce((sum, host) => sum + host.peers.bytes().sent, 0);
}

/**
 * Waits until all hosts have the version; `onReached` gets the time of each in
 * ms.
 */
async function reach(
  hosts: BenchHost[],
  version: number,
  onReached: (ms: number) => void = () => {},
): Promise<number | undefined> {
  const startedMs = performance.now();
  const missing = new Set(hosts);
  const allReached = () => {
    for (const host of missing) {
      const held = host.lists?.snapshot()?.versions.plans ?? 0;
      if (held < version) continue;
      missing.delete(host);
      onReached(performance.now() - startedMs);
    }
    return missing.size === 0;
  };
  return waitFor(allReached, TIMEOUT_MS);
}

function emitFigures(figures: Figures, emit: Emit): void {
  const {size, maxMs} = figures;
  const line = (name: string, figure: number, unit: string, rest = {}) =>
    emit({seed: 1, policy: 'push+ping', size, name, figure, unit, ...rest});
  line('in effect on a host, median', figures.medianMs, 'ms');
  line('in effect on all hosts, max', round(maxMs), 'ms', {
    target: TARGET_MEASURED_MS,
    met: maxMs <= TARGET_MEASURED_MS,
  });
  line('sent per host, idle', round(figures.idleBytesPerS), 'B/s');
  line('sent per host and change', round(figures.bytesPerChange), 'B');
  line('platform calls per host, idle', round(figures.idleCallsPerS), '1/s');
  line('platform calls per host and change', round(figures.callsPerChange), '');
  line(
    'read from the platform per watcher and change',
    round(figures.watcherBytesPerChange),
    'B',
  );
  line(
    'processor time per host and change, with the stand-in',
    round(figures.cpuMsPerChange),
    'ms',
  );
}

function extrapolate(
  measured: Figures[],
  setupBytes: number,
  emit: Emit,
): void {
  const size = DESIGN_HOSTS;
  const line = (name: string, value: number, unit: string, target: number) =>
    emit({
      seed: 1,
      policy: 'push+ping, extrapolated',
      size,
      name,
      figure: round(value),
      unit,
      target,
      met: value <= target,
    });
  // The depth of a push tree grows with the logarithm of the number of hosts.
  const time = fitLine(measured.map(m => [Math.log2(m.size), m.maxMs]));
  line(
    'in effect on all hosts, max',
    time.at(Math.log2(size)),
    'ms',
    TARGET_DESIGN_MS,
  );
  // Sent and received. At this size nearly every call goes to a host without an
  // open connection, so each call pays for a new connection.
  const warm = fitLine(
    measured.map(m => [
      m.size,
      2 * (m.idleBytesPerS + DESIGN_CHANGES_PER_S * m.bytesPerChange),
    ]),
  );
  const newConnectionsPerS =
    2 * (PROBES_PER_S + DESIGN_CHANGES_PER_S * PUSHES_PER_CHANGE);
  const limit = TARGET_BYTES_PER_S;
  line('sent and received per host, connected', warm.at(size), 'B/s', limit);
  line(
    'sent and received per host, first meetings',
    Math.max(0, warm.at(size)) + newConnectionsPerS * setupBytes,
    'B/s',
    limit,
  );
  const watcher = measured[measured.length - 1].watcherBytesPerChange;
  line(
    'read from the platform by a watcher, without the read budget',
    watcher * DESIGN_CHANGES_PER_S,
    'B/s',
    limit,
  );
}

const round = (value: number) => Math.round(value * 1_000) / 1_000;
