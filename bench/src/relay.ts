import {readLines} from '@chivewick/common';
import {
  ADMIN_KEY,
  applyDemoLists,
  CALLER_KEY,
  createProcessGroup,
  startCluster,
  untilRouteAvailable,
  type Cluster,
  type ProcessGroup,
} from '@chivewick/system';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createHistogram,
  readUsage,
  startLoad,
  type Target,
} from './relay-load.js';

const PACE_MS = 20;
const TOKENS_PER_REQUEST = 500;
const WARM_UP_MS = 1_500;
const SHARE_TARGET = 0.7;
const ADDED_P99_TARGET_MS = 1;
/**
 * Maximum ratio of the smallest heap of the last fifth to that of the second.
 */
const HEAP_GROWTH_TARGET = 1.1;
const SHORT_TOKENS = 4;

interface Sizes {
  readonly rounds: number;
  readonly measuredMs: number;
  /** Number of streams with which the CPU cost of a token is measured. */
  readonly streams: number;
  readonly requests: number;
}

const SMALL: Sizes = {
  rounds: 1,
  measuredMs: 1_500,
  streams: 40,
  requests: 2_000,
};
const FULL: Sizes = {
  rounds: 3,
  measuredMs: 2_000,
  streams: 200,
  requests: 100_000,
};

type Emit = (line: object) => void;

/** Cost of a complete daemon compared with a bare relay of the same streams. */
export const bench = {
  name: 'relay',
  question:
    'How many tokens a second does a core relay, with what added latency and memory, beside a bare undici relay?',
  async run({small, emit}: {small: boolean; emit: Emit}): Promise<void> {
    const sizes = small ? SMALL : FULL;
    const setup = await start();
    try {
      const [daemon] = setup.targets;
      const [own, baseline] = await measureAlternately(
        setup.targets,
        sizes,
        tokensPerCore,
      );
      const best = Math.max(...own);
      emitThroughput(best, Math.max(...baseline), sizes, emit);
      // Both run at half of the throughput of one core of the daemon.
      const streams = Math.round((best / 2) * (PACE_MS / 1_000));
      const half = {...sizes, streams};
      const [ownMs, baselineMs] = await measureAlternately(
        setup.targets,
        half,
        latencyP99,
      );
      emitLatency(Math.min(...ownMs), Math.min(...baselineMs), streams, emit);
      await measureMemory(daemon, sizes, emit);
    } finally {
      await setup.close();
    }
  },
};

interface Setup {
  /** The daemon, then the bare relay. */
  readonly targets: readonly [Target, Target];
  close(): Promise<void>;
}

async function start(): Promise<Setup> {
  const logs = await mkdtemp(join(tmpdir(), 'chivewick-bench-'));
  const group = createProcessGroup(logs);
  let cluster: Cluster | undefined;
  const close = async () => {
    await cluster?.close();
    await group.stopAll();
    await rm(logs, {recursive: true, force: true});
  };
  try {
    const engine = await startProcess(group, 'relay-engine');
    const bare = await startProcess(group, 'relay-baseline', engine.first);
    cluster = await startCluster({
      hosts: 1,
      engines: [],
      extraEntries: [engine.first, engine.second].map((address, at) => ({
        id: `relay-${at + 1}`,
        kind: 'endpoint',
        address,
        failureDomain: 'nav-a',
        state: 'live',
      })),
      settings: {log: {level: 'warn'}, tracing: {}},
    });
    await applyDemoLists(cluster, {
      concurrency: 100_000,
      tokensPerSecond: 1e9,
    });
    const [host] = cluster.hosts;
    await untilRouteAvailable(host);
    const daemonTarget = {
      policy: 'chivewick',
      url: host.callers,
      metrics: `${host.operators}/metrics`,
      key: ADMIN_KEY,
    };
    const url = `http://${bare.address}`;
    const metrics = `${url}/metrics`;
    const bareTarget = {policy: 'bare relay', url, metrics, key: 'none'};
    return {targets: [daemonTarget, bareTarget], close};
  } catch (err) {
    await close();
    throw err;
  }
}

async function startProcess(
  group: ProcessGroup,
  name: string,
  ...args: string[]
): Promise<Record<string, string>> {
  const running = group.start(name, `bench/dist/src/${name}.js`, args);
  for await (const line of readLines(running.child.stdout!)) {
    running.child.stdout!.resume();
    return JSON.parse(line) as Record<string, string>;
  }
  throw new Error(`${name} ended: ${running.errors()}`);
}

