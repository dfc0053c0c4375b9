import {
  fail,
  ok,
  type HostId,
  type Random,
  type Result,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import {consumeFault, type HostFaults} from './host-faults.js';
import {
  runStep,
  runOutsideHosts,
  type SuspendableHost,
} from './suspendable-time.js';

type Handler = (params: unknown, from: HostId) => unknown;

/**
 * Creates a network in memory between processes that can be paused. Values are
 * copied through JSON, as on the wire.
 *
 * @example
 * const network = createSuspendableNetwork(faults, random);
 * const peers = network.peersOf(host);
 */
export function createSuspendableNetwork(faults: HostFaults, random: Random) {
  const nodes = new Map<
    HostId,
    {process: SuspendableHost; handlers: Map<string, Handler>}
  >();
  const deliver = (process: SuspendableHost, step: () => void) => {
    const ms = 1 + random.int(20) + random.int(faults.slowMs + 1);
    runOutsideHosts(() => setTimeout(() => runStep(process, step), ms));
  };
  const call = (
    process: SuspendableHost,
    to: HostId,
    method: string,
    params: unknown,
    timeoutMs: number,
  ) =>
    new Promise<Result<unknown>>(resolve => {
      const node = nodes.get(to);
      const requestText = JSON.stringify(params);
      setTimeout(() => resolve(fail('deadline_exceeded', method)), timeoutMs);
      const isCut = () =>
        faults.isolatedHosts.has(process.host) !== faults.isolatedHosts.has(to);
      if (node === undefined || isCut() || consumeFault(faults, 'loseRequests'))
        return;
      deliver(node.process, () => {
        void (async () => {
          const handler = node.handlers.get(method);
          const value = await handler?.(JSON.parse(requestText), process.host);
          const response = JSON.stringify(value ?? null);
          if (isCut() || consumeFault(faults, 'loseAnswers')) return;
          deliver(process, () => resolve(ok(JSON.parse(response))));
        })();
      });
    });
  return {
    /** Adds a process to the network; it replaces an earlier process of the host. */
    peersOf(process: SuspendableHost): Peers {
      const handlers = new Map<string, Handler>();
      nodes.set(process.host, {process, handlers});
      return {
        self: process.host,
        handle: (method, handler) =>
          void handlers.set(method, handler as Handler),
        call: (to, method, params, {timeoutMs}) =>
          call(process, to, method, params, timeoutMs) as Promise<
            Result<never>
          >,
        knownHosts: () =>
          [...nodes.keys()].filter(host => host !== process.host),
        setAddress: () => {},
        bytes: () => ({sent: 0, received: 0}),
        close: async () => {},
      };
    },
  };
}
