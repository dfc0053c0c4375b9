import {
  fail,
  markClocks,
  RUNTIME_CLOCKS,
  type Clocks,
  type HostId,
  type Result,
} from '@chivewick/common';
import {
  eraOf,
  type ChangeBatch,
  type Listing,
  type ObjectFeed,
} from '@chivewick/platform';
import {createChangeLog, type ChangeLog} from './change-log.js';

/** Duration of a poll at another host; a frozen one is noticed within this time. */
const RELAY_POLL_MS = 500;
/** Added to the wait of a poll at another host for the round trip. */
const ROUND_TRIP_MS = 150;
/**
 * Fraction of the time within which a change must take effect that the reader's
 * poll at the store may last. The rest is for noticing that the reader is cut off.
 */
const STORE_POLL_FRACTION = 0.4;
/** Added to the reader's poll for a slow answer of the store. */
const AGE_MARGIN_MS = 250;
/**
 * Added for a host that does not ask the reader itself, so that the host that it
 * asks notices a cut first and the others need not read the store.
 */
const INDIRECT_MARGIN_MS = 300;
/**
 * Time for which a host that did not answer is not asked again; doubles with each
 * further failure, because hosts that were removed stay listed.
 */
const SOURCE_BACKOFF_MS = 1_500;
const MAX_SOURCE_BACKOFF_MS = 12_000;
/**
 * Time for which a host whose answer was too old is not asked again. It does not
 * grow: the host is alive and recovers as soon as the store does.
 */
const OLD_ANSWER_BACKOFF_MS = 300;
/**
 * Interval between calls with which a host tries to read a kind from the store while
 * they fail and there is another host to ask: in an outage, calls must not grow with
 * the fleet. Counted from the start of a call, so that the time limit of a call that
 * the store did not answer is not added to it.
 */
const STORE_RETRY_MS = 2_000;
/** Wait of a poll that should confirm the state immediately. */
const CONFIRM_WAIT_MS = 1;
/** Time within which the objects of a kind can be sent. */
const LIST_TIMEOUT_MS = 1_000;

/** Methods that a host answers for others; `params` as sent by `RelayedFeed`. */
export interface RelayService {
  list(params: {kind: string}): Promise<Listing>;
  changes(params: {
    kind: string;
    since: number;
    waitMs: number;
  }): Promise<ChangeBatch>;
}

/** Calls of `RelayService` at another host. */
export interface RelayClient {
  list(
    host: HostId,
    params: Parameters<RelayService['list']>[0],
    timeoutMs: number,
  ): Promise<Result<Listing>>;
  changes(
    host: HostId,
    params: Parameters<RelayService['changes']>[0],
    timeoutMs: number,
  ): Promise<Result<ChangeBatch>>;
}

/** A feed that reads from another host, or from the store. */
export interface RelayedFeed {
  readonly feed: ObjectFeed;
  /** Answers other hosts from what this host knows. */
  readonly service: RelayService;
  /**
   * Start of this host's last call to the store for a kind that failed, by
   * `performance.now()`; undefined if none has.
   */
  readonly failedAtMs: (kind: string) => number | undefined;
}

/** Where a host gets the changes from. */
export interface RelayRole {
  /** Hosts to ask, in order of preference; empty for the reader. */
  readonly sources: readonly HostId[];
  /** Whether other hosts rely on this one to poll the store. */
  readonly isReader: boolean;
  /** Whether the sources poll the store themselves. */
  readonly isDirect: boolean;
}

/** Dependencies of a relayed feed. */
export interface RelayedFeedOptions {
  readonly store: ObjectFeed;
  readonly client: RelayClient;
  readonly role: () => RelayRole;
  /** Shortest time within which a change must take effect, in milliseconds. */
  readonly effectMs: () => number;
  /** Called for an answer that is not used. */
  readonly onOutdated?: (answer: OutdatedAnswer) => void;
  readonly clocks?: Clocks;
}

