/** Deployment of one firm: stand-ins and hosts, each in its own process. */
import {id, type ModelName} from '@chivewick/common';
import {expectedText} from '@chivewick/stand-ins';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  DOMAINS,
  ENGINES,
  MODEL,
  startEngine,
  type Engine,
  type EngineSpec,
} from './engines.js';
import {ADMIN_KEY, startHosts, untilReady, type Host} from './hosts.js';
import {postJson, readJson, sendJson} from './http.js';
import {
  applyList,
  DEMO_PLANS,
  entitlementsWith,
  untilInEffect,
} from './lists.js';
import {createProcessGroup, type ProcessGroup} from './processes.js';
import {until} from './wait.js';

/** An entry of the platform's host list. */
export interface ListedEntry {
  id: string;
  kind: 'host' | 'endpoint' | 'service';
  name?: string;
  address: string;
  failureDomain: string;
  state: 'live' | 'leaving';
}

/** Size and settings of a cluster. */
export interface ClusterOptions {
  /** Number of hosts. */
  readonly hosts: number;
  readonly engines?: readonly EngineSpec[];
  readonly firm?: string;
  readonly secret?: string;
  /** Whether hosts reach the platform and each other through forwarders that can
   * be cut. */
  readonly forwarded?: boolean;
  /** Additional entries of the host list, such as endpoints of a bench. */
  readonly extraEntries?: readonly ListedEntry[];
  /** Settings of every host that override those of the harness. */
  readonly settings?: Record<string, unknown>;
}

/** All processes of one deployment. */
export interface Cluster {
  readonly group: ProcessGroup;
  readonly objectApi: string;
  readonly hostList: string;
  readonly weightStore: string;
  readonly engines: readonly Engine[];
  readonly service: string;
  readonly hosts: readonly Host[];
  /** Sets faults of the object API stand-in. */
  setPlatformFaults(faults: object): Promise<void>;
  /** Maps every entry of the host list through `change`. */
  updateHostList(change: (entry: ListedEntry) => ListedEntry): Promise<void>;
  /** Marks an endpoint as leaving in the host list. */
  markLeaving(endpoint: string): Promise<void>;
  /** Number of runs of each idempotency key, as counted by the service. */
  runs(): Promise<Record<string, number>>;
  /** Ends every process and removes the logs, unless `keepLogs` or the environment
   * variable CHIVEWICK_KEEP_LOGS is set. */
  close(options?: {keepLogs?: boolean}): Promise<void>;
}

const FIRM = 'diocese';
const SECRET = 'demo-secret-of-the-hosts';

/**
 * Starts the stand-ins and the hosts; the hosts have no lists yet.
 *
 * @example
 * const cluster = await startCluster({hosts: 2});
 * await applyDemoLists(cluster);
 * await cluster.close();
 */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const logs = await mkdtemp(join(tmpdir(), 'chivewick-'));
  const group = createProcessGroup(logs);
  try {
    return await startProcesses(group, options);
  } catch (err) {
    await group.stopAll();
    throw err;
  }
}

