import type {EndpointRun, Fingerprint, SuspectRequest} from './types.js';

/**
 * Crashes at different moments after which a fingerprint is banned. One crash has
 * many suspects; the second one that a fingerprint takes part in is seldom chance.
 */
const MIN_CRASHES = 2;
/**
 * The same for a part with which a request has succeeded: what crashes every endpoint
 * never succeeds, but a part that many requests share is near many crashes.
 */
const MIN_CRASHES_AFTER_SUCCESS = 5;
/** Different requests that a part needs to be blamed rather than one of them. */
const MIN_REQUESTS = 2;
/**
 * The same for a request to which no endpoint had begun to respond. When few endpoints
 * are left, all requests that waited for one wait for the next and see it crash too.
 */
const MIN_CRASHES_UNBEGUN = 3;
/**
 * The same if other requests on the endpoint had just begun: they are likelier causes,
 * but they are others at each crash, while a request that is repeated is there each time.
 */
const MIN_CRASHES_BESIDE_BEGUN = 5;
/**
 * Time in which all hosts report the requests that a crash interrupted. Until then it
 * is not known whether one of them had begun.
 */
export const SETTLE_MS = 250;
/** Crashes within this time count once for a part: a lost rack may be the cause. */
const SAME_MOMENT_MS = 20;
/**
 * The same for a part with which a request has succeeded. Most requests may share it, and
 * engines that are killed one after the other are all near it.
 */
const SAME_MOMENT_AFTER_SUCCESS_MS = 500;

/** A crash as a host remembers it. */
export interface RecordedCrash {
  readonly run: EndpointRun;
  readonly atMs: number;
  readonly requests: ReadonlyMap<Fingerprint, SuspectRequest>;
}

/** What a cause is looked for in. */
export interface KnownFacts {
  readonly crashes: readonly RecordedCrash[];
  /** Time of the last success with a part, or of a request that was near a crash. */
  readonly successes: ReadonlyMap<Fingerprint, number>;
  readonly isBanned: (fingerprint: Fingerprint) => boolean;
  readonly nowMs: number;
}

/** How often a part was near a crash that no banned part explains. */
interface PartRecord {
  readonly requests: Set<Fingerprint>;
  crashes: number;
  /** When the last moment that was counted began. */
  momentAtMs: number;
  /** Position in a prompt; a later part is in fewer requests. */
  depth: number;
}

/**
 * Finds the next fingerprint to ban. A part of a prompt is the cause if it was near
 * two crashes at different moments, with different requests and without any success; a
 * request, if it was near two crashes itself. Where others had begun, the parts of a
 * request that had not are no suspects, and the request needs more crashes. A crash that a banned part explains
 * incriminates no other part. Of several parts with the same evidence the most
 * specific one is taken, which rejects the fewest requests; if it is the wrong one,
 * the next crashes tell.
 *
 * @returns undefined if the evidence is not sufficient.
 * @example
 * const cause = findCause({crashes, successes, isBanned: part => bans.has(part), nowMs});
 */
export function findCause(facts: KnownFacts): Fingerprint | undefined {
  return findPart(facts) ?? findRequest(facts);
}

/** Whether a banned part was on the endpoint and explains its crash. */
export function isExplained(
  {requests}: RecordedCrash,
  isBanned: KnownFacts['isBanned'],
): boolean {
  return [...requests.values()].some(({parts}) => parts.some(isBanned));
}

/**
 * The requests that may have caused a crash: those to which the endpoint had begun to
 * respond, or all if there was none.
 */
function suspects(
  {requests, atMs}: RecordedCrash,
  nowMs: number,
): readonly SuspectRequest[] {
  const all = [...requests.values()];
  const begun = all.filter(({hasBegun}) => hasBegun);
  if (begun.length > 0) return begun;
  return nowMs - atMs < SETTLE_MS ? [] : all;
}

