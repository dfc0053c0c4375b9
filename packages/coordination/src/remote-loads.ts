import type {FailureDomain, HostId} from '@chivewick/common';
import type {DomainPipe, EndpointLoad} from './types.js';

/**
 * Age at which a summary is dropped: five intervals between the summaries of a
 * coordinator.
 */
const MAX_AGE_MS = 1_250;

/** Load that a coordinator of another failure domain reports. */
export interface RemoteSummary {
  readonly loads: readonly EndpointLoad[];
  /** Streams started since the previous summary. */
  readonly started: number;
  /** Use of the pipes by the streams of that failure domain. */
  readonly pipes: readonly DomainPipe[];
}

/** The newest summaries of the coordinators of other failure domains. */
export interface RemoteLoads {
  replace(coordinator: HostId, summary: RemoteSummary): void;
  /** Loads of all coordinators that have reported recently. */
  loads(): EndpointLoad[];
  /** Coordinators that have reported recently. */
  coordinators(): HostId[];
  /** Utilization of the pipe between two failure domains by those streams. */
  pipeUtilization(a: FailureDomain, b: FailureDomain): number;
  /** Streams that the others start between two of their summaries. */
  unseenStarts(): number;
}

/**
 * Creates an empty table.
 *
 * @example
 * remote.replace(coordinator, {loads, started: 12, pipes});
 * const others = remote.loads();
 */
export function createRemoteLoads(
  now: () => number = () => performance.now(),
): RemoteLoads {
  const summaries = new Map<HostId, RemoteSummary & {readonly atMs: number}>();

  function dropOld(): void {
    const cutoffMs = now() - MAX_AGE_MS;
    for (const [coordinator, {atMs}] of summaries)
      if (atMs < cutoffMs) summaries.delete(coordinator);
  }

  function recent(): RemoteSummary[] {
    dropOld();
    return [...summaries.values()];
  }

  return {
    replace: (coordinator, summary) =>
      void summaries.set(coordinator, {...summary, atMs: now()}),
    loads: () => recent().flatMap(({loads}) => loads),
    coordinators() {
      dropOld();
      return [...summaries.keys()];
    },
    pipeUtilization: (a, b) =>
      recent()
        .flatMap(({pipes}) => pipes)
        .filter(
          ({from, to}) => (from === a && to === b) || (from === b && to === a),
        )
        .reduce((total, {utilization}) => total + utilization, 0),
    unseenStarts: () =>
      recent().reduce((total, {started}) => total + started, 0),
  };
}
