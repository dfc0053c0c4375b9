import {
  createSilentLogger,
  fail,
  id,
  ok,
  type EndpointId,
  type HostId,
  type ModelName,
  type Random,
  type WorkspaceId,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {ObjectApi} from '@chivewick/platform';
import {createQuarantine, type Quarantine} from '@chivewick/quarantine';

const RUN_MS = 400;
const CRASH_AFTER_MS = 100;
/** Endpoints of the route of one request. */
const STAGES = 2;
const PEER_MS = 1;
const MOST_TRIES = 5;

/** What a host does about requests that crash endpoints. */
export interface Guard {
  /** Whether a request may run on a route; resolves to its release. */
  enter(
    body: string,
    endpoints: readonly EndpointId[],
  ): Promise<(() => void) | 'refused'>;
  crashed(endpoint: EndpointId, bodies: readonly string[]): Promise<void>;
}

/** A request's content that crashes every endpoint that runs it. */
export const BAD = 'crash';

interface Attempt {
  readonly host: number;
  readonly body: string;
  readonly failed: (endpoint: EndpointId) => void;
}

/** Endpoints that die of one request, and hosts that run requests on them. */
export interface Fleet {
  run(host: number, body: string): Promise<'done' | 'refused' | 'failed'>;
  lost(): number;
}

/** Creates a fleet of live endpoints. */
export function createFleet(
  guards: readonly Guard[],
  endpoints: number,
  random: Random,
): Fleet {
  const alive = new Set(
    Array.from({length: endpoints}, (_, index) => id<EndpointId>(`e${index}`)),
  );
  const on = new Map<EndpointId, Set<Attempt>>();

  function die(endpoint: EndpointId): void {
    if (!alive.delete(endpoint)) return;
    for (const attempt of [...(on.get(endpoint) ?? [])])
      attempt.failed(endpoint);
  }

  function drawRoute(): EndpointId[] {
    const left = [...alive];
    return Array.from({length: Math.min(STAGES, left.length)}, () => {
      const [drawn] = left.splice(random.int(left.length), 1);
      return drawn;
    });
  }

  /** Resolves to the endpoint that died, or undefined when it is done. */
  function attempt(
    host: number,
    body: string,
    route: readonly EndpointId[],
  ): Promise<EndpointId | undefined> {
    return new Promise(resolve => {
      const end = (dead?: EndpointId): void => {
        clearTimeout(timer);
        // The others on the dead endpoint are reported with it.
        for (const endpoint of route)
          if (endpoint !== dead) on.get(endpoint)?.delete(running);
        resolve(dead);
      };
      const running = {host, body, failed: end};
      for (const endpoint of route) {
        const here = on.get(endpoint) ?? new Set();
        on.set(endpoint, here.add(running));
      }
      const timer = setTimeout(
        () => (body === BAD ? die(route[0]) : end()),
        body === BAD ? CRASH_AFTER_MS : RUN_MS,
      );
    });
  }

  async function run(
    host: number,
    body: string,
  ): Promise<'done' | 'refused' | 'failed'> {
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const route = drawRoute();
      if (route.length < STAGES) return 'failed';
      const leave = await guards[host].enter(body, route);
      if (leave === 'refused') return 'refused';
      const started = route.every(endpoint => alive.has(endpoint));
      const dead = started ? await attempt(host, body, route) : undefined;
      if (dead !== undefined) {
        const bodies = [...(on.get(dead) ?? [])]
          .filter(other => other.host === host)
          .map(other => other.body);
        await guards[host].crashed(dead, bodies);
      }
      leave();
      if (started && dead === undefined) return 'done';
    }
    return 'failed';
  }

  return {run, lost: () => endpoints - alive.size};
}

/** Quarantines of all hosts, over peers and a store in memory. */
export function createQuarantines(count: number): {
  guards: Guard[];
  close(): Promise<void>;
} {
  const names = Array.from({length: count}, (_, at) =>
    id<HostId>(`host-${at}`),
  );
  const handlers = new Map<
    string,
    (params: unknown, from: HostId) => unknown
  >();
  const peersOf = (self: HostId): Peers =>
    ({
      self,
      known: () => names.filter(name => name !== self),
      handle: (method: string, handler: () => unknown) =>
        handlers.set(`${self} ${method}`, handler),
      async call(to: HostId, method: string, params: unknown) {
        await new Promise(resolve => setTimeout(resolve, PEER_MS));
        const handler = handlers.get(`${to} ${method}`);
        return handler === undefined
          ? fail('endpoint_failed', 'unknown method')
          : ok(await handler(structuredClone(params), self));
      },
    }) as unknown as Peers;
  const platform = {
    get: () => Promise.resolve(ok(undefined)),
    put: () => Promise.resolve({kind: 'written', version: 1}),
  } as unknown as ObjectApi;
  const all = names.map(name =>
    createQuarantine({
      platform,
      peers: peersOf(name),
      secret: 'firm-secret',
      log: createSilentLogger(),
    }),
  );
  return {
    guards: all.map(guardOf),
    close: async () => {
      await Promise.all(all.map(quarantine => quarantine.close()));
    },
  };
}

function guardOf(quarantine: Quarantine): Guard {
  const print = (body: string): string =>
    quarantine.fingerprint({
      workspace: id<WorkspaceId>('w'),
      model: id<ModelName>('m'),
      body,
    });
  return {
    async enter(body, endpoints) {
      const permit = await quarantine.admitRetry(print(body), endpoints);
      return permit.ok ? permit.value.done : 'refused';
    },
    crashed: (endpoint, bodies) =>
      quarantine.reportCrash(endpoint, bodies.map(print)),
  };
}

/** Baseline: a host refuses a request after two crashes that it saw itself. */
export function createLocalCounter(): Guard {
  const crashes = new Map<string, number>();
  return {
    enter: body =>
      Promise.resolve((crashes.get(body) ?? 0) >= 2 ? 'refused' : () => {}),
    crashed(_, bodies) {
      for (const body of bodies)
        crashes.set(body, (crashes.get(body) ?? 0) + 1);
      return Promise.resolve();
    },
  };
}

/** Baseline: every request may always run. */
export function createNoGuard(): Guard {
  return {
    enter: () => Promise.resolve(() => {}),
    crashed: () => Promise.resolve(),
  };
}
