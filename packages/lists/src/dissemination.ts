import {
  failure,
  FailureError,
  type HostId,
  type Random,
} from '@chivewick/common';
import type {Membership} from '@chivewick/membership';
import type {Peers} from '@chivewick/peers';
import type {ListSource, ListVersions} from './lists-api.js';
import type {HeldPair, PairStore} from './pair-store.js';
import {isAtLeast, isNewer} from './versions.js';
import {
  applyPush,
  DIGEST,
  FETCH,
  createFetchResponse,
  PUSH,
  createPush,
  parse,
} from './wire.js';

/** Number of peer hosts to which a host forwards a change. */
const PUSH_FANOUT = 4;

const PUSH_TIMEOUT_MS = 2_000;
const FETCH_TIMEOUT_MS = 5_000;

const MAX_CONCURRENT_FETCHES = 2;

/** Pushes pairs to peer hosts and fetches pairs from them. */
export interface Dissemination {
  /** Pushes a newly adopted pair to a few peer hosts not known to have it. */
  pushToPeers(after: HeldPair, before: HeldPair | undefined): void;
  /**
   * Fetches the pair of a peer host. Returns whether the peer responded with a
   * pair; false also if a fetch from it or too many other fetches are running.
   */
  fetchFrom(host: HostId, source?: ListSource): Promise<boolean>;
  /** Records the versions that a peer host reported. */
  recordVersions(host: HostId, versions: ListVersions): void;
  removePeer(host: HostId): void;
}

export interface DisseminationOptions {
  readonly self: HostId;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly pairs: PairStore;
  readonly random: Random;
}

/**
 * Registers the list methods with `peers` and creates the dissemination. A host
 * without a pair ignores pushes: after a restart, a single peer host may have
 * older versions than this host had before.
 *
 * @example
 * const dissemination = createDissemination({self, peers, membership, pairs, random});
 */
export function createDissemination(
  options: DisseminationOptions,
): Dissemination {
  const {self, peers, membership, pairs, random} = options;
  const peerVersions = new Map<HostId, ListVersions>();
  const fetching = new Set<HostId>();

  peers.handle(PUSH, async (params, from) => {
    const push = parse.push(params) ?? throwMalformed();
    recordVersions(from, push.to);
    const current = pairs.current();
    if (current !== undefined && isNewer(push.to, current.versions)) {
      const raw = applyPush(current, push);
      if (raw !== undefined) pairs.offer(raw, 'peer');
      else await fetchFrom(from);
    }
    return {versions: pairs.current()?.versions};
  });

  peers.handle(FETCH, params => {
    const {have} = parse.fetch(params) ?? throwMalformed();
    return createFetchResponse(pairs.current(), have && pairs.recent(have));
  });

  peers.handle(DIGEST, () => ({
    versions: pairs.current()?.versions,
    digest: pairs.current()?.digest,
  }));

  function recordVersions(host: HostId, versions: ListVersions): void {
    const known = peerVersions.get(host);
    if (known === undefined || isAtLeast(versions, known))
      peerVersions.set(host, versions);
  }

  function isBehind(host: HostId, versions: ListVersions): boolean {
    const known = peerVersions.get(host);
    return known === undefined || !isAtLeast(known, versions);
  }

  function pickTargets(versions: ListVersions): HostId[] {
    const hosts = membership
      .live()
      .filter(host => host !== self && isBehind(host, versions));
    const picked: HostId[] = [];
    while (picked.length < PUSH_FANOUT && hosts.length > 0)
      picked.push(...hosts.splice(random.int(hosts.length), 1));
    return picked;
  }

  async function push(host: HostId, message: unknown): Promise<void> {
    const response = await peers.call<unknown>(host, PUSH, message, {
      timeoutMs: PUSH_TIMEOUT_MS,
    });
    const versions = response.ok
      ? parse.held(response.value)?.versions
      : undefined;
    if (versions !== undefined) recordVersions(host, versions);
  }

  async function fetchFrom(
    host: HostId,
    source: ListSource = 'peer',
  ): Promise<boolean> {
    if (fetching.has(host) || fetching.size >= MAX_CONCURRENT_FETCHES)
      return false;
    fetching.add(host);
    try {
      return await fetchOnce(host, source, pairs.current()?.versions);
    } finally {
      fetching.delete(host);
    }
  }

  async function fetchOnce(
    host: HostId,
    source: ListSource,
    have: ListVersions | undefined,
  ): Promise<boolean> {
    const request = have === undefined ? {} : {have};
    const response = await peers.call<unknown>(host, FETCH, request, {
      timeoutMs: FETCH_TIMEOUT_MS,
    });
    const fetched = response.ok ? parse.fetched(response.value) : undefined;
    if (fetched === undefined || fetched.kind === 'none') return false;
    if (fetched.kind === 'full') {
      pairs.offer(fetched as Parameters<typeof pairs.offer>[0], source);
      return true;
    }
    const base = pairs.recent(fetched.push.from);
    const raw = base && applyPush(base, fetched.push);
    if (raw !== undefined) pairs.offer(raw, source);
    // The delta does not apply when its base is missing or has different
    // content under the same versions; the full pair is needed then.
    else if (have !== undefined) return fetchOnce(host, source, undefined);
    return true;
  }

  return {
    pushToPeers(after, before) {
      if (before === undefined) return;
      const hosts = pickTargets(after.versions);
      if (hosts.length === 0) return;
      const message = createPush(before, after);
      for (const host of hosts) void push(host, message);
    },
    fetchFrom,
    recordVersions: recordVersions,
    removePeer: host => void peerVersions.delete(host),
  };
}

function throwMalformed(): never {
  throw new FailureError(failure('invalid_request', 'malformed message'));
}
