import {
  createRandom,
  id,
  type HostId,
  type PlanName,
  type WorkspaceGrant,
  type WorkspaceId,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {ObjectApi} from '@chivewick/platform';
import {
  createHostFaults,
  createSuspendableNetwork,
  createSuspendableStore,
  installSuspendableTime,
  type SuspendableHost,
} from '@chivewick/stand-ins';
import {POLICIES, type HostPolicy, type PolicyName} from './limits-policies.js';

const MEAN_HOLD_MS = 800;
const MIN_HOLD_MS = 50;

interface Node {
  readonly process: SuspendableHost;
  readonly policy: HostPolicy;
  /** Requests in progress of each workspace. */
  readonly used: Map<WorkspaceId, number>;
}

/** Counts of a run. */
export interface Counts {
  requests: number;
  refused: number;
  /** Starts that raised the total number in use above the plan. */
  overGrants: number;
  messages: number;
}

export function makeGrant(
  name: string,
  concurrency: number,
  tokensPerSecond = 1_000_000,
): WorkspaceGrant {
  return {
    workspace: id<WorkspaceId>(name),
    plan: id<PlanName>(name),
    models: new Map(),
    services: new Map(),
    priority: 1,
    concurrency,
    tokensPerSecond,
  };
}

/**
 * Creates hosts with one policy in simulated time; every start is checked
 * against the plan.
 */
export function createLimitsHarness(options: {
  policy: PolicyName;
  hosts: number;
  seed: number;
  grants: readonly WorkspaceGrant[];
}) {
  const time = installSuspendableTime();
  const random = createRandom(options.seed);
  const faults = createHostFaults();
  const store = createSuspendableStore(faults, random);
  const network = createSuspendableNetwork(faults, random);
  const hosts = Array.from({length: options.hosts}, (_, at) =>
    id<HostId>(`host-${at}`),
  );
  const grants = new Map(options.grants.map(grant => [grant.workspace, grant]));
  const counts: Counts = {requests: 0, refused: 0, overGrants: 0, messages: 0};

  const countCalls = (peers: Peers): Peers => ({
    ...peers,
    call(to, method, params, callOptions) {
      counts.messages += 1;
      return peers.call(to, method, params, callOptions);
    },
  });

  const start = (self: HostId): Node => {
    const process: SuspendableHost = {
      host: self,
      state: 'running',
      pendingSteps: [],
    };
    const policy = time.run(process, () =>
      POLICIES[options.policy]({
        self,
        hosts,
        peers: countCalls(network.peersOf(process)),
        platform: store.clientOf(process) as unknown as ObjectApi,
        lists: {version: 1, grants},
        random,
      }),
    );
    return {process, policy, used: new Map()};
  };
  const nodes = hosts.map(start);

  const inUse = (workspace: WorkspaceId) =>
    nodes.reduce((sum, {used}) => sum + (used.get(workspace) ?? 0), 0);

  const change = (node: Node, workspace: WorkspaceId, by: number) =>
    node.used.set(workspace, (node.used.get(workspace) ?? 0) + by);

  const run = async (
    node: Node,
    grant: WorkspaceGrant,
    holdMs: number,
    tokens: number,
  ): Promise<boolean> => {
    const release = await node.policy.acquire(grant, tokens);
    if (release === undefined) {
      counts.refused += 1;
      return false;
    }
    change(node, grant.workspace, 1);
    if (inUse(grant.workspace) > grant.concurrency) counts.overGrants += 1;
    setTimeout(() => {
      change(node, grant.workspace, -1);
      release();
    }, holdMs);
    return true;
  };

  const exponential = (mean: number) => -mean * Math.log(1 - random.next());

  return {
    time,
    random,
    faults,
    store,
    counts,
    inUse,
    exponential,
    usedOn: (at: number, workspace: WorkspaceId) =>
      nodes[at].used.get(workspace) ?? 0,
    /**
     * Starts a request on a running host; resolves to true if it got a slot.
     */
    async request(
      at: number,
      grant: WorkspaceGrant,
      holdMs = MIN_HOLD_MS + exponential(MEAN_HOLD_MS - MIN_HOLD_MS),
      tokens = 0,
    ): Promise<boolean> {
      const node = nodes[at];
      if (node.process.state !== 'running') return false;
      counts.requests += 1;
      return time.run(node.process, () => run(node, grant, holdMs, tokens));
    },
    pause(at: number, ms: number) {
      const {process} = nodes[at];
      if (process.state !== 'running') return;
      process.state = 'paused';
      setTimeout(() => process.state === 'paused' && time.resume(process), ms);
    },
    restart(at: number) {
      nodes[at].process.state = 'dead';
      nodes[at] = start(hosts[at]);
    },
    close() {
      for (const {policy} of nodes) policy.close();
      time.uninstall();
    },
  };
}

export type LimitsHarness = ReturnType<typeof createLimitsHarness>;

/**
 * Requests per second that keep a fraction `load` of the plan's slots in use.
 */
export function arrivalsPerSecond(concurrency: number, load: number): number {
  return (load * concurrency * 1000) / MEAN_HOLD_MS;
}
