import {sha256} from '@chivewick/common';
import {
  ADMIN_KEY,
  applyDemoLists,
  applyList,
  DEMO_PLANS,
  readJson,
  startCluster,
  untilReady,
  type Cluster,
  type Host,
} from '@chivewick/system';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

const TARGET_MS = 2_000;
/** Time between two polls of a host; the resolution of the figures. */
const POLL_MS = 5;
const TIMEOUT_MS = 30_000;
/**
 * Pause after an outage until watches are open again; also the idle time
 * measured.
 */
const SETTLE_MS = 2_500;

interface Sizes {
  readonly hosts: number;
  readonly rounds: number;
}

const SMALL: Sizes = {hosts: 3, rounds: 1};
const FULL: Sizes = {hosts: 8, rounds: 4};

type Emit = (line: object) => void;

/** Time until an accepted change is in effect on all daemon processes. */
export const bench = {
  name: 'propagation',
  question:
    'How long until an accepted list change is in effect on every host, also with a frozen host or the platform down?',
  async run({small, emit}: {small: boolean; emit: Emit}): Promise<void> {
    const sizes = small ? SMALL : FULL;
    const cluster = await startCluster({
      hosts: sizes.hosts,
      engines: [],
      settings: {log: {level: 'warn'}, tracing: {}},
    });
    try {
      await applyDemoLists(cluster, {models: []});
      for (const scene of SCENES) {
        const figures: number[] = [];
        for (let round = 0; round < sizes.rounds; round++) {
          figures.push(await scene.run(cluster, round));
        }
        emitScene(scene.policy, sizes, figures, emit);
      }
      await emitControlCost(cluster, sizes, emit);
    } finally {
      await cluster.close();
    }
  },
};

interface Scene {
  readonly policy: string;
  /**
   * Makes one change; returns the time until all hosts have it, in
   * milliseconds.
   */
  run(cluster: Cluster, round: number): Promise<number>;
}

const SCENES: readonly Scene[] = [
  {
    policy: 'plain',
    async run({hosts}, round) {
      const key = await changeKey(hosts[round % hosts.length]);
      return timeOnAll(hosts, key);
    },
  },
  {
    // The time starts when the frozen host is resumed.
    policy: 'one host frozen and thawed',
    async run({hosts}, round) {
      const frozen = hosts[(round + 1) % hosts.length];
      frozen.kill('SIGSTOP');
      const key = await changeKey(hosts[round % hosts.length]);
      await timeOnAll(
        hosts.filter(host => host !== frozen),
        key,
      );
      frozen.kill('SIGCONT');
      return timeOnAll(hosts, key);
    },
  },
  {
    policy: 'platform down after acceptance',
    async run(cluster, round) {
      const {hosts} = cluster;
      const key = await changeKey(hosts[round % hosts.length]);
      const outage = cluster.setPlatformFaults({outage: true});
      const tookMs = await timeOnAll(hosts, key);
      await outage;
      await cluster.setPlatformFaults({outage: false});
      await untilReady(hosts);
      await sleep(SETTLE_MS);
      return tookMs;
    },
  },
];

/** Sets a new API key for a workspace and returns it. */
async function changeKey(host: Host): Promise<string> {
  const key = `key-${performance.now()}`;
  const entry = {plan: 'parish', keys: [sha256(key)]};
  const workspaces = {...DEMO_PLANS.workspaces, 'santa-maria': entry};
  await applyList(host, 'plans', {workspaces});
  return key;
}

/** Milliseconds from now until every host accepts the key. */
async function timeOnAll(hosts: readonly Host[], key: string): Promise<number> {
  const from = performance.now();
  await Promise.all(hosts.map(host => untilAccepted(host, key)));
  return performance.now() - from;
}

async function untilAccepted({name, callers}: Host, key: string) {
  const deadline = performance.now() + TIMEOUT_MS;
  while ((await readJson(`${callers}/v1/models`, key)) === undefined) {
    if (performance.now() > deadline)
      throw new Error(`${name} did not apply the change in time`);
    await sleep(POLL_MS);
  }
}

function emitScene(
  policy: string,
  {hosts}: Sizes,
  figures: readonly number[],
  emit: Emit,
): void {
  const size = `${hosts} daemons, ${figures.length} changes`;
  const sorted = [...figures].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)];
  const longest = sorted[sorted.length - 1];
  emit({policy, size, figure: Math.round(median), unit: 'ms median'});
  emit({
    policy,
    size,
    figure: Math.round(longest),
    unit: 'ms longest',
    target: TARGET_MS,
    met: longest <= TARGET_MS,
  });
}

/** Emits the peer traffic and CPU usage of a host without callers. */
async function emitControlCost(
  {hosts}: Cluster,
  sizes: Sizes,
  emit: Emit,
): Promise<void> {
  const spanS = SETTLE_MS / 1_000;
  const before = await Promise.all(hosts.map(readCost));
  await sleep(SETTLE_MS);
  const after = await Promise.all(hosts.map(readCost));
  const size = `${sizes.hosts} daemons, idle`;
  const policy = 'control';
  const limits = [
    {unit: 'peer bytes/s a host', target: 16_384},
    {unit: 'share of a core a host', target: 0.014},
  ];
  for (const [at, {unit, target}] of limits.entries()) {
    const used = after.map((cost, host) => cost[at] - before[host][at]);
    const mean = used.reduce((sum, each) => sum + each, 0) / hosts.length;
    const figure = Math.round((mean / spanS) * 1_000) / 1_000;
    emit({policy, size, figure, unit, target, met: figure <= target});
  }
}

/** Peer bytes in both directions and CPU seconds so far. */
async function readCost({operators}: Host): Promise<[number, number]> {
  const res = await request(`${operators}/metrics`, {
    headers: {authorization: `Bearer ${ADMIN_KEY}`},
  });
  const text = await res.body.text();
  const sum = (pattern: RegExp) =>
    [...text.matchAll(pattern)].reduce((total, [, n]) => total + Number(n), 0);
  return [
    sum(/^chivewick_peer_bytes_total\S* (\S+)/gm),
    sum(/^process_cpu_(?:user|system)_seconds_total (\S+)/gm),
  ];
}
