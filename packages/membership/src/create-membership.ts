import {failure, FailureError, type HostId} from '@chivewick/common';
import {createMemberView} from './member-view.js';
import type {
  MemberChange,
  Membership,
  MembershipOptions,
} from './membership-api.js';
import {createProber} from './prober.js';
import {
  PING,
  PING_REQ,
  readMessage,
  readPingReq,
  type Message,
  type PingReqResponse,
} from './wire.js';

const DEFAULT_PROBE_PERIOD_MS = 1_000;
/** Default ping timeout as a fraction of the period. */
const PING_TIMEOUT_FRACTION = 0.3;

/** Members that a leaving host notifies directly; others learn it from them. */
const LEAVE_FAN_OUT = 16;

/**
 * Starts to probe the hosts that `peers` knows, one per period, and to answer
 * their probes. Hosts are assumed alive until probes fail.
 *
 * @example
 * const membership = createMembership({self, peers, log, random});
 * const owner = rendezvousOwner(`ledger/${partition}`, membership.live());
 */
export function createMembership(options: MembershipOptions): Membership {
  const {self, peers, log, random} = options;
  const periodMs = options.periodMs ?? DEFAULT_PROBE_PERIOD_MS;
  const timeoutMs = options.pingTimeoutMs ?? periodMs * PING_TIMEOUT_FRACTION;
  const onChange = createListeners<[MemberChange]>();
  const onPayload = createListeners<[HostId, unknown]>();
  const removedHosts = new Set<HostId>();
  const stopped = new AbortController();
  let payload = options.payload ?? (() => undefined);

  const view = createMemberView({
    self,
    incarnation: options.incarnation ?? Date.now(),
    periodMs,
    log,
    payload: () => payload(),
    onChange: change => onChange.call(change),
    onPayload: (from, value) => onPayload.call(from, value),
  });

  async function ping(to: HostId): Promise<boolean> {
    const res = await peers.call<unknown>(to, PING, view.message(to), {
      timeoutMs,
    });
    if (!res.ok || stopped.signal.aborted) return false;
    const message = readMessage(res.value);
    if (message === undefined) return false;
    view.receive(to, message);
    return true;
  }

  async function pingIndirectly(
    helper: HostId,
    target: HostId,
  ): Promise<boolean> {
    const request = {target, message: view.message(helper)};
    const res = await peers.call<PingReqResponse>(helper, PING_REQ, request, {
      timeoutMs: 2 * timeoutMs,
    });
    if (!res.ok || stopped.signal.aborted) return false;
    const message = readMessage(res.value.message);
    if (message !== undefined) view.receive(helper, message);
    return res.value.reached === true;
  }

  function receive(from: HostId, message: Message | undefined): void {
    if (message === undefined)
      throw new FailureError(failure('invalid_request', 'malformed ping'));
    removedHosts.delete(from);
    view.receive(from, message);
  }

  peers.handle(PING, (params, from) => {
    receive(from, readMessage(params));
    return view.message(from);
  });
  peers.handle(PING_REQ, async (params, from): Promise<PingReqResponse> => {
    const request = readPingReq(params);
    receive(from, request?.message);
    const reached = request !== undefined && (await ping(request.target));
    return {reached, message: view.message(from)};
  });

  function addKnownHosts(): void {
    for (const host of peers.knownHosts())
      if (!view.table.has(host) && !removedHosts.has(host))
        view.assumeAlive(host);
  }

  addKnownHosts();
  const prober = createProber({
    peers,
    view,
    random,
    periodMs,
    signal: stopped.signal,
    beforePeriod: addKnownHosts,
    ping,
    pingIndirectly,
  });

  return {
    live() {
      const hosts = view.table.inState('alive', 'suspect');
      return (view.leaving() ? hosts : [...hosts, self]).sort();
    },
    state: host =>
      host === self
        ? view.leaving()
          ? 'left'
          : 'alive'
        : view.table.get(host)?.[1],
    onChange: onChange.add,
    setPayload: fn => void (payload = fn),
    onPayload: onPayload.add,
    setListedHosts(hosts) {
      const listed = new Set(hosts);
      for (const host of view.table.inState('dead', 'left')) {
        if (listed.has(host)) continue;
        view.table.remove(host);
        removedHosts.add(host);
      }
      for (const host of listed) removedHosts.delete(host);
    },
    async leave() {
      if (view.leaving()) return;
      view.setLeaving();
      const notified = prober.sample(LEAVE_FAN_OUT);
      await Promise.all(notified.map(host => ping(host)));
    },
    async close() {
      stopped.abort();
      view.stop();
      await prober.finished;
    },
  };
}

interface Listeners<Args extends unknown[]> {
  add(fn: (...args: Args) => void): () => void;
  call(...args: Args): void;
}

function createListeners<Args extends unknown[]>(): Listeners<Args> {
  const fns = new Set<(...args: Args) => void>();
  return {
    add(fn) {
      fns.add(fn);
      return () => void fns.delete(fn);
    },
    call(...args) {
      for (const fn of [...fns]) fn(...args);
    },
  };
}
