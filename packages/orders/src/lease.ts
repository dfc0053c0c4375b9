/** The lease `orders/lease`; only its holder sends orders. */
import {
  markClocks,
  RUNTIME_CLOCKS,
  type ClockMark,
  type Clocks,
  type HostId,
  type Logger,
} from '@chivewick/common';
import {
  eraOf,
  type ExpectedVersion,
  type ObjectStore,
} from '@chivewick/platform';
import {randomUUID} from 'node:crypto';
import type {LeaseValue, OrdersTiming} from './orders-api.js';

export const LEASE_KEY = 'orders/lease';

/** A lease as one host sees it. */
export interface Lease {
  /**
   * Renews the lease if this host holds it, or acquires it if it has expired.
   * One call makes at most one read and one write.
   */
  step(lists: number): Promise<void>;
  /** The fencing number, while the lease certainly has not expired. */
  fence(): number | undefined;
  /**
   * Stops this host from acting until a read and a renewal confirm the lease.
   * With `raiseFence` that renewal uses a higher fencing number.
   */
  invalidate(raiseFence?: boolean): void;
  /** Releases the lease, so that another host can acquire it immediately. */
  release(): Promise<void>;
}

/** Value of `holder` in a released lease. */
const NO_HOLDER = '' as HostId;

type Timing = Pick<OrdersTiming, 'leaseMs' | 'leaseMarginMs'>;

/** Version of another host's lease, and when this host first read it. */
interface Observation {
  readonly version: ExpectedVersion;
  readonly sinceMs: number;
}

/**
 * Creates this host's client of the lease. Clocks of different hosts are never
 * compared: a holder measures the lease from before its write, and a contender
 * waits a full lease from after it first read a version that has not changed
 * since. The holder's deadline therefore precedes the contender's write. A
 * holder that was suspended does not act until it has renewed the lease, even
 * before its deadline.
 *
 * @example
 * const lease = createLease({self, platform, log, timing, highestFence});
 * await lease.step(lists.version);
 * const fence = lease.fence();
 */
