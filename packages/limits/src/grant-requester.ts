import type {Random} from '@chivewick/common';

const INITIAL_DELAY_MS = 150;
const MAX_DELAY_MS = 2_000;
/**
 * Delay while the message credit is used up. A longer delay meets the message
 * target, but then requests of plans with free capacity are refused
 * (docs/design-notes/limits-allocations.md).
 */
const NO_CREDIT_DELAY_MS = 2_000;
/** The same for a workspace without any allowance on this host. */
const STARVED_DELAY_MS = 100;
/** Messages that a request earns; the target is 1 message per 20 requests. */
const CREDIT_PER_REQUEST = 1 / 40;
/** Initial credit and its bounds, in messages. */
const INITIAL_CREDIT = 14;
const MAX_CREDIT = 40;
const MAX_DEBT = 30;
/** Credit, in messages, reserved for workspaces without any allowance. */
const RESERVED_CREDIT = 3;

/** Rebalancing messages that this host may send, across all workspaces. */
export interface MessageCredit {
  earn(requests: number): void;
  spend(messages: number): void;
  /** Whether the credit covers the next request for capacity. */
  covers(starved: boolean): boolean;
}

/**
 * Creates the credit. Requests of every workspace earn it, so that the many
 * requests of a large plan pay for rebalancing a small one, which has fewer
 * slots than there are hosts.
 *
 * @example
 * const credit = createMessageCredit();
 */
export function createMessageCredit(): MessageCredit {
  let credit = INITIAL_CREDIT;
  return {
    earn(requests) {
      credit = Math.min(MAX_CREDIT, credit + requests * CREDIT_PER_REQUEST);
    },
    spend(messages) {
      credit = Math.max(-MAX_DEBT, credit - messages);
    },
    covers: starved => credit > (starved ? 0 : RESERVED_CREDIT),
  };
}

/** The result of a rebalancing round for this host. */
export interface GrantOutcome {
  /** Whether the allowance now covers the requested target. */
  readonly met: boolean;
  /** Calls to peer hosts, including this host's part of the round's calls. */
  readonly messages: number;
}

export interface GrantRequesterOptions {
  /** Asks the rebalancing host for capacity; never called concurrently. */
  readonly requestGrant: () => Promise<GrantOutcome>;
  /**
   * Milliseconds until the shortage warrants a request; undefined without a
   * shortage.
   */
  readonly dueInMs: () => number | undefined;
  /** Whether the host has no allowance and no requests in progress. */
  readonly starved: () => boolean;
  readonly credit: MessageCredit;
  readonly random: Random;
}

/** Paces a workspace's requests for more allowance. */
export interface GrantRequester {
  /** Sends a request now, or as soon as the pacing allows. */
  schedule(): void;
  close(): void;
}

/**
 * Creates the requester. The delay doubles after each reply that doesn't cover
 * the target. Without message credit, requests are delayed further but not
 * forever: one is sent every few seconds, or sooner for a starved workspace.
 *
 * @example
 * const requester = createGrantRequester({requestGrant, dueInMs, starved, credit, random});
 */
export function createGrantRequester(
  options: GrantRequesterOptions,
): GrantRequester {
  const {credit, random} = options;
  let delayMs = INITIAL_DELAY_MS;
  let lastRequestMs = -Infinity;
  let inFlight = false;
  let closed = false;
  let timer: NodeJS.Timeout | undefined;

  const run = async () => {
    inFlight = true;
    const {met, messages} = await options.requestGrant();
    inFlight = false;
    credit.spend(messages);
    const spread = 0.75 + 0.5 * random.next();
    delayMs = met
      ? INITIAL_DELAY_MS
      : Math.min(delayMs * 2, MAX_DELAY_MS) * spread;
    lastRequestMs = performance.now();
    schedule();
  };

  const waitMs = (dueMs: number) => {
    const starved = options.starved();
    const paceMs = credit.covers(starved)
      ? delayMs
      : Math.max(delayMs, starved ? STARVED_DELAY_MS : NO_CREDIT_DELAY_MS);
    return Math.max(dueMs, lastRequestMs + paceMs - performance.now());
  };

  const schedule = () => {
    if (inFlight || closed || timer !== undefined) return;
    const dueMs = options.dueInMs();
    if (dueMs === undefined) return;
    const ms = waitMs(dueMs);
    if (ms <= 0) {
      void run();
      return;
    }
    timer = setTimeout(() => {
      timer = undefined;
      schedule();
    }, Math.ceil(ms));
    timer.unref();
  };

  return {
    schedule,
    close() {
      closed = true;
      clearTimeout(timer);
    },
  };
}
