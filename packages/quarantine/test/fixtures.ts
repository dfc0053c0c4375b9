import {
  createSilentLogger,
  fail,
  id,
  ok,
  type EndpointId,
  type HostId,
  type ModelName,
  type WorkspaceId,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {ObjectApi, StoredObject} from '@chivewick/platform';
import {createQuarantine, type Quarantine} from '../src/index.js';

export const MODEL = id<ModelName>('rota-draft');
export const WORKSPACE = id<WorkspaceId>('san-fermin');

/** Creates a request; the same body gives the same fingerprint. */
export function requestOf(body: string) {
  return {workspace: WORKSPACE, model: MODEL, body};
}

export function endpointOf(index: number): EndpointId {
  return id<EndpointId>(`e${index}`);
}

type Handler = (params: never, from: HostId) => unknown;

/** In-memory peers; calls from and to the hosts in `isolated` fail. */
export function createMemoryPeers(
  hosts: readonly HostId[],
  isolated: Set<HostId>,
) {
  const handlers = new Map<string, Handler>();
  return (self: HostId): Peers =>
    ({
      self,
      knownHosts: () => hosts.filter(host => host !== self),
      handle: (method: string, handler: Handler) =>
        handlers.set(`${self} ${method}`, handler),
      async call(to: HostId, method: string, params: unknown) {
        await new Promise(resolve => setTimeout(resolve, 1));
        const handler = handlers.get(`${to} ${method}`);
        if (handler === undefined || isolated.has(to) || isolated.has(self))
          return fail('endpoint_failed', 'connection refused');
        return ok(await handler(structuredClone(params) as never, self));
      },
    }) as unknown as Peers;
}

/** The part of the object API that quarantine uses, in memory. */
export function createMemoryObjects() {
  const objects = new Map<string, StoredObject>();
  let version = 0;
  const api = {
    get: (key: string) => Promise.resolve(ok(objects.get(key))),
    list: (prefix: string) =>
      Promise.resolve(
        ok([...objects.values()].filter(({key}) => key.startsWith(prefix))),
      ),
    put(key: string, value: unknown, expected: number | 'absent') {
      const currentVersion = objects.get(key)?.version ?? 'absent';
      if (currentVersion !== expected)
        return Promise.resolve({kind: 'conflict'});
      objects.set(key, {key, version: ++version, value});
      return Promise.resolve({kind: 'written', version});
    },
    remove(key: string) {
      objects.delete(key);
      return Promise.resolve({kind: 'written', version: ++version});
    },
  };
  return {api: api as unknown as ObjectApi, objects};
}

/** Quarantines of several hosts that share in-memory peers and one store. */
export function createHosts(count: number) {
  const names = Array.from({length: count}, (_, index) =>
    id<HostId>(`host-${index}`),
  );
  const isolated = new Set<HostId>();
  const peersOf = createMemoryPeers(names, isolated);
  const {api, objects} = createMemoryObjects();
  const hosts = names.map((name): Quarantine =>
    createQuarantine({
      platform: api,
      peers: peersOf(name),
      secret: 'firm-secret',
      log: createSilentLogger(),
    }),
  );
  const close = () => Promise.all(hosts.map(host => host.close()));
  return {names, isolated, hosts, objects, close, api, peersOf};
}
