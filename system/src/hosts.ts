/** Daemon processes of a cluster. */
import {sha256} from '@chivewick/common';
import {LOOPBACK_HOST} from '@chivewick/stand-ins';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {stringify} from 'yaml';
import {DOMAINS} from './engines.js';
import {createForwarder, type Forwarder} from './forwarder.js';
import {readJson} from './http.js';
import {freePorts} from './ports.js';
import type {ProcessGroup, Running} from './processes.js';
import {until} from './wait.js';

/** Key of the administration API of every host. */
export const ADMIN_KEY = 'demo-admin-key';
const DAEMON_SCRIPT = 'packages/chivewickd/dist/src/main.js';
const PORTS_PER_HOST = 3;

/** Versions of the lists in effect on a host; 0 for a list that is not in effect. */
export interface HostVersions {
  readonly host: string;
  readonly plans: number;
  readonly entitlements: number;
  readonly confirmed: boolean;
}

/** A chivewick host and its current process. */
export interface Host {
  readonly name: string;
  readonly failureDomain: string;
  /** Base URL of the callers' API. */
  readonly callers: string;
  /** Base URL of the administration API. */
  readonly operators: string;
  /** Address, `ip:port`, at which the other hosts reach it. */
  readonly peers: string;
  /** The process that was started last. */
  readonly running: Running;
  /** Starts a new process; the previous one must have ended. */
  restart(): void;
  kill(signal: NodeJS.Signals): void;
  ready(): Promise<boolean>;
  /** Versions in effect on this host; undefined if it does not respond. */
  versions(): Promise<HostVersions | undefined>;
  /** Cuts this host's connections to the platform, and the peers' to it. */
  cut(): void;
  /** Cuts only the peers' connections to this host. */
  cutPeers(): void;
  /** Ends the effect of `cut` and `cutPeers`. */
  restore(): void;
}

/** Number and settings of the hosts of a cluster. */
export interface HostsOptions {
  readonly count: number;
  readonly firm: string;
  readonly secret: string;
  readonly platform: {objectApi: string; hostList: string};
  /** Whether hosts reach the platform and each other through forwarders that can
   * be cut. */
  readonly forwarded: boolean;
  /** Settings of every host that override those of the harness. */
  readonly settings?: Record<string, unknown>;
}

/** Name, addresses and forwarders of a host. */
interface HostLayout {
  readonly name: string;
  readonly failureDomain: string;
  readonly callers: string;
  readonly operators: string;
  readonly listen: string;
  readonly peers: string;
  readonly platform: {objectApi: string; hostList: string};
  readonly links: readonly Forwarder[];
}

/**
 * Starts hosts on free ports, each with the others as peers.
 *
 * @example
 * const {hosts} = await startHosts(group, {count: 2, firm: 'diocese', secret, platform, forwarded: false});
 */
export async function startHosts(
  group: ProcessGroup,
  options: HostsOptions,
): Promise<{hosts: Host[]; links: Forwarder[]}> {
  const layouts = await layOutHosts(options);
  const hosts: Host[] = [];
  for (const layout of layouts) {
    const file = join(group.logs, `${layout.name}.yaml`);
    const settings = buildSettings(layout, layouts, options, group.logs);
    await writeFile(file, stringify(settings));
    hosts.push(createHost(group, layout, file));
  }
  return {hosts, links: layouts.flatMap(({links}) => links)};
}

async function layOutHosts(options: HostsOptions): Promise<HostLayout[]> {
  const ports = await freePorts(options.count * PORTS_PER_HOST);
  const layouts: HostLayout[] = [];
  for (let at = 0; at < options.count; at++) {
    const [callers, operators, listen] = ports
      .slice(at * PORTS_PER_HOST)
      .map(port => `${LOOPBACK_HOST}:${port}`);
    const failureDomain = DOMAINS[at % DOMAINS.length];
    const name = `${failureDomain}-${at + 1}`;
    const links: Forwarder[] = [];
    const addressOf = async (target: string) => {
      if (!options.forwarded) return target;
      const link = await createForwarder(target);
      links.push(link);
      return link.address;
    };
    const platform = {
      objectApi: await addressOf(options.platform.objectApi),
      hostList: await addressOf(options.platform.hostList),
    };
    const peers = await addressOf(listen);
    const layout = {name, failureDomain, callers, operators, listen, peers};
    layouts.push({...layout, platform, links});
  }
  return layouts;
}

function buildSettings(
  layout: HostLayout,
  layouts: readonly HostLayout[],
  options: HostsOptions,
  logs: string,
): object {
  const others = layouts.filter(other => other !== layout);
  return {
    firm: options.firm,
    host: layout.name,
    failureDomain: layout.failureDomain,
    callers: {listen: layout.callers},
    operators: {
      listen: layout.operators,
      keys: [{name: 'demo', sha256: sha256(ADMIN_KEY)}],
    },
    peers: {
      listen: layout.listen,
      secret: options.secret,
      hosts: Object.fromEntries(others.map(o => [o.name, o.peers])),
    },
    platform: layout.platform,
    tracing: {file: join(logs, `${layout.name}.spans.jsonl`)},
    ...options.settings,
  };
}

function createHost(
  group: ProcessGroup,
  layout: HostLayout,
  file: string,
): Host {
  const {name, failureDomain, peers, links} = layout;
  const start = () => group.start(name, DAEMON_SCRIPT, ['--config', file]);
  const operators = `http://${layout.operators}`;
  let running = start();
  return {
    name,
    failureDomain,
    callers: `http://${layout.callers}`,
    operators,
    peers,
    get running() {
      return running;
    },
    restart: () => void (running = start()),
    kill: signal => void running.child.kill(signal),
    ready: async () => (await readJson(`${operators}/readyz`)) !== undefined,
    async versions() {
      const status = await readJson<{hosts: HostVersions[]}>(
        `${operators}/admin/status`,
        ADMIN_KEY,
      );
      return status?.hosts.find(({host}) => host === name);
    },
    cut: () => links.forEach(link => link.cut()),
    cutPeers: () => links.find(link => link.address === peers)?.cut(),
    restore: () => links.forEach(link => link.restore()),
  };
}

/**
 * Waits until hosts serve callers.
 *
 * @example
 * await untilReady(cluster.hosts);
 */
export async function untilReady(hosts: readonly Host[]): Promise<void> {
  await Promise.all(
    hosts.map(host => until(`${host.name} is ready`, () => host.ready())),
  );
}
