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
const MAX_TRIES = 5;

/** How a host handles requests that crash endpoints. */
export interface Guard {
  /** Resolves to a release function if the request may run on the route. */
  acquire(
    body: string,
    endpoints: readonly EndpointId[],
  ): Promise<(() => void) | 'refused'>;
  crashed(endpoint: EndpointId, bodies: readonly string[]): Promise<void>;
}

/** Body of a request that crashes every endpoint that runs it. */
export const CRASHING_BODY = 'crash';

interface Attempt {
  readonly host: number;
  readonly body: string;
  readonly failed: (endpoint: EndpointId) => void;
}

/** Endpoints that a request may crash, and hosts that run requests on them. */
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
  const attemptsOn = new Map<EndpointId, Set<Attempt>>();

  function crash(endpoint: EndpointId): void {
    if (!alive.delete(endpoint)) return;
    for (const attempt of [...(attemptsOn.get(endpoint) ?? [])])
      attempt.failed(endpoint);
  }

  function drawRoute(): EndpointId[] {
    const remaining = [...alive];
    return Array.from({length: Math.min(STAGES, remaining.length)}, () => {
      const [drawn] = remaining.splice(random.int(remaining.length), 1);
      return drawn;
    });
  }

  /**
   * Resolves to the endpoint that crashed, or undefined if the request
   * completed.
   */
  function attempt(
    host: number,
    body: string,
    route: readonly EndpointId[],
  ): Promise<EndpointId | undefined> {
    return new Promise(resolve => {
      const end = (crashed?: EndpointId): void => {
        clearTimeout(timer);
        // Attempts stay listed on the crashed endpoint: all of them are
        // reported.
        for (const endpoint of route)
          if (endpoint !== crashed) attemptsOn.get(endpoint)?.delete(running);
        resolve(crashed);
      };
      const running = {host, body, failed: end};
      for (const endpoint of route) {
        const attempts = attemptsOn.get(endpoint) ?? new Set();
        attemptsOn.set(endpoint, attempts.add(running));
      }
      const timer = setTimeout(
        () => (body === CRASHING_BODY ? crash(route[0]) : end()),
        body === CRASHING_BODY ? CRASH_AFTER_MS : RUN_MS,
      );
    });
  }

  async function run(
    host: number,
    body: string,
  ): Promise<'done' | 'refused' | 'failed'> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const route = drawRoute();
      if (route.length < STAGES) return 'failed';
      const release = await guards[host].acquire(body, route);
      if (release === 'refused') return 'refused';
      const started = route.every(endpoint => alive.has(endpoint));
      const crashed = started ? await attempt(host, body, route) : undefined;
      if (crashed !== undefined) {
        const bodies = [...(attemptsOn.get(crashed) ?? [])]
          .filter(other => other.host === host)
          .map(other => other.body);
        await guards[host].crashed(crashed, bodies);
      }
      release();
      if (started && crashed === undefined) return 'done';
    }
    return 'failed';
  }

  return {run, lost: () => endpoints - alive.size};
}

/** Creates the quarantines of all hosts, with in-memory peers and store. */
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
      knownHosts: () => names.filter(name => name !== self),
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
  const fingerprintOf = (body: string): string =>
    quarantine.fingerprint({
      workspace: id<WorkspaceId>('w'),
      model: id<ModelName>('m'),
      body,
    });
  return {
    async acquire(body, endpoints) {
      const permit = await quarantine.admitRetry(
        fingerprintOf(body),
        endpoints,
      );
      return permit.ok ? permit.value.done : 'refused';
    },
    crashed: (endpoint, bodies) =>
      quarantine.reportCrash(endpoint, bodies.map(fingerprintOf)),
  };
}

/**
 * Baseline: a host refuses a request after two crashes that it observed itself.
 */
export function createLocalCounter(): Guard {
  const crashes = new Map<string, number>();
  return {
    acquire: body =>
      Promise.resolve((crashes.get(body) ?? 0) >= 2 ? 'refused' : () => {}),
    crashed(_, bodies) {
      for (const body of bodies)
        crashes.set(body, (crashes.get(body) ?? 0) + 1);
      return Promise.resolve();
    },
  };
}

/** Baseline: every request may run. */
export function createNoGuard(): Guard {
  return {
    acquire: () => Promise.resolve(() => {}),
    crashed: () => Promise.resolve(),
  };
}