async function startProcesses(
  group: ProcessGroup,
  options: ClusterOptions,
): Promise<Cluster> {
  const [objectApi, hostList, weights, service, ...engines] = await Promise.all(
    [
      group.startStandIn('object-api', 'object-api'),
      group.startStandIn('host-list', 'host-list'),
      group.startStandIn('weight-store', 'weight-store'),
      group.startStandIn('bookings', 'service'),
      ...(options.engines ?? ENGINES).map((spec, index) =>
        startEngine(group, `engine-${index + 1}`, spec),
      ),
    ] as const,
  );
  const {hosts, links} = await startHosts(group, {
    count: options.hosts,
    firm: options.firm ?? FIRM,
    secret: options.secret ?? SECRET,
    platform: {objectApi: objectApi.address, hostList: hostList.address},
    forwarded: options.forwarded ?? false,
    settings: options.settings,
  });
  let entries = [
    ...listEntries(engines, service.address, hosts),
    ...(options.extraEntries ?? []),
  ];
  const putEntries = () =>
    sendJson('PUT', `http://${hostList.address}/hosts`, {entries});
  await putEntries();
  const updateHostList: Cluster['updateHostList'] = async change => {
    entries = entries.map(change);
    await putEntries();
  };
  return {
    group,
    objectApi: objectApi.address,
    hostList: hostList.address,
    weightStore: weights.address,
    engines,
    service: service.address,
    hosts,
    setPlatformFaults: faults =>
      postJson(`http://${objectApi.address}/faults`, faults),
    updateHostList,
    markLeaving: endpoint =>
      updateHostList(e => (e.id === endpoint ? {...e, state: 'leaving'} : e)),
    async runs() {
      const url = `http://${service.address}/runs`;
      const counts = await readJson<{keys: Record<string, number>}>(url);
      if (counts === undefined) throw new Error('the service did not respond');
      // Services receive each key prefixed with its workspace and a colon.
      return Object.fromEntries(
        Object.entries(counts.keys).map(([key, runs]) => [
          key.slice(key.indexOf(':') + 1),
          runs,
        ]),
      );
    },
    async close({keepLogs = false} = {}) {
      await group.stopAll();
      await Promise.all(links.map(link => link.close()));
      if (!keepLogs && process.env['CHIVEWICK_KEEP_LOGS'] === undefined)
        await rm(group.logs, {recursive: true, force: true});
    },
  };
}

function listEntries(
  engines: readonly Engine[],
  service: string,
  hosts: readonly Host[],
): ListedEntry[] {
  return [
    ...engines.map(({id, address, spec}) => ({
      id,
      kind: 'endpoint' as const,
      address,
      failureDomain: DOMAINS[spec.domain],
      state: 'live' as const,
    })),
    {
      id: 'bookings-1',
      kind: 'service',
      name: 'bookings',
      address: service,
      failureDomain: DOMAINS[0],
      state: 'live',
    },
    ...hosts.map(({name, peers, failureDomain}) => ({
      id: name,
      kind: 'host' as const,
      address: peers,
      failureDomain,
      state: 'live' as const,
    })),
  ];
}

/**
 * Applies the demo's lists, and waits until every host serves with them and, if
 * there are engines, has a route.
 *
 * @example
 * await applyDemoLists(cluster, {concurrency: 8});
 */
export async function applyDemoLists(
  {hosts, engines}: Cluster,
  plan: Parameters<typeof entitlementsWith>[0] = {},
): Promise<void> {
  await Promise.all(hosts.map(untilAdminApiResponds));
  await applyList(hosts[0], 'entitlements', entitlementsWith(plan));
  const version = await applyList(hosts[0], 'plans', DEMO_PLANS);
  await untilInEffect(hosts, 'plans', version);
  await untilReady(hosts);
  if (engines.length > 0) await Promise.all(hosts.map(untilRouteAvailable));
}

/**
 * Waits until a host's administration API responds; throws if the process ends.
 *
 * @example
 * await untilAdminApiResponds(host);
 */
export async function untilAdminApiResponds(host: Host): Promise<void> {
  const {name, operators} = host;
  await until(`the administration API of ${name} responds`, async () => {
    if (!host.running.alive())
      throw new Error(`${name} ended: ${host.running.errors()}`);
    return (await readJson(`${operators}/livez`)) !== undefined;
  });
}

/**
 * Waits until a host can choose a route for the model.
 *
 * @example
 * await untilRouteAvailable(host);
 */
export async function untilRouteAvailable({
  name,
  operators,
}: Host): Promise<void> {
  const url = `${operators}/admin/routes/${MODEL.name}`;
  await until(
    `${name} has a route`,
    async () => (await readJson(url, ADMIN_KEY)) !== undefined,
  );
}

/**
 * Text that a completion without faults returns.
 *
 * @example
 * assert.equal(result.text, expectedDraft('Advent', 24));
 */
export function expectedDraft(prompt: string, maxTokens: number): string {
  return expectedText({
    model: id<ModelName>(MODEL.name),
    version: MODEL.version,
    adapter: '',
    layers: MODEL.layers,
    prompt,
    maxTokens,
  });
}
