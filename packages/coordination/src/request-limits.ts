import type {EndpointId} from '@chivewick/common';

/**
 * Time after the last statement of a limit in which one without it does not count: the
 * responses of different requests may overtake each other.
 */
const CROSSING_MS = 300;
/** Time for which a statement is repeated to other hosts and a limit holds. */
const VALID_MS = 30_000;
/** Fraction by which a limit changes that is announced at once. */
const NOTABLE_CHANGE = 0.1;
/** Statements in one message: each takes 120 bytes, and a datagram carries 64 KB. */
const MAX_REPORTED = 400;

/** One run of an endpoint; a restart ends its limit. */
export interface LimitedRun {
  readonly endpoint: EndpointId;
  readonly startedAtMs: number;
}

/** What an endpoint has stated about the requests that it takes. */
export interface RequestLimit extends LimitedRun {
  /** Requests per second from all hosts together; undefined if not limited. */
  readonly perSecond?: number;
  /** Age of the statement at the time of the message, in milliseconds. */
  readonly msAgo: number;
}

/** The limits that endpoints have stated, to any host. */
export interface RequestLimits {
  /** Takes over the statement of a response, which may be that there is no limit. */
  observe(run: LimitedRun, perSecond: number | undefined): void;
  /** Takes over what other hosts know; of two statements the newer one holds. */
  merge(limits: readonly RequestLimit[]): void;
  /** Requests per second from all hosts together; undefined if not limited. */
  of(run: LimitedRun): number | undefined;
  /** What other hosts should know. */
  report(): RequestLimit[];
}

interface Statement {
  readonly startedAtMs: number;
  readonly perSecond?: number;
  readonly saidAtMs: number;
}

/**
 * Creates an empty table. A statement that arrives twice or late changes nothing.
 *
 * @param onChange called after a change that other hosts should know at once.
 * @example
 * limits.observe({endpoint, startedAtMs}, 13.7);
 * limits.of({endpoint, startedAtMs}); // 13.7
 */
export function createRequestLimits(
  onChange: () => void,
  now: () => number = () => performance.now(),
): RequestLimits {
  const statements = new Map<EndpointId, Statement>();

  /** Records a statement; returns whether it is news to other hosts. */
  function record(endpoint: EndpointId, statement: Statement): boolean {
    const known = statements.get(endpoint);
    const isKnownRun = known?.startedAtMs === statement.startedAtMs;
    if (known === undefined || !isKnownRun) {
      if (known !== undefined && known.saidAtMs > statement.saidAtMs)
        return false;
      statements.set(endpoint, statement);
      return statement.perSecond !== undefined;
    }
    const sinceMs = statement.saidAtMs - known.saidAtMs;
    if (sinceMs <= 0) return false;
    const isEnd = statement.perSecond === undefined;
    if (isEnd && known.perSecond !== undefined && sinceMs < CROSSING_MS)
      return false;
    statements.set(endpoint, statement);
    return isNotable(known.perSecond, statement.perSecond);
  }

  return {
    observe({endpoint, startedAtMs}, perSecond) {
      const saidAtMs = now();
      // Most endpoints never state a limit.
      const isUnknown = statements.get(endpoint)?.startedAtMs !== startedAtMs;
      if (isUnknown && perSecond === undefined) return;
      if (record(endpoint, {startedAtMs, perSecond, saidAtMs})) onChange();
    },
    merge(limits) {
      const changes = limits.map(({endpoint, startedAtMs, perSecond, msAgo}) =>
        record(endpoint, {startedAtMs, perSecond, saidAtMs: now() - msAgo}),
      );
      if (changes.includes(true)) onChange();
    },
    of({endpoint, startedAtMs}) {
      const statement = statements.get(endpoint);
      if (statement?.startedAtMs !== startedAtMs) return undefined;
      const isValid = now() - statement.saidAtMs < VALID_MS;
      return isValid ? statement.perSecond : undefined;
    },
    report() {
      const atMs = now();
      const recent: RequestLimit[] = [];
      for (const [endpoint, statement] of statements) {
        const {startedAtMs, perSecond, saidAtMs} = statement;
        const msAgo = atMs - saidAtMs;
        if (msAgo < VALID_MS)
          recent.push({endpoint, startedAtMs, perSecond, msAgo});
        else statements.delete(endpoint);
      }
      return recent.sort((a, b) => a.msAgo - b.msAgo).slice(0, MAX_REPORTED);
    },
  };
}

function isNotable(before: number | undefined, after: number | undefined) {
  if (before === undefined || after === undefined) return before !== after;
  return Math.abs(after - before) > NOTABLE_CHANGE * before;
}
