import {pause, type HostId, type Logger} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';

const CALL_TIMEOUT_MS = 500;
/** Maximum time for which a retry waits until all hosts have confirmed the suspect. */
const MAX_WAIT_MS = 1500;
const FIRST_RETRY_DELAY_MS = 50;
/** Maximum pause between calls to a host while a retry of the suspect waits. */
const MAX_AWAITED_RETRY_DELAY_MS = 200;
/** Maximum pause between calls to a host after that. */
const MAX_RETRY_DELAY_MS = 5000;
/**
 * Time after which a host is no longer called. A host that is unreachable for
 * longer loads the bans only when it next starts.
 */
const ANNOUNCE_TIMEOUT_MS = 10 * 60_000;

/** Announces suspects and bans to all hosts. */
export interface Announcer {
  /**
   * Resolves when all live hosts have confirmed, or after 1.5 s. Calls to hosts
   * that have not confirmed continue in the background.
   */
  announce(params: object): Promise<void>;
  close(): void;
}

/**
 * Creates the announcer of one host.
 *
 * @example
 * await announcer.announce({crashes: [{fingerprint, endpoint, host, at, trial: false}]});
 */
export function createAnnouncer(options: {
  peers: Peers;
  live: () => readonly HostId[];
  log: Logger;
}): Announcer {
  const {peers, live, log} = options;
  const closing = new AbortController();

  async function announceTo(host: HostId, params: object): Promise<void> {
    const startMs = performance.now();
    for (let delayMs = FIRST_RETRY_DELAY_MS; ; delayMs *= 2) {
      const res = await peers.call(host, 'quarantine.suspect', params, {
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (res.ok || closing.signal.aborted || !live().includes(host)) return;
      const elapsedMs = performance.now() - startMs;
      if (elapsedMs > ANNOUNCE_TIMEOUT_MS) return;
      const maxDelayMs =
        elapsedMs < MAX_WAIT_MS
          ? MAX_AWAITED_RETRY_DELAY_MS
          : MAX_RETRY_DELAY_MS;
      await pause(Math.min(delayMs, maxDelayMs), closing.signal);
    }
  }

  return {
    async announce(params) {
      const unconfirmed = new Set(live().filter(host => host !== peers.self));
      const calls = [...unconfirmed].map(host =>
        announceTo(host, params).then(() => unconfirmed.delete(host)),
      );
      const waitAbort = new AbortController();
      await Promise.race([
        Promise.all(calls),
        pause(MAX_WAIT_MS, waitAbort.signal),
      ]);
      waitAbort.abort();
      if (unconfirmed.size > 0 && !closing.signal.aborted)
        log.event('suspectNotAnnounced', {hosts: [...unconfirmed]});
    },
    close: () => closing.abort(),
  };
}
