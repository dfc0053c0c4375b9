import type {FailureDomain, HostId, Random} from '@chivewick/common';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {formatRequest, REPLIES} from './protocol.js';
import {readLine} from './read-line.js';
import type {Reachability} from './reachability.js';
import {createResetSafeStream} from './reset-safe-stream.js';
import {openSocket} from './sockets.js';

/** Opening a connection within the same region takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 300;
/** The other host connects to the endpoint meanwhile. */
const REPLY_TIMEOUT_MS = 350;
/** Hosts that are tried for one connection; callers wait for it. */
const MAX_HOSTS_TRIED = 3;
/** Time for which a host is left out that did not open a tunnel. */
const AVOIDED_MS = 2_000;

/** A host that opens tunnels for others. */
export interface TunnelHost {
  readonly id: HostId;
  /** `ip:port` of its tunnel server. */
  readonly tunnelAddress: string;
  readonly failureDomain: FailureDomain;
}

/** Opens connections to endpoints. */
export interface Dialer {
  /** Returns a stream that emits `connect` once it is open, `error` if it fails. */
  dial(address: string): Duplex;
}

/**
 * Creates the dialer. A host that reaches no endpoint by itself connects through another
 * host, without any request being sent twice: the other way is only taken where no
 * connection was opened.
 *
 * @example
 * const stream = createDialer({self, hosts, reachability, random}).dial('10.1.64.9:8080');
 */
export function createDialer(options: {
  readonly failureDomain: FailureDomain;
  /** All other hosts that open tunnels. */
  readonly hosts: () => readonly TunnelHost[];
  readonly reachability: Pick<Reachability, 'isCutOff' | 'check'>;
  readonly random: Random;
}): Dialer {
  const {reachability, random, failureDomain} = options;
  const avoidedUntilMs = new Map<HostId, number>();

  async function open(address: string): Promise<Socket> {
    if (!reachability.isCutOff()) {
      try {
        return await openSocket(address, CONNECT_TIMEOUT_MS);
      } catch (err) {
        if (!(await reachability.check())) throw err;
      }
    }
    return openTunnel(address);
  }

  async function openTunnel(address: string): Promise<Socket> {
    for (const host of hostsToTry()) {
      const {socket, reply} = await ask(host, address);
      if (reply === REPLIES.opened && socket !== undefined) return socket;
      socket?.destroy();
      if (reply === REPLIES.refused) break;
      avoidedUntilMs.set(host.id, performance.now() + AVOIDED_MS);
    }
    throw new Error('no connection through another host');
  }

  async function ask(
    {tunnelAddress}: TunnelHost,
    address: string,
  ): Promise<{socket?: Socket; reply?: string}> {
    let socket: Socket | undefined;
    try {
      socket = await openSocket(tunnelAddress, CONNECT_TIMEOUT_MS);
      socket.write(formatRequest(address));
      return {socket, reply: await readLine(socket, REPLY_TIMEOUT_MS)};
    } catch {
      // The next host is tried.
      return {socket};
    }
  }

  /** Hosts of other failure domains first: those of a domain are often cut off together. */
  function hostsToTry(): TunnelHost[] {
    const nowMs = performance.now();
    return options
      .hosts()
      .filter(({id}) => (avoidedUntilMs.get(id) ?? 0) <= nowMs)
      .map(host => {
        const isLocal = host.failureDomain === failureDomain;
        return {host, rank: Number(isLocal) + random.next()};
      })
      .sort((a, b) => a.rank - b.rank)
      .slice(0, MAX_HOSTS_TRIED)
      .map(({host}) => host);
  }

  return {dial: address => createResetSafeStream(open(address))};
}
