import {
  fail,
  ok,
  toFailure,
  type HostId,
  type Random,
  type Result,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';

/** Random delays and duplicates of a peer network. */
export interface PeerNetworkOptions {
  readonly random: Random;
  /** Maximum random delay of a message, in milliseconds; messages can be reordered. */
  readonly maxDelayMs: number;
  /** Fraction of requests that are delivered a second time, later. */
  readonly duplicates?: number;
}

/** Network between hosts in one process, in memory, with injected faults. */
export interface PeerNetwork {
  /** Adds a host, or restarts it with empty state. */
  join(host: HostId): Peers;
  /** Stops a host as in a crash; its peers still know its address. */
  leave(host: HostId): void;
  /** Isolates the groups of hosts from each other. */
  partition(...groups: HostId[][]): void;
  /** Cuts the link between two hosts. */
  cut(a: HostId, b: HostId): void;
  /** Removes all partitions and cuts. */
  heal(): void;
  /** Number of requests sent so far, by method. */
  readonly requests: Map<string, number>;
}

type Handler = (params: unknown, from: HostId) => unknown;

interface Node {
  readonly handlers: Map<string, Handler>;
  closed: boolean;
}

/**
 * Creates a network in memory for deterministic tests with mock timers.
 * Values are copied through JSON, as on the wire.
 *
 * @example
 * const network = createPeerNetwork({random: createRandom(1), maxDelayMs: 20});
 * const peers = network.join(id<HostId>('nav-a-1'));
 */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
  const {random, maxDelayMs} = options;
  const nodes = new Map<HostId, Node>();
  const requests = new Map<string, number>();
  const cutLinks = new Set<string>();
  let groupOf = new Map<HostId, number>();

  const delay = () =>
    new Promise<void>(resolve => {
      setTimeout(resolve, Math.ceil(random.next() * maxDelayMs));
    });

  function connected(a: HostId, b: HostId): boolean {
    const isCut = cutLinks.has(`${a} ${b}`) || cutLinks.has(`${b} ${a}`);
    return !isCut && groupOf.get(a) === groupOf.get(b);
  }

  /** Resolves with the handler's result; never resolves if a message is lost. */
  async function deliver(
    from: HostId,
    to: HostId,
    method: string,
    text: string,
  ): Promise<Result<unknown>> {
    await delay();
    const node = nodes.get(to);
    if (node === undefined || node.closed || !connected(from, to))
      return neverResolve();
    const handler = node.handlers.get(method);
    if (handler === undefined)
      return fail('endpoint_failed', `no method ${method}`, {ran: 'not_run'});
    const response = await runHandler(handler, text, from);
    await delay();
    return connected(from, to) ? response : neverResolve();
  }

  function join(self: HostId): Peers {
    const previous = nodes.get(self);
    if (previous !== undefined) previous.closed = true;
    const node: Node = {handlers: new Map(), closed: false};
    nodes.set(self, node);
    return {
      self,
      handle: (method, handler) =>
        void node.handlers.set(method, handler as Handler),
      async call<R>(
        to: HostId,
        method: string,
        params: unknown,
        {timeoutMs}: {timeoutMs: number},
      ): Promise<Result<R>> {
        if (node.closed) return fail('endpoint_failed', 'peers are closed');
        requests.set(method, (requests.get(method) ?? 0) + 1);
        const text = JSON.stringify(params);
        const response = deliver(self, to, method, text);
        if (random.next() < (options.duplicates ?? 0))
          void delay().then(() => deliver(self, to, method, text));
        return (await withTimeout(response, timeoutMs)) as Result<R>;
      },
      knownHosts: () => [...nodes.keys()].filter(host => host !== self),
      setAddress: () => {},
      bytes: () => ({sent: 0, received: 0}),
      async close() {
        node.closed = true;
      },
    };
  }

  return {
    join,
    leave(host) {
      const node = nodes.get(host);
      if (node !== undefined) node.closed = true;
    },
    partition(...groups) {
      groupOf = new Map(
        groups.flatMap((group, at) =>
          group.map(host => [host, at + 1] as const),
        ),
      );
    },
    cut: (a, b) => void cutLinks.add(`${a} ${b}`),
    heal() {
      cutLinks.clear();
      groupOf = new Map();
    },
    requests,
  };
}

const neverResolve = () => new Promise<never>(() => {});

async function runHandler(
  handler: Handler,
  text: string,
  from: HostId,
): Promise<Result<unknown>> {
  try {
    const value = await handler(JSON.parse(text), from);
    return ok(value === undefined ? null : JSON.parse(JSON.stringify(value)));
  } catch (err) {
    return {ok: false, err: toFailure(err)};
  }
}

/** Resolves with the response, or with a failure after `timeoutMs`. */
function withTimeout(
  response: Promise<Result<unknown>>,
  timeoutMs: number,
): Promise<Result<unknown>> {
  return new Promise(resolve => {
    const timer = setTimeout(
      () => resolve(fail('deadline_exceeded', 'no response in time')),
      timeoutMs,
    );
    void response.then(result => {
      clearTimeout(timer);
      resolve(result);
    });
  });
}
