import {
  pause,
  createRandom,
  type FailureDomain,
  type HostId,
} from '@chivewick/common';
import {createContact} from './contact.js';
import {createDissemination} from './dissemination.js';
import type {
  Lists,
  ListsOptions,
  ListsSnapshot,
  PeerVersions,
  WrittenList,
} from './lists-api.js';
import {fetchFromPeers} from './outage-start.js';
import {createPairStore} from './pair-store.js';
import {createPlatformReader} from './platform-reader.js';
import {watchPlatform} from './platform-watch.js';
import {createReadBudget} from './read-budget.js';
import {withTimeout} from './timing.js';
import {isNewer, isSame} from './versions.js';
import {isWatcher} from './watcher-role.js';
import {parse, type Payload} from './wire.js';

const CHECK_INTERVAL_MS = 500;

/** Contact age at which a host polls the platform, and timeout of that poll. */
const PLATFORM_POLL_MS = 3_000;

const START_RETRY_MS = 500;

/**
 * Creates the list service of this host and registers its methods with `peers`.
 *
 * @example
 * const lists = createLists({self, firm, failureDomain, platform, peers, membership, log});
 * await lists.start();
 * if (!lists.confirmed()) refuse('rights_unconfirmed');
 * const grant = lists.snapshot()?.grantOfKey(sha256(key));
 */
