import type {HostId, Logger, Random} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';

/** State of a member as this host sees it. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';

/** A member and its new state. */
export interface MemberChange {
  readonly host: HostId;
  readonly state: MemberState;
}

/** Tracks which of the firm's hosts are live, as seen by this host. */
export interface Membership {
  /**
   * Hosts that may own work, sorted: alive and suspected members, and this
   * host until it leaves. Views of different hosts differ for a few periods.
   */
  live(): HostId[];
  /** State of a member; undefined for an unknown host. */
  state(host: HostId): MemberState | undefined;
  /**
   * Calls `fn` after each change of a member's state; returns a function that
   * removes it.
   */
  onChange(fn: (change: MemberChange) => void): () => void;
  /** Sets the payload of each ping, such as list versions. */
  setPayload(payload: () => unknown): void;
  /**
   * Calls `fn` with the payload of every message of a peer host; returns a
   * function that removes it.
   */
  onPayload(fn: (from: HostId, payload: unknown) => void): () => void;
  /**
   * Sets the hosts in the platform's host list. Members that are dead or have
   * left are removed if they are not listed.
   */
  setListedHosts(hosts: readonly HostId[]): void;
  /** Announces that this host leaves. It answers pings until `close`. */
  leave(): Promise<void>;
  close(): Promise<void>;
}

/** Dependencies and settings of `createMembership`. */
export interface MembershipOptions {
  readonly self: HostId;
  readonly peers: Peers;
  readonly log: Logger;
  readonly random: Random;
  readonly payload?: () => unknown;
  /**
   * Must be higher than in earlier runs of this host; by default the start
   * time.
   */
  readonly incarnation?: number;
  /** Time between probes, in milliseconds; 1,000 by default. */
  readonly periodMs?: number;
  /**
   * Time for a direct probe, in milliseconds; 3/10 of the period by default.
   */
  readonly pingTimeoutMs?: number;
}