/** An answer that is not used because newer contents are known or expected. */
export interface OutdatedAnswer {
  readonly kind: string;
  /** The host that answered; undefined for the store. */
  readonly source?: HostId;
  /** `behind`: older than what this host knows; `late`: confirmed too long ago. */
  readonly reason: 'behind' | 'late';
  /** Version of the answer. */
  readonly version: number;
  /** Version that this host knows. */
  readonly known: number;
}

/**
 * Creates a feed that asks the coordinator of the failure domain, which asks one
 * reader that polls the store for all hosts. Calls to the store then grow with
 * changes and not with hosts. Each answer says how old it is, counted from this
 * host's question: a source that is slow, suspended or cut off from the store gives
 * old answers, which are not used. This host then reads the store itself.
 *
 * @example
 * const {feed, service} = createRelayedFeed({store, client, role, effectMs: () => 2_000});
 * const batch = await feed.changes('config', 530, 2_000, signal);
 */
export function createRelayedFeed(options: RelayedFeedOptions): RelayedFeed {
  const {store, client, role, clocks = RUNTIME_CLOCKS} = options;
  const logs = new Map<string, ChangeLog>();
  const skipped = new Map<HostId, {untilMs: number; backoffMs: number}>();
  /** The last call to the store by kind that failed, and whether one has succeeded since. */
  const failedCalls = new Map<string, {atMs: number; isOver: boolean}>();

  function logOf(kind: string): ChangeLog {
    let log = logs.get(kind);
    if (log === undefined) logs.set(kind, (log = createChangeLog(clocks)));
    return log;
  }

  function usableSource(): HostId | undefined {
    const nowMs = clocks.monotonicMs();
    const isSkipped = (host: HostId) =>
      (skipped.get(host)?.untilMs ?? 0) > nowMs;
    return role().sources.find(host => !isSkipped(host));
  }

  function skipUnresponsive(source: HostId): void {
    const backoffMs = skipped.get(source)?.backoffMs ?? SOURCE_BACKOFF_MS;
    skipped.set(source, {
      untilMs: clocks.monotonicMs() + backoffMs,
      backoffMs: Math.min(MAX_SOURCE_BACKOFF_MS, 2 * backoffMs),
    });
  }

  function skipBriefly(source: HostId): void {
    skipped.set(source, {
      untilMs: clocks.monotonicMs() + OLD_ANSWER_BACKOFF_MS,
      backoffMs: SOURCE_BACKOFF_MS,
    });
  }

  function mustSpareStore(kind: string): boolean {
    const failed = failedCalls.get(kind);
    return (
      role().sources.length > 0 &&
      failed?.isOver === false &&
      clocks.monotonicMs() - failed.atMs < STORE_RETRY_MS
    );
  }

  function recordCall(kind: string, startMs: number, succeeded: boolean): void {
    const failed = failedCalls.get(kind);
    if (!succeeded) failedCalls.set(kind, {atMs: startMs, isOver: false});
    else if (failed !== undefined) failed.isOver = true;
  }

  const storePollMs = () => STORE_POLL_FRACTION * options.effectMs();

  /**
   * Wait of a poll at the store. A host whose state is not confirmed needs a
   * confirmation first: a poll that waits for a change and is not answered would
   * delay it by the whole wait.
   */
  function storeWaitMs(kind: string, waitMs: number): number {
    const ageMs = logOf(kind).confirmedAgeMs();
    const isConfirmed =
      ageMs !== undefined && ageMs <= storePollMs() + AGE_MARGIN_MS;
    return isConfirmed ? Math.min(waitMs, storePollMs()) : CONFIRM_WAIT_MS;
  }

  /** Whether an answer was confirmed shortly before it arrived. */
  function isRecent(askedAtMs: number, confirmedAfterMs: number): boolean {
    const elapsedMs = clocks.monotonicMs() - askedAtMs;
    const marginMs = AGE_MARGIN_MS + (role().isDirect ? 0 : INDIRECT_MARGIN_MS);
    return elapsedMs - confirmedAfterMs <= storePollMs() + marginMs;
  }

  async function listFrom(
    source: HostId,
    kind: string,
  ): Promise<Listing | undefined> {
    const mark = markClocks(clocks);
    const call = logOf(kind).begin();
    const listing = await client.list(source, {kind}, LIST_TIMEOUT_MS);
    if (!listing.ok) return void skipUnresponsive(source);
    const {version, confirmedAfterMs} = listing.value;
    const known = logOf(kind).version();
    // This host must not go back to objects that it has seen removed.
    const isBehind = version < known;
    const isLate = mark.hasDrifted() || !isRecent(mark.atMs, confirmedAfterMs);
    if (isBehind || isLate) {
      const reason = isBehind ? 'behind' : 'late';
      options.onOutdated?.({kind, source, reason, version, known});
      return void skipBriefly(source);
    }
    call.listed(listing.value);
    return listing.value;
  }

  async function changesFrom(
    source: HostId,
    kind: string,
    since: number,
    waitMs: number,
  ): Promise<ChangeBatch | undefined> {
    const mark = markClocks(clocks);
    const call = logOf(kind).begin();
    const params = {kind, since, waitMs: Math.min(waitMs, RELAY_POLL_MS)};
    const timeoutMs = params.waitMs + ROUND_TRIP_MS;
    const batch = await client.changes(source, params, timeoutMs);
    if (!batch.ok) return void skipUnresponsive(source);
    if (batch.value.kind === 'unavailable') return void skipBriefly(source);
    if (batch.value.kind === 'changes') {
      const {version, confirmedAfterMs} = batch.value;
      if (mark.hasDrifted() || !isRecent(mark.atMs, confirmedAfterMs)) {
        const known = logOf(kind).version();
        const reason = 'late';
        options.onOutdated?.({kind, source, reason, version, known});
        return void skipBriefly(source);
      }
      call.polled(batch.value);
    }
    skipped.delete(source);
    return batch.value;
  }

  async function listKind(kind: string): Promise<Result<Listing>> {
    const source = usableSource();
    const relayed = source && (await listFrom(source, kind));
    if (relayed !== undefined) return {ok: true, value: relayed};
    if (mustSpareStore(kind))
      return fail('platform_unavailable', 'store failed');
    const startMs = clocks.monotonicMs();
    const call = logOf(kind).begin();
    const listing = await store.listKind(kind);
    recordCall(kind, startMs, listing.ok);
    if (!listing.ok) return listing;
    const {version} = listing.value;
    const known = logOf(kind).version();
    // Another host may have learned of a restore first.
    if (eraOf(version) < eraOf(known)) {
      options.onOutdated?.({kind, reason: 'behind', version, known});
      return fail('platform_unavailable', 'listing of an earlier era');
    }
    call.listed(listing.value);
    return listing;
  }

  async function changes(
    kind: string,
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<ChangeBatch> {
    const source = usableSource();
    const relayed = source && (await changesFrom(source, kind, since, waitMs));
    if (relayed !== undefined) return relayed;
    if (mustSpareStore(kind))
      return {kind: 'unavailable', message: 'store failed'};
    const startMs = clocks.monotonicMs();
    const call = logOf(kind).begin();
    const pollMs = storeWaitMs(kind, waitMs);
    const batch = await store.changes(kind, since, pollMs, signal);
    call.polled(batch);
    if (!signal.aborted)
      recordCall(kind, startMs, batch.kind !== 'unavailable');
    return batch;
  }

  return {
    feed: {listKind, changes},
    failedAtMs: kind => failedCalls.get(kind)?.atMs,
    service: {
      list({kind}) {
        const listing = logs.get(kind)?.listing();
        return listing === undefined
          ? Promise.reject(new Error(`${kind} is not known here`))
          : Promise.resolve(listing);
      },
      changes: ({kind, since, waitMs}) =>
        logs.get(kind)?.changes(since, Math.min(waitMs, RELAY_POLL_MS)) ??
        Promise.resolve({kind: 'unavailable', message: 'not known here'}),
    },
  };
}
