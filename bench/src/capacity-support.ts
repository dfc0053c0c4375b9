import {
  createSilentLogger,
  id,
  type HostId,
  type ModelGrant,
  type WorkspaceGrant,
} from '@chivewick/common';

/** Figures of one role at one size. */
export interface Measurement {
  /** Heap that stays reachable. */
  readonly heapBytes?: number;
  /** Processor time of one operation on all items. */
  readonly cpuUs?: number;
  /** Bytes on the wire or in the store. */
  readonly wireBytes?: number;
  readonly platformWrites?: number;
}

export const log = createSilentLogger();
export const SELF = id<HostId>('host-1');

/** A grant whose limits no request of the bench reaches. */
export function grantOf(workspace: string): WorkspaceGrant {
  const model: ModelGrant = {
    model: id('rota-draft'),
    version: 'v1',
    layers: 24,
    adapters: [],
  };
  return {
    workspace: id(workspace),
    plan: id('parish'),
    models: new Map([[model.model, model]]),
    services: new Map(),
    priority: 1,
    concurrency: 10_000,
    tokensPerSecond: 1_000_000,
  };
}