function partRecords(facts: KnownFacts): Map<Fingerprint, PartRecord> {
  const records = new Map<Fingerprint, PartRecord>();
  const ordered = [...facts.crashes].sort((a, b) => a.atMs - b.atMs);
  for (const crash of ordered) {
    if (isExplained(crash, facts.isBanned)) continue;
    for (const suspect of suspects(crash, facts.nowMs)) {
      const {request, parts} = suspect;
      for (const [depth, part] of parts.entries()) {
        if (hasSucceededSince(facts, part, lastSeenMs(crash, suspect)))
          continue;
        const known = records.get(part);
        const record = known ?? {
          requests: new Set(),
          crashes: 0,
          momentAtMs: -Infinity,
          depth,
        };
        if (known === undefined) records.set(part, record);
        record.requests.add(request);
        const sameMomentMs = facts.successes.has(part)
          ? SAME_MOMENT_AFTER_SUCCESS_MS
          : SAME_MOMENT_MS;
        if (crash.atMs - record.momentAtMs > sameMomentMs) {
          record.crashes += 1;
          record.momentAtMs = crash.atMs;
        }
        record.depth = Math.max(record.depth, depth);
      }
    }
  }
  return records;
}

/** The part with the most evidence, if that is sufficient. */
function findPart(facts: KnownFacts): Fingerprint | undefined {
  let found: (PartRecord & {fingerprint: Fingerprint}) | undefined;
  for (const [fingerprint, record] of partRecords(facts)) {
    const minCrashes = facts.successes.has(fingerprint)
      ? MIN_CRASHES_AFTER_SUCCESS
      : MIN_CRASHES;
    if (record.crashes < minCrashes) continue;
    if (record.requests.size < MIN_REQUESTS) continue;
    const isStronger =
      found === undefined ||
      record.crashes > found.crashes ||
      (record.crashes === found.crashes && record.depth > found.depth);
    if (isStronger) found = {...record, fingerprint};
  }
  return found?.fingerprint;
}

/**
 * A request that was near several crashes and has not succeeded since. It was sent to each
 * endpoint after the one before had crashed, so that the crashes need not be at different
 * moments.
 */
function findRequest(facts: KnownFacts): Fingerprint | undefined {
  const counts = new Map<Fingerprint, number>();
  for (const crash of facts.crashes) {
    if (isExplained(crash, facts.isBanned)) continue;
    const likely = new Set(suspects(crash, facts.nowMs));
    const isSettled = facts.nowMs - crash.atMs >= SETTLE_MS;
    for (const suspect of crash.requests.values()) {
      if (!likely.has(suspect) && !isSettled) continue;
      const {request} = suspect;
      // What crashes endpoints does not succeed afterwards.
      if (hasSucceededSince(facts, request, lastSeenMs(crash, suspect)))
        continue;
      const count =
        (counts.get(request) ?? 0) + 1 / minCrashes(suspect, likely);
      // The sum of five fifths may be just below 1.
      if (count > 0.99 && !facts.isBanned(request)) return request;
      counts.set(request, count);
    }
  }
  return undefined;
}

/** When an endpoint that crashed was last known to work on a request. */
export function lastSeenMs(
  {atMs}: Pick<RecordedCrash, 'atMs'>,
  {silentMs = 0}: SuspectRequest,
): number {
  return atMs - silentMs;
}

function hasSucceededSince(
  {successes}: KnownFacts,
  fingerprint: Fingerprint,
  atMs: number,
): boolean {
  return (successes.get(fingerprint) ?? -Infinity) > atMs;
}

/** Crashes such as this one after which a request is banned. */
function minCrashes(
  suspect: SuspectRequest,
  likely: ReadonlySet<SuspectRequest>,
): number {
  if (!likely.has(suspect)) return MIN_CRASHES_BESIDE_BEGUN;
  return suspect.hasBegun ? MIN_CRASHES : MIN_CRASHES_UNBEGUN;
}
