import type {Firm, HostId, Logger, Result} from '@chivewick/common';

/** JSON-RPC 2.0 between the firm's own hosts. */
export interface Peers {
  readonly self: HostId;
  /** Registers the handler of a method, such as `lists.push`. */
  handle<P, R>(
    method: string,
    handler: (params: P, from: HostId) => R | Promise<R>,
  ): void;
  /**
   * Calls a method of a peer host; fails with `deadline_exceeded` or
   * `endpoint_failed`, or with the failure that the handler threw. `ran` is
   * `not_run` only if the request was not sent or the peer refused it.
   */
  call<R>(
    to: HostId,
    method: string,
    params: unknown,
    options: {timeoutMs: number},
  ): Promise<Result<R>>;
  /** Hosts with a known address or an open connection, except this one. */
  knownHosts(): readonly HostId[];
  setAddress(host: HostId, address: string): void;
  /** Bytes sent and received, to measure the cost of control traffic. */
  bytes(): {sent: number; received: number};
  close(): Promise<void>;
}

/** Peers that listen on an address. */
export interface ListeningPeers extends Peers {
  /** `ip:port` in use; the operating system chooses the port if `listen` has port 0. */
  readonly address: string;
}

export interface PeerOptions {
  readonly firm: Firm;
  readonly self: HostId;
  /** `ip:port` to listen on. */
  readonly listen: string;
  readonly addresses: ReadonlyMap<HostId, string>;
  /** Shared secret of the firm's hosts; proves that a host belongs to the firm. */
  readonly secret: string;
  /**
   * Number of this run of the host, greater than that of earlier runs; defaults
   * to the start time, as epoch time in milliseconds.
   */
  readonly incarnation?: number;
  readonly log?: Logger;
}
