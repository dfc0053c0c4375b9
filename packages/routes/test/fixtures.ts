import {
  fail,
  id,
  ok,
  type EndpointId,
  type FailureDomain,
  type ModelName,
} from '@chivewick/common';
import type {EngineApi, EngineStatus, LayerRange} from '@chivewick/engines';
import type {HostListEntry, RouteRequest} from '../src/index.js';

export const MODEL = id<ModelName>('rota-draft');

/** Status of an idle engine in zone-a, with the given changes. */
export function statusOf(
  name: string,
  layers: LayerRange,
  change: Partial<EngineStatus> = {},
): EngineStatus {
  return {
    endpoint: id<EndpointId>(name),
    instance: `${name}-1`,
    model: MODEL,
    version: 'v1',
    adapters: [],
    layers,
    role: 'stage',
    accelerator: 'a',
    failureDomain: id<FailureDomain>('zone-a'),
    state: 'live',
    fencing: true,
    load: {running: 0, queued: 0, kvFree: 1e6, kvTotal: 1e6, ageMs: 0},
    decodeUs: 100,
    prefillUs: 10,
    ...change,
  };
}

/** Engine API over in-memory statuses; an address without one refuses polls. */
export function fakeEngines(statuses: Map<string, EngineStatus>): EngineApi {
  return {
    status: (address: string) =>
      Promise.resolve(
        statuses.has(address)
          ? ok(statuses.get(address) as EngineStatus)
          : fail('endpoint_failed', 'connection refused'),
      ),
    cacheEvents: () => Promise.resolve(ok({events: [], next: 0})),
  } as unknown as EngineApi;
}

export function entryOf(
  status: EngineStatus,
  state: 'live' | 'leaving' = 'live',
): HostListEntry {
  return {
    id: status.endpoint,
    kind: 'endpoint',
    address: status.endpoint,
    failureDomain: status.failureDomain,
    state,
  };
}

export function requestOf(change: Partial<RouteRequest> = {}): RouteRequest {
  return {
    model: MODEL,
    version: 'v1',
    layers: 24,
    adapter: '',
    prompt: 'Draft the rota for the feast of San Fermin.',
    exclude: new Set(),
    ...change,
  };
}
