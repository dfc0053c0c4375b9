import {
  createRandom,
  createSilentLogger,
  id,
  type EndpointId,
  type HostId,
} from '@chivewick/common';
import {createRetryPool, type Grantor} from '@chivewick/coordination';
import {createCoordinator} from '../src/coordination/coordinator.js';
import type {EndpointTable} from '../src/endpoint-table.js';
import type {RoutingConfig} from '../src/types.js';
import {config} from './harness.js';

export const SELF = id<HostId>('coordinator');
export const GRANTOR = id<Grantor>('coordinator@1');
export const WARM_UP_MS = 1_200;

/** Creates a coordinator that has just started, with the engines of a table. */
export function createTestCoordinator(
  table: EndpointTable,
  routing: RoutingConfig = config(),
) {
  const verified: EndpointId[] = [];
  const retries = createRetryPool({
    host: SELF,
    startedAtMs: 1,
    grantor: GRANTOR,
    ratio: 0.2,
    windowMs: 10_000,
    own: () => [],
  });
  const coordinator = createCoordinator({
    self: SELF,
    table,
    grantor: GRANTOR,
    retries,
    mayGrantRetries: () => true,
    isAlone: () => false,
    budget: {isAvailable: () => true, take: () => true},
    config: () => routing,
    localDomain: () => 0,
    random: createRandom(1),
    log: createSilentLogger(),
    verify: state => verified.push(state.record.id),
  });
  return {coordinator, retries, verified};
}
