import type {HostId} from '@chivewick/common';
import type {RequestLimits} from '@chivewick/coordination';
import type {FleetHost} from '../fleet.js';
import type {Quarantine} from '../quarantine/index.js';
import type {Datagrams} from './datagrams.js';
import {METHODS, type EvidenceMessage, type LimitsMessage} from './messages.js';
import type {Ranks} from './ranks.js';

/** Spreads what each host should know about endpoints and requests. */
export interface Gossip {
  /** Sends all of it to some hosts, in case that they have missed a change. */
  repeat(targets: Iterable<FleetHost>): void;
  announceEvidence(): void;
  announceLimits(): void;
}

/**
 * Creates the gossip of one host. A change goes to the coordinators of the failure domain,
 * and from these to its other hosts and to the other coordinators. It ends where
 * nothing is new.
 *
 * @example
 * const gossip = createGossip({self, quarantine, limits, ranks, datagrams, otherCoordinators});
 * gossip.repeat(ranks.reportTargets());
 */
export function createGossip(options: {
  readonly self: HostId;
  readonly quarantine: () => Pick<Quarantine, 'report'>;
  readonly limits: () => Pick<RequestLimits, 'report'>;
  readonly ranks: Ranks;
  readonly datagrams: () => Datagrams;
  readonly otherCoordinators: () => Iterable<FleetHost>;
}): Gossip {
  const {self, ranks} = options;

  function send(
    targets: Iterable<FleetHost>,
    method: string,
    message: EvidenceMessage | LimitsMessage,
  ): void {
    const datagrams = options.datagrams();
    for (const {id, address} of targets)
      if (id !== self) datagrams.notify(address, method, message);
  }

  function sendEvidence(targets: Iterable<FleetHost>): void {
    const evidence = options.quarantine().report();
    if (evidence === undefined) return;
    send(targets, METHODS.evidence, {from: self, evidence});
  }

  function sendLimits(targets: Iterable<FleetHost>): void {
    const limits = options.limits().report();
    if (limits.length === 0) return;
    send(targets, METHODS.limits, {from: self, limits});
  }

  /** Where a change goes from this host. */
  function nextHosts(): Iterable<FleetHost> {
    return ranks.isCandidate()
      ? new Set([...ranks.local(), ...options.otherCoordinators()])
      : ranks.responsive().slice(0, 2);
  }

  return {
    repeat(targets) {
      const list = [...targets];
      sendEvidence(list);
      sendLimits(list);
    },
    announceEvidence: () => sendEvidence(nextHosts()),
    announceLimits: () => sendLimits(nextHosts()),
  };
}