export function createLease(options: {
  self: HostId;
  platform: ObjectStore;
  log: Logger;
  timing: Timing;
  /** Highest fencing number in use elsewhere; called when no lease exists. */
  highestFence: () => Promise<number | undefined>;
  /** Defaults to the clocks of the runtime. */
  clocks?: Clocks;
}): Lease {
  const {self, platform, log, timing, highestFence} = options;
  const {clocks = RUNTIME_CLOCKS} = options;
  const session = randomUUID();
  const {leaseMs, leaseMarginMs} = timing;
  /** Start times of the writes that may have taken effect, by write ID. */
  const writes = new Map<string, ClockMark>();
  let held: {value: LeaseValue; version: number} | undefined;
  /** Start of the write from which the lease is measured. */
  let since: ClockMark | undefined;
  /** `since` before it became uncertain whether this host holds the lease. */
  let lastSince: ClockMark | undefined;
  /** Highest fencing number that this host has seen; a restored store has a lower one. */
  let seenFence = 0;
  let seenEra: number | undefined;
  let observed: Observation | undefined;
  /** Whether `held.version` may be out of date. */
  let stale = false;
  let fenceIncrement = 0;

  const isValid = (start: ClockMark | undefined): boolean =>
    start !== undefined &&
    clocks.monotonicMs() < start.atMs + leaseMs - leaseMarginMs &&
    !start.hasDrifted();

  const isHeld = (): boolean => held !== undefined && isValid(since);

  function adopt(value: LeaseValue, version: number): void {
    const start = writes.get(value.writeId);
    if (start === undefined) return;
    seenFence = Math.max(seenFence, value.fence);
    if (held === undefined || held.value.fence !== value.fence) {
      log.event('orderLeaseTaken', {fence: value.fence});
    }
    held = {value, version};
    since = start;
    observed = undefined;
    stale = false;
    for (const [writeId, {atMs}] of writes)
      if (atMs < start.atMs) writes.delete(writeId);
  }

  /**
   * Continues from what a restored store has, which may be an earlier renewal. While the
   * last renewal is valid, no other host has waited for long enough to acquire the lease.
   */
  function resume(value: LeaseValue, version: number): boolean {
    if (held === undefined || !isValid(since ?? lastSince)) return false;
    held = {value: {...value, fence: held.value.fence}, version};
    stale = false;
    return true;
  }

  /** Notes the era; returns whether the store was restored since this host noted it. */
  function noteEra(version: number): boolean {
    const previous = seenEra;
    seenEra = eraOf(version);
    return previous !== undefined && seenEra > previous;
  }

  /** Whether a lease of this session is still its own; another may have been lost. */
  function confirm(value: LeaseValue, version: number): boolean {
    const isRestored = noteEra(version);
    if (isRestored && resume(value, version)) return true;
    // Another host may have acquired the lease after these writes.
    if (isRestored) writes.clear();
    else adopt(value, version);
    return !isRestored && held !== undefined;
  }

  function markUncertain(): void {
    lastSince = since ?? lastSince;
    since = undefined;
    stale = true;
  }

  function dropLease(holder: HostId | undefined): void {
    if (held === undefined) return;
    log.event('orderLeaseLost', {fence: held.value.fence, holder});
    held = undefined;
    since = undefined;
    lastSince = undefined;
    fenceIncrement = 0;
    writes.clear();
  }

  async function write(
    next: Omit<LeaseValue, 'holder' | 'session' | 'writeId'>,
    expected: ExpectedVersion,
  ): Promise<void> {
    const value = {...next, holder: self, session, writeId: randomUUID()};
    writes.set(value.writeId, markClocks(clocks));
    const outcome = await platform.put(LEASE_KEY, value, expected);
    if (outcome.kind === 'written') {
      noteEra(outcome.version);
      adopt(value, outcome.version);
    }
    // The stored version is newer. The next read shows whether it is an own
    // write whose response was lost, or another holder's.
    if (outcome.kind === 'conflict') markUncertain();
  }

  async function renew(lists: number): Promise<void> {
    const {value, version} = held!;
    const fence = value.fence + fenceIncrement;
    fenceIncrement = 0;
    await write({fence, lists: Math.max(value.lists, lists)}, version);
  }

  async function observe(lists: number): Promise<void> {
    const read = await platform.get(LEASE_KEY);
    if (!read.ok) return;
    const value = readLease(read.value?.value);
    const {fence: lastFence} = value;
    const version = read.value?.version ?? 'absent';
    seenFence = Math.max(seenFence, lastFence ?? 0);
    if (value.session === session && lastFence !== undefined) {
      const own = {...value, fence: lastFence};
      if (confirm(own, read.value!.version)) {
        if (!isHeld()) await renew(lists);
        return;
      }
    }
    if (read.value !== undefined) noteEra(read.value.version);
    dropLease(value.holder);
    const nowMs = clocks.monotonicMs();
    if (observed?.version !== version) observed = {version, sinceMs: nowMs};
    const expired =
      read.value === undefined ||
      value.holder === NO_HOLDER ||
      nowMs - observed.sinceMs >= leaseMs;
    // A host with older lists than the last holder would undo that holder's
    // orders.
    if (!expired || value.lists > lists) return;
    const fence = lastFence ?? (await highestFence());
    if (fence === undefined) return;
    await write({fence: Math.max(fence, seenFence) + 1, lists}, version);
  }

  return {
    async step(lists) {
      if (held !== undefined && !stale) return renew(lists);
      await observe(lists);
    },
    fence: () => (isHeld() ? held!.value.fence : undefined),
    invalidate(raiseFence = false) {
      if (raiseFence) fenceIncrement = 1;
      markUncertain();
    },
    async release() {
      if (held === undefined) return;
      const {value, version} = held;
      dropLease(undefined);
      const released = {...value, holder: NO_HOLDER, session: '', writeId: ''};
      await platform.put(LEASE_KEY, released, version);
    },
  };
}

/**
 * Reads a stored lease. Another writer may have left any value, so that numbers that are
 * none are left out.
 */
function readLease(
  stored: unknown,
): Omit<LeaseValue, 'fence'> & {readonly fence: number | undefined} {
  const {fence, lists, ...texts} = (stored ?? {}) as LeaseValue;
  return {
    ...texts,
    fence: Number.isSafeInteger(fence) ? fence : undefined,
    lists: Number.isSafeInteger(lists) ? lists : 0,
  };
}
