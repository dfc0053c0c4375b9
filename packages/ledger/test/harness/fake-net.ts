import {fail, ok, type HostId, type Random} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import {delay, type Gate} from './gate.js';

/** In-memory network between the hosts of a harness, with injected faults. */
export interface FakeNet {
  /** Hosts that lose all messages to and from other hosts. */
  readonly isolated: Set<HostId>;
  /** Pairs of hosts, as `a b`, that cannot connect to each other. */
  readonly broken: Set<string>;
  /** Number of requests to lose, starting with the next. */
  loseRequests: number;
  /** Number of responses to lose, starting with the next. */
  loseResponses: number;
  /** Number of requests to delay by 3 s, starting with the next. */
  delayRequests: number;
  join(self: HostId, gate: Gate): Peers;
}

type Handler = (params: unknown, from: HostId) => unknown;

const REQUEST_DELAY_MS = 3_000;

export function createFakeNet(random: Random): FakeNet {
  const hosts = new Map<HostId, {gate: Gate; handlers: Map<string, Handler>}>();
  const never = new Promise<never>(() => {});
  const copy = <T>(value: T) => JSON.parse(JSON.stringify(value ?? null)) as T;
  const isIsolated = (a: HostId, b: HostId) =>
    net.isolated.has(a) || net.isolated.has(b);
  const isLinkBroken = (a: HostId, b: HostId) =>
    net.broken.has(`${a} ${b}`) || net.broken.has(`${b} ${a}`);
  const latency = () => delay(random.int(4));
  const consumeFault = (
    name: 'loseRequests' | 'loseResponses' | 'delayRequests',
  ) => net[name] > 0 && net[name]-- > 0;

  async function deliver(
    from: HostId,
    to: HostId,
    method: string,
    params: unknown,
  ): Promise<unknown> {
    await latency();
    if (consumeFault('loseRequests') || isIsolated(from, to)) return never;
    if (consumeFault('delayRequests')) await delay(REQUEST_DELAY_MS);
    const target = hosts.get(to);
    if (target === undefined) return never;
    await target.gate.pass();
    const handler = target.handlers.get(method);
    const result = copy(await handler?.(copy(params), from));
    await target.gate.pass();
    await latency();
    if (consumeFault('loseResponses') || isIsolated(from, to)) return never;
    return result;
  }

  const net: FakeNet = {
    isolated: new Set(),
    broken: new Set(),
    loseRequests: 0,
    loseResponses: 0,
    delayRequests: 0,
    join(self, gate) {
      const handlers = new Map<string, Handler>();
      hosts.set(self, {gate, handlers});
      return {
        self,
        handle: (method, handler) =>
          void handlers.set(method, handler as Handler),
        async call<R>(
          to: HostId,
          method: string,
          params: unknown,
          options: {timeoutMs: number},
        ) {
          await gate.pass();
          const refused = hosts.get(to)?.gate.state() === 'killed';
          if (refused || isLinkBroken(self, to)) {
            await latency();
            await gate.pass();
            return fail('endpoint_failed', 'refused', {ran: 'not_run'});
          }
          const timeout = delay(options.timeoutMs).then(() =>
            fail('deadline_exceeded', 'no answer'),
          );
          const result = await Promise.race([
            deliver(self, to, method, params).then(value => ok(value as R)),
            timeout,
          ]);
          await gate.pass();
          return result;
        },
        knownHosts: () => [...hosts.keys()].filter(host => host !== self),
        setAddress: () => {},
        bytes: () => ({sent: 0, received: 0}),
        close: async () => {},
      };
    },
  };
  return net;
}