/** Tokens relayed per second of CPU time of the relay. */
async function tokensPerCore(target: Target, sizes: Sizes): Promise<number> {
  const load = startPacedLoad(target, sizes.streams);
  await sleep(WARM_UP_MS);
  const tokens = load.tokens;
  const before = await readUsage(target);
  await sleep(sizes.measuredMs);
  const relayed = load.tokens - tokens;
  const after = await readUsage(target);
  await load.stop();
  if (load.failed > 0)
    throw new Error(
      `${target.policy}: ${load.failed} streams failed: ${load.failure}`,
    );
  return relayed / (after.cpuS - before.cpuS);
}

async function latencyP99(target: Target, sizes: Sizes): Promise<number> {
  const load = startPacedLoad(target, sizes.streams);
  await sleep(WARM_UP_MS);
  load.latency = createHistogram();
  await sleep(sizes.measuredMs);
  const p99Us = load.latency.getValueAtPercentile(99);
  await load.stop();
  return p99Us / 1_000;
}

/**
 * Measures the targets one after the other, several times, so that other load
 * on the machine affects both equally. The best round of each counts, because
 * other load can only make a round worse.
 */
async function measureAlternately(
  targets: readonly [Target, Target],
  sizes: Sizes,
  measure: (target: Target, sizes: Sizes) => Promise<number>,
): Promise<[number[], number[]]> {
  const figures: [number[], number[]] = [[], []];
  for (let round = 0; round < sizes.rounds; round++)
    for (const [at, target] of targets.entries())
      figures[at].push(await measure(target, sizes));
  return figures;
}

function startPacedLoad(target: Target, streams: number) {
  return startLoad(target, {
    streams,
    paceMs: PACE_MS,
    tokens: TOKENS_PER_REQUEST,
    callerKey: CALLER_KEY,
  });
}

function emitThroughput(
  own: number,
  baseline: number,
  {streams}: Sizes,
  emit: Emit,
): void {
  const size = `${streams} streams, a token every ${PACE_MS} ms`;
  const unit = 'tokens per CPU second';
  emit({policy: 'bare relay', size, figure: Math.round(baseline), unit});
  emit({policy: 'chivewick', size, figure: Math.round(own), unit});
  emit({
    policy: 'chivewick',
    size,
    figure: round(own / baseline),
    unit: 'share of the bare relay',
    target: SHARE_TARGET,
    met: own / baseline >= SHARE_TARGET,
  });
}

function emitLatency(
  ownMs: number,
  baselineMs: number,
  streams: number,
  emit: Emit,
): void {
  const size = `${streams} streams, half load`;
  const unit = 'ms p99 from engine to caller';
  emit({policy: 'bare relay', size, figure: round(baselineMs), unit});
  emit({policy: 'chivewick', size, figure: round(ownMs), unit});
  emit({
    policy: 'chivewick',
    size,
    figure: round(ownMs - baselineMs),
    unit: 'ms p99 added',
    target: ADDED_P99_TARGET_MS,
    met: ownMs - baselineMs < ADDED_P99_TARGET_MS,
  });
}

/** Compares the lowest heap and memory of the second and the last fifth. */
async function measureMemory(
  target: Target,
  {requests}: Sizes,
  emit: Emit,
): Promise<void> {
  const load = startLoad(target, {
    streams: 64,
    paceMs: 0,
    tokens: SHORT_TOKENS,
    callerKey: CALLER_KEY,
    requests,
  });
  const heaps: number[][] = [[], [], [], [], []];
  const memories: number[][] = [[], [], [], [], []];
  let done = false;
  void load.finished.then(() => (done = true));
  while (!done) {
    const {heapBytes, rssBytes} = await readUsage(target);
    const fifth = Math.min(4, Math.floor((load.requests / requests) * 5));
    heaps[fifth].push(heapBytes);
    memories[fifth].push(rssBytes);
    await sleep(100);
  }
  const lowest = (samples: number[][], fifth: number) =>
    Math.min(...samples[fifth]);
  const growth = lowest(heaps, 4) / lowest(heaps, 1);
  const size = `${load.requests} requests`;
  const policy = 'chivewick';
  emit({policy, size, figure: load.failed, unit: 'failed requests'});
  emit({
    policy,
    size,
    figure: round(growth),
    unit: 'heap of the last fifth over the second',
    target: HEAP_GROWTH_TARGET,
    met: growth <= HEAP_GROWTH_TARGET,
  });
  for (const fifth of [1, 4])
    emit({
      policy,
      size,
      figure: round(lowest(memories, fifth) / 2 ** 20),
      unit: `MB resident, fifth ${fifth + 1} of 5`,
    });
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
