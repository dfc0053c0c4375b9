import {pause} from '@chivewick/common';
import type {HostId, Random} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {MemberView} from './member-view.js';

/** Members that are requested to probe a host that did not answer a ping. */
const INDIRECT_PROBES = 3;

/**
 * Number of periods between probes of a random dead or left member, so that the
 * sides of a healed partition rediscover each other.
 */
const DEAD_PROBE_INTERVAL_PERIODS = 3;

/** The task that probes members. */
export interface Prober {
  readonly finished: Promise<void>;
  /** Returns up to `count` random live members that can be called. */
  sample(count: number): HostId[];
}

export interface ProberOptions {
  readonly peers: Peers;
  readonly view: MemberView;
  readonly random: Random;
  readonly periodMs: number;
  readonly signal: AbortSignal;
  beforePeriod(): void;
  ping(host: HostId): Promise<boolean>;
  pingIndirectly(helper: HostId, target: HostId): Promise<boolean>;
}

/**
 * Starts the probing task. Members are probed in shuffled order, so that each
 * one is probed once per round (SWIM, section 4.3).
 *
 * @example
 * const prober = createProber({peers, view, random, periodMs: 1_000, signal, ...calls});
 */
export function createProber(options: ProberOptions): Prober {
  const {peers, view, random, signal} = options;
  let round: HostId[] = [];

  function shuffle(hosts: HostId[]): HostId[] {
    for (let last = hosts.length - 1; last > 0; last--) {
      const other = random.int(last + 1);
      [hosts[last], hosts[other]] = [hosts[other], hosts[last]];
    }
    return hosts;
  }

  /** Members in the given states whose addresses are known. */
  function withAddress(...states: Parameters<typeof view.table.inState>) {
    const known = new Set(peers.knownHosts());
    return view.table.inState(...states).filter(host => known.has(host));
  }

  function nextTarget(): HostId | undefined {
    const targets = new Set(withAddress('alive', 'suspect'));
    for (let refills = 0; refills < 2; refills++) {
      while (round.length > 0) {
        const host = round.pop() as HostId;
        if (targets.has(host)) return host;
      }
      round = shuffle([...targets]);
    }
    return undefined;
  }

  function sample(count: number, excluded?: HostId): HostId[] {
    const hosts = withAddress('alive').filter(host => host !== excluded);
    return shuffle(hosts).slice(0, count);
  }

  async function probe(host: HostId): Promise<void> {
    if (await options.ping(host)) return;
    const helpers = sample(INDIRECT_PROBES, host);
    const reached = await Promise.all(
      helpers.map(helper => options.pingIndirectly(helper, host)),
    );
    if (!signal.aborted && !reached.includes(true)) view.suspect(host);
  }

  async function probeDead(): Promise<void> {
    const inactive = withAddress('dead', 'left');
    if (inactive.length > 0)
      await options.ping(inactive[random.int(inactive.length)]);
  }

  async function run(): Promise<void> {
    // A random delay, so that hosts that start together do not probe in step.
    await pause(random.next() * options.periodMs, signal);
    for (let period = 0; !signal.aborted; period++) {
      options.beforePeriod();
      const probes: Promise<void>[] = [pause(options.periodMs, signal)];
      const target = nextTarget();
      if (target !== undefined) probes.push(probe(target));
      if (period % DEAD_PROBE_INTERVAL_PERIODS === 0) probes.push(probeDead());
      await Promise.all(probes);
    }
  }

  return {finished: run(), sample};
}
