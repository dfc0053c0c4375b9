import type {HostId, Logger} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import type {Dissemination} from './dissemination.js';
import type {ListVersions} from './lists-api.js';
import type {PairStore} from './pair-store.js';
import {isAtLeast, isNewer} from './versions.js';
import {DIGEST, parse} from './wire.js';

const QUERY_TIMEOUT_MS = 1_000;

const MAX_CONCURRENT_QUERIES = 64;

/**
 * Fetches the newest pair from the peer hosts when the platform is unavailable.
 * More than half of the configured peer hosts must report a pair. A change that
 * this host had before its restart is then among the responses, provided that
 * it had reached half of the other hosts. Returns whether a pair is in effect.
 *
 * @example
 * if (!(await fetchFromPeers({peers, pairs, dissemination, log, signal}))) retryLater();
 */
export async function fetchFromPeers(options: {
  readonly peers: Peers;
  readonly pairs: PairStore;
  readonly dissemination: Dissemination;
  readonly log: Logger;
  readonly signal: AbortSignal;
}): Promise<boolean> {
  const {peers, pairs, dissemination, log, signal} = options;
  const configured = peers.knownHosts();
  const holders = await queryAll(peers, configured, signal);
  if (holders.length <= configured.length / 2) return false;
  let newest = holders[0].versions;
  for (const {versions} of holders)
    if (isNewer(versions, newest)) newest = versions;
  for (const {host, versions} of holders) {
    if (!isAtLeast(versions, newest)) continue;
    await dissemination.fetchFrom(host, 'peers_in_outage');
    if (pairs.current() === undefined) continue;
    const answers = holders.length;
    log.event('listsTakenFromPeers', {versions: newest, answers, from: host});
    return true;
  }
  return false;
}

interface Holder {
  readonly host: HostId;
  readonly versions: ListVersions;
}

async function queryAll(
  peers: Peers,
  hosts: readonly HostId[],
  signal: AbortSignal,
): Promise<Holder[]> {
  const holders: Holder[] = [];
  const pending = [...hosts];
  async function queryPending(): Promise<void> {
    for (let host = pending.pop(); host !== undefined; host = pending.pop()) {
      if (signal.aborted) return;
      const options = {timeoutMs: QUERY_TIMEOUT_MS};
      const response = await peers.call<unknown>(host, DIGEST, {}, options);
      const versions = response.ok
        ? parse.held(response.value)?.versions
        : undefined;
      if (versions !== undefined) holders.push({host, versions});
    }
  }
  await Promise.all(Array.from({length: MAX_CONCURRENT_QUERIES}, queryPending));
  return holders;
}