export function createLists(options: ListsOptions): Lists {
  const {self, failureDomain, platform, peers, membership, log} = options;
  const random = options.random ?? createRandom();
  const stopped = new AbortController();
  const listeners = new Set<Parameters<Lists['onChange']>[0]>();
  const peerStates = new Map<HostId, {payload: Payload; atMs: number}>();
  const contact = createContact();
  const tasks = new Set<Promise<void>>();
  let watch: AbortController | undefined;

  const pairs = createPairStore({
    log,
    adopted(after, before) {
      dissemination.pushToPeers(after, before);
      for (const listener of [...listeners])
        listener(after.snapshot, before?.snapshot);
    },
  });
  const dissemination = createDissemination({
    self,
    peers,
    membership,
    pairs,
    random,
  });
  const budget = createReadBudget();
  const reader = createPlatformReader({
    platform,
    pairs,
    budget,
    log,
    onResponse: contact.recordPlatformContact,
  });

  const confirmed = () => pairs.current() !== undefined && contact.isRecent();

  function domainOf(host: HostId): FailureDomain | undefined {
    if (host === self) return failureDomain;
    const listed = options.domainOf?.(host);
    return (
      listed ?? (peerStates.get(host)?.payload.f as FailureDomain | undefined)
    );
  }

  membership.setPayload((): Payload => {
    const held = pairs.current();
    return {
      f: failureDomain,
      c: confirmed(),
      ...(held !== undefined && {v: held.versions, d: held.digest}),
    };
  });
  const removeListeners = [
    membership.onPayload((from, value) => void receive(from, value)),
    membership.onChange(({host, state}) => {
      if (state !== 'alive' && state !== 'suspect') removePeer(host);
    }),
  ];

  function removePeer(host: HostId): void {
    peerStates.delete(host);
    dissemination.removePeer(host);
  }

  // Contact with a peer host that has newer lists confirms this host's lists
  // only after those newer lists were fetched.
  async function receive(from: HostId, value: unknown): Promise<void> {
    const payload = parse.payload(value);
    if (payload === undefined) return contact.recordPeerContact();
    peerStates.set(from, {payload, atMs: performance.now()});
    if (payload.v !== undefined) dissemination.recordVersions(from, payload.v);
    const held = pairs.current();
    if (held === undefined || payload.v === undefined)
      return contact.recordPeerContact();
    if (isNewer(payload.v, held.versions)) {
      if (await dissemination.fetchFrom(from)) contact.recordPeerContact();
      return;
    }
    contact.recordPeerContact();
    if (isSame(payload.v, held.versions) && payload.d !== held.digest) {
      log.event('listsDiffer', {host: from, versions: held.versions});
      await reader.refresh();
    }
  }

  async function tryInitialLoad(): Promise<void> {
    await reader.refresh();
    if (pairs.current() !== undefined || stopped.signal.aborted) return;
    const {signal} = stopped;
    if (await fetchFromPeers({peers, pairs, dissemination, log, signal}))
      contact.recordPeerContact();
  }

  async function retryInitialLoad(): Promise<void> {
    while (pairs.current() === undefined && !stopped.signal.aborted) {
      await pause(START_RETRY_MS, stopped.signal);
      await tryInitialLoad();
    }
  }

  async function applyWritten({
    list,
    version,
    value,
  }: WrittenList): Promise<void> {
    const object = {key: `lists/${list}`, version, value};
    const result = await reader.completePair(list, object);
    const held = pairs.current();
    if (result !== 'unavailable' || held === undefined) return;
    // The platform became unavailable right after the write. The other list in
    // effect is the one in the store, unless it was edited at the same moment.
    const {plans, entitlements} = held.snapshot;
    const versions = {...held.versions, [list]: version};
    pairs.offer({versions, plans, entitlements, [list]: value}, 'platform');
  }

  function updateWatchRole(): void {
    const shouldWatch = isWatcher({self, failureDomain, membership, domainOf});
    if (shouldWatch === (watch !== undefined)) return;
    watch?.abort();
    watch = shouldWatch ? new AbortController() : undefined;
    if (watch !== undefined)
      trackTask(
        watchPlatform({platform, reader, budget, log, random}, watch.signal),
      );
  }

  function trackTask(task: Promise<void>): void {
    const ended = task.finally(() => tasks.delete(ended));
    tasks.add(ended);
  }

  async function pollPlatform(): Promise<void> {
    if (pairs.current() === undefined || contact.ageMs() < PLATFORM_POLL_MS)
      return;
    // After a loss of contact the lists may be outdated and are read again.
    // While they are confirmed, a lightweight call that renews the contact is
    // enough.
    if (!confirmed()) return void (await reader.refresh());
    const request = platform.get('lists/contact');
    const response = await withTimeout(PLATFORM_POLL_MS, request);
    if (response?.ok === true) contact.recordPlatformContact();
  }

  async function runChecks(): Promise<void> {
    let wasConfirmed = confirmed();
    while (!stopped.signal.aborted) {
      updateWatchRole();
      await pollPlatform();
      if (wasConfirmed !== confirmed()) {
        wasConfirmed = !wasConfirmed;
        log.event(wasConfirmed ? 'listsConfirmed' : 'listsUnconfirmed');
      }
      await pause(CHECK_INTERVAL_MS, stopped.signal);
    }
  }

  function peerVersions(): PeerVersions[] {
    return [...peerStates].map(([host, {payload, atMs}]) => ({
      host,
      versions: payload.v,
      confirmed: payload.c,
      ageMs: performance.now() - atMs,
    }));
  }

  return {
    async start() {
      await tryInitialLoad();
      if (stopped.signal.aborted) return;
      trackTask(retryInitialLoad());
      trackTask(runChecks());
    },
    snapshot: (): ListsSnapshot | undefined => pairs.current()?.snapshot,
    confirmed,
    applyWritten,
    onChange(fn) {
      listeners.add(fn);
      return () => void listeners.delete(fn);
    },
    status() {
      const held = pairs.current();
      return {
        ...(held !== undefined && {
          versions: held.versions,
          digest: held.digest,
          source: held.source,
        }),
        confirmed: confirmed(),
        watching: watch !== undefined,
        platformAgeMs: contact.platformAgeMs(),
        peerAgeMs: contact.peerAgeMs(),
        invalid: pairs.invalid(),
        storeBehind: reader.storeBehind(),
      };
    },
    peerVersions,
    async close() {
      stopped.abort();
      watch?.abort();
      for (const remove of removeListeners) remove();
      await Promise.all(tasks);
    },
  };
}
