import type {FailureDomain, HostId, Random} from '@chivewick/common';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {DirectPaths} from './direct-paths.js';
import {createFrameReader} from './frames.js';
import {formatRequest, REPLIES} from './protocol.js';
import {readLine} from './read-line.js';
import {createResetSafeStream, type Connection} from './reset-safe-stream.js';
import {openSocket} from './sockets.js';

/** Time without an answer after which another host tries at the same time. */
const HEAD_START_MS = 30;
/** Hosts that are tried for one connection; callers wait for it. */
const MAX_HOSTS_TRIED = 4;
/** Time for which a host comes last that does not respond or is cut off too. */
const AVOIDED_MS = 2_000;

/** Times, in milliseconds, after which an attempt to open a connection has failed. */
export interface DialLimits {
  /** Opening a connection within the same region takes a few milliseconds. */
  readonly connectMs: number;
  /** A host of the same region accepts a connection within a few milliseconds. */
  readonly hostConnectMs: number;
  /** Another host takes its own connect timeout at most. */
  readonly replyMs: number;
  /**
   * No further host is tried after it: the deadline that a request states is as of the
   * moment before the connection is opened.
   */
  readonly tryingMs: number;
}

const DEFAULT_LIMITS: DialLimits = {
  connectMs: 300,
  hostConnectMs: 100,
  replyMs: 200,
  tryingMs: 250,
};

/** A host that opens tunnels for others. */
export interface TunnelHost {
  readonly id: HostId;
  /** `ip:port` of its tunnel server. */
  readonly tunnelAddress: string;
  readonly failureDomain: FailureDomain;
}

/**
 * No host that was asked knows whether the endpoint is up: they do not respond, or are
 * cut off as well.
 */
export class UnreachableError extends Error {}

/** No process listens at the endpoint's address, as another host has found too. */
class RefusedError extends Error {}

/** Opens connections to endpoints. */
export interface Dialer {
  /** Returns a stream that emits `connect` once it is open, `error` if it fails. */
  dial(address: string): Duplex;
  /** Whether an endpoint is known to accept no connection of any host. */
  isDown(address: string): Promise<boolean>;
  /**
   * Whether connections to an endpoint are refused, because its process has ended. One
   * that does not respond may be busy or suspended, and is not refused.
   */
  isRefused(address: string): Promise<boolean>;
  /**
   * Registers a listener for endpoints that this host can no longer reach by itself,
   * while another can; returns its unsubscribe function.
   */
  onLost(fn: (address: string) => void): () => void;
}

/**
 * Creates the dialer. Where this host gets no connection to an endpoint, it tries through
 * another host. A request cannot be sent twice by it: it is written to the one
 * connection that is opened first.
 *
 * @example
 * const stream = createDialer({failureDomain, hosts, paths, random}).dial('10.1.64.9:8080');
 */
export function createDialer(options: {
  readonly failureDomain: FailureDomain;
  /** All other hosts that open tunnels. */
  readonly hosts: () => readonly TunnelHost[];
  readonly paths: DirectPaths;
  readonly random: Random;
  readonly openDirect?: typeof openSocket;
  readonly limits?: DialLimits;
}): Dialer {
  const {paths, random, failureDomain, openDirect = openSocket} = options;
  const limits = options.limits ?? DEFAULT_LIMITS;
  const avoidedUntilMs = new Map<HostId, number>();

  async function open(address: string): Promise<Connection> {
    const openDirectly = async () => ({
      socket: await openDirect(address, limits.connectMs),
    });
    if (options.hosts().length === 0) return openDirectly();
    if (paths.isLost(address)) return openTunnel(address);
    const direct = openDirectly();
    const headStartMs = paths.expectsLoss() ? 0 : HEAD_START_MS;
    const early = await settleWithin(direct, headStartMs);
    if (early !== undefined) {
      paths.reach(address);
      return early;
    }
    return firstOpened(address, direct, openTunnel(address));
  }

  /** The connection that is opened first; the other one is closed. */
  async function firstOpened(
    address: string,
    direct: Promise<Connection>,
    tunnel: Promise<Connection>,
  ): Promise<Connection> {
    let isDecided = false;
    const take = (isLost: boolean) => (connection: Connection) => {
      if (isDecided) return void connection.socket.destroy();
      isDecided = true;
      if (isLost) paths.lose(address);
      else paths.reach(address);
      return connection;
    };
    const opened = [direct.then(take(false)), tunnel.then(take(true))];
    try {
      return (await Promise.any(opened)) as Connection;
    } catch {
      // What the other hosts know says more than this host's own failure.
      return tunnel;
    }
  }

  async function openTunnel(address: string): Promise<Connection> {
    const untilMs = performance.now() + limits.tryingMs;
    let verdict: Error | undefined;
    for (const host of hostsToTry()) {
      if (performance.now() > untilMs) break;
      const {socket, reply} = await ask(host, address);
      if (reply === REPLIES.opened && socket !== undefined)
        return {socket, frames: createFrameReader()};
      socket?.destroy();
      if (reply === REPLIES.refused || reply === REPLIES.silent) {
        const isRefused = reply === REPLIES.refused;
        const found = isRefused
          ? new RefusedError('refused')
          : new Error('connect timeout');
        // The first one may be cut off itself, and not know it yet.
        if (verdict !== undefined) throw found;
        verdict = found;
        continue;
      }
      avoidedUntilMs.set(host.id, performance.now() + AVOIDED_MS);
    }
    if (verdict !== undefined) throw verdict;
    throw new UnreachableError('no other host has a connection');
  }

  async function ask(
    {tunnelAddress}: TunnelHost,
    address: string,
  ): Promise<{socket?: Socket; reply?: string}> {
    let socket: Socket | undefined;
    try {
      socket = await openSocket(tunnelAddress, limits.hostConnectMs);
      socket.write(formatRequest(address));
      return {socket, reply: await readLine(socket, limits.replyMs)};
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
      .map(host => {
        const isLocal = host.failureDomain === failureDomain;
        const isAvoided = (avoidedUntilMs.get(host.id) ?? 0) > nowMs;
        const rank = 2 * Number(isAvoided) + Number(isLocal) + random.next();
        return {host, rank};
      })
      .sort((a, b) => a.rank - b.rank)
      .slice(0, MAX_HOSTS_TRIED)
      .map(({host}) => host);
  }

  return {
    dial: address => createResetSafeStream(open(address)),
    async isDown(address) {
      try {
        const {socket} = await open(address);
        socket.destroy();
        return false;
      } catch (err) {
        return !(err instanceof UnreachableError);
      }
    },
    async isRefused(address) {
      try {
        const {socket} = await open(address);
        socket.destroy();
        return false;
      } catch (err) {
        const isRefusal =
          (err as NodeJS.ErrnoException).code === 'ECONNREFUSED';
        return isRefusal || err instanceof RefusedError;
      }
    },
    onLost: fn => paths.onLost(fn),
  };
}

/** The result of a promise that resolves in time; undefined if it rejects or is late. */
function settleWithin<T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<T | undefined> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(undefined), timeoutMs);
    const settle = (value: T | undefined) => {
      clearTimeout(timer);
      resolve(value);
    };
    promise.then(settle, () => settle(undefined));
  });
}
