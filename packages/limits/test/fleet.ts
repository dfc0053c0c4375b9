import {
  createRandom,
  createSilentLogger,
  id,
  type HostId,
  type PlanName,
  type WorkspaceGrant,
  type WorkspaceId,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {ObjectApi} from '@chivewick/platform';
import {createLimits, type Limits, type Permit} from '../src/index.js';
import {
  createHostFaults,
  createSuspendableNetwork,
  createSuspendableStore,
  installSuspendableTime,
  type SuspendableHost,
} from '@chivewick/stand-ins';

export const WORKSPACE = id<WorkspaceId>('san-fermin');
export const MAX_REQUEST_MS = 20_000;
/** Tokens per second of a plan per slot. */
export const TOKENS_PER_SLOT = 100;
/** Maximum delay until a host sees changed lists. */
const MAX_LIST_LAG_MS = 2_000;

/** A request in progress. */
export interface Running {
  readonly permit: Permit;
  readonly startedMs: number;
}

/** One host of the fleet and what it sees. */
export interface Member {
  process: SuspendableHost;
  limits: Limits;
  running: Running[];
  lists: {version: number; grants: Map<WorkspaceId, WorkspaceGrant>};
  listed: HostId[];
  live: HostId[];
  refused: string[];
}

/** Wraps what a member calls, to violate the protocol on purpose. */
export interface AdapterOverrides {
  peers?: (peers: Peers) => Peers;
  platform?: (platform: ObjectApi) => ObjectApi;
}

export function grantOf(
  concurrency: number,
  tokensPerSecond = concurrency * TOKENS_PER_SLOT,
): WorkspaceGrant {
  return {
    workspace: WORKSPACE,
    plan: id<PlanName>('parish'),
    models: new Map(),
    services: new Map(),
    priority: 1,
    concurrency,
    tokensPerSecond,
  };
}

/** Limits call neither `list` nor `watch`. */
const apiOf = (client: Pick<ObjectApi, 'get' | 'put' | 'remove'>) =>
  client as ObjectApi;

const identity = <T>(value: T): T => value;

/** Runs the real code of several hosts in one process with fake time and faults. */
export function createFleet(options: {
  hosts: number;
  concurrency: number;
  seed: number;
  overrides?: AdapterOverrides;
}) {
  const time = installSuspendableTime();
  const random = createRandom(options.seed);
  const faults = createHostFaults();
  const store = createSuspendableStore(faults, random);
  const network = createSuspendableNetwork(faults, random);
  const hosts = Array.from({length: options.hosts}, (_, i) =>
    id<HostId>(`host-${i}`),
  );
  const violations: string[] = [];
  let listsVersion = 1;
  let grant: WorkspaceGrant | undefined = grantOf(options.concurrency);
  let highestLimit = options.concurrency;
  let listed = [...hosts];

  const start = (host: HostId): Member => {
    const process: SuspendableHost = {host, state: 'running', pendingSteps: []};
    const member: Member = {
      process,
      running: [],
      refused: [],
      lists: {
        version: listsVersion,
        grants: new Map(grant && [[WORKSPACE, grant]]),
      },
      listed,
      live: hosts,
      limits: undefined as unknown as Limits,
    };
    const {peers = identity<Peers>, platform = identity<ObjectApi>} =
      options.overrides ?? {};
    member.limits = time.run(process, () =>
      createLimits({
        self: host,
        platform: platform(apiOf(store.clientOf(process))),
        peers: peers(network.peersOf(process)),
        live: () => member.live,
        listed: () => member.listed,
        lists: () => member.lists,
        log: createSilentLogger(),
        random: createRandom(random.int(2 ** 31)),
        maxRequestMs: MAX_REQUEST_MS,
      }),
    );
    return member;
  };
  const members = hosts.map(start);
  const replaced: Member[] = [];

  const inUse = (member: Member) =>
    member.process.state === 'dead'
      ? 0
      : member.running.filter(
          ({startedMs}) => performance.now() < startedMs + MAX_REQUEST_MS,
        ).length;

  const statusOf = (member: Member) => member.limits.status().workspaces[0];

  /** Checks the invariant that `src/index.ts` states. */
  const check = (when: string) => {
    const alive = [...members, ...replaced].filter(
      ({process}) => process.state !== 'dead',
    );
    const sum = (of: (member: Member) => number) =>
      alive.reduce((all, member) => all + of(member), 0);
    const used = sum(inUse);
    if (used > highestLimit)
      violations.push(`${when}: ${used} in use of ${highestLimit}`);
    const effective = Math.max(
      0,
      ...alive.map(({lists}) => lists.grants.get(WORKSPACE)?.concurrency ?? 0),
    );
    const running = alive.filter(({process}) => process.state === 'running');
    const status = running.map(member => statusOf(member));
    const allowed = status.reduce((all, own) => all + (own?.allowance ?? 0), 0);
    if (allowed > effective) {
      violations.push(`${when}: ${allowed} allowed of ${effective}`);
    }
    const tokens = status.reduce(
      (all, own) => all + (own?.tokensPerSecond ?? 0),
      0,
    );
    if (tokens > effective * TOKENS_PER_SLOT) {
      violations.push(`${when}: ${tokens} tokens/s for ${effective} slots`);
    }
  };

  const recordStart = (member: Member, permit: Permit) => {
    const running = {permit, startedMs: performance.now()};
    member.running.push(running);
    const {inUse: used, allowance} = statusOf(member);
    if (used > allowance)
      violations.push(`${member.process.host} started above its allowance`);
    check(`start on ${member.process.host}`);
    permit.expired.addEventListener('abort', () => end(member, running));
  };

  const end = (member: Member, running: Running) => {
    member.running = member.running.filter(other => other !== running);
    running.permit.release();
  };

  return {
    time,
    faults,
    store,
    members,
    violations,
    check,
    inUse,
    statusOf,
    acquire(index: number, count = 1, tokens = 0) {
      const member = members[index];
      if (member.process.state !== 'running') return;
      const requested = grant ?? grantOf(0);
      for (let i = 0; i < count; i += 1) {
        void time
          .run(member.process, () =>
            member.limits.acquire(
              requested,
              tokens,
              new AbortController().signal,
            ),
          )
          .then(result =>
            result.ok
              ? recordStart(member, result.value)
              : member.refused.push(result.err.kind),
          );
      }
    },
    release(index: number, count = 1) {
      const member = members[index];
      if (member.process.state !== 'running') return;
      time.run(member.process, () =>
        member.running.slice(0, count).forEach(running => end(member, running)),
      );
    },
    crash(index: number) {
      members[index].process.state = 'dead';
    },
    restart(index: number) {
      members[index].process.state = 'dead';
      members[index] = start(hosts[index]);
    },
    pause(index: number) {
      if (members[index].process.state === 'running')
        members[index].process.state = 'paused';
    },
    resume(index: number) {
      if (members[index].process.state === 'paused')
        time.resume(members[index].process);
    },
    /** Changes the host list; suspended hosts keep seeing the old one. */
    setHostListed(index: number, present: boolean) {
      const host = hosts[index];
      listed = listed.filter(other => other !== host);
      if (present) listed = [...listed, host];
      for (const member of members)
        if (member.process.state === 'running') member.listed = listed;
    },
    setLimit(concurrency: number | undefined) {
      grant = concurrency === undefined ? undefined : grantOf(concurrency);
      highestLimit = Math.max(highestLimit, concurrency ?? 0);
      listsVersion += 1;
      const lists = {
        version: listsVersion,
        grants: new Map(grant && [[WORKSPACE, grant]]),
      };
      members.forEach((member, i) =>
        setTimeout(() => {
          const latest = members[i];
          if (latest === member && lists.version > member.lists.version)
            member.lists = lists;
        }, random.int(MAX_LIST_LAG_MS)),
      );
    },
    async close() {
      await Promise.all(members.map(({limits}) => limits.close()));
      time.uninstall();
    },
  };
}

export type Fleet = ReturnType<typeof createFleet>;
