import type {HostId, Logger, LogEventName} from '@chivewick/common';
import {createMemberTable, type Update} from './member-table.js';
import type {MemberChange, MemberState} from './membership-api.js';
import {createUpdateQueue} from './update-queue.js';
import type {Message} from './wire.js';

/**
 * Time until a suspected member is considered dead, in periods times log10 of
 * the number of members.
 */
const SUSPICION_TIMEOUT_PERIODS = 3;

const EVENTS: Record<MemberState, LogEventName> = {
  alive: 'peerAlive',
  suspect: 'peerSuspected',
  dead: 'peerDead',
  left: 'peerLeft',
};

/** This host's view of all members, and the updates it has to send. */
export interface MemberView {
  readonly table: ReturnType<typeof createMemberTable>;
  leaving(): boolean;
  setLeaving(): void;
  /** Adds a known host as alive until a probe fails. */
  assumeAlive(host: HostId): void;
  suspect(host: HostId): void;
  /** Processes a message of a peer host. */
  receive(from: HostId, message: Message): void;
  /** Creates the next message to a peer host. */
  message(to: HostId): Message;
  stop(): void;
}

export interface MemberViewOptions {
  readonly self: HostId;
  readonly incarnation: number;
  readonly periodMs: number;
  readonly log: Logger;
  payload(): unknown;
  onChange(change: MemberChange): void;
  onPayload(from: HostId, payload: unknown): void;
}

/**
 * Creates the view: states ordered by incarnation, suspicions with a time
 * limit, and refutation of suspicions about this host.
 *
 * @example
 * const view = createMemberView({self, incarnation, periodMs: 1_000, log, payload, onChange, onPayload});
 */
export function createMemberView(options: MemberViewOptions): MemberView {
  const {self, log} = options;
  const table = createMemberTable();
  const queue = createUpdateQueue();
  const suspicionTimers = new Map<HostId, NodeJS.Timeout>();
  let {incarnation} = options;
  let leaving = false;

  function suspicionTimeoutMs(): number {
    const scale = Math.max(1, Math.log10(table.size() + 1));
    return SUSPICION_TIMEOUT_PERIODS * options.periodMs * scale;
  }

  function apply(update: Update): void {
    const [host, state, updateIncarnation] = update;
    if (host === self) return refute(state, updateIncarnation);
    const before = table.get(host)?.[1];
    // An unknown host that is not alive is ignored: it may have been removed
    // from this table.
    if (before === undefined && state !== 'alive') return;
    if (!table.apply(update)) return contradict(host, state);
    // A new incarnation of a live member is not passed on: a suspicion of an
    // older incarnation is contradicted when it arrives.
    if (before !== 'alive' || state !== 'alive') queue.add(update);
    updateSuspicionTimer(host, state, updateIncarnation);
    if (before === state) return;
    log.event(EVENTS[state], {host, incarnation: updateIncarnation});
    options.onChange({host, state});
  }

  /** Answers an outdated suspicion with the newer known state. */
  function contradict(host: HostId, state: MemberState): void {
    const known = table.get(host);
    if (state !== 'alive' && known?.[1] === 'alive') queue.add(known);
  }

  function updateSuspicionTimer(
    host: HostId,
    state: MemberState,
    updateIncarnation: number,
  ): void {
    clearTimeout(suspicionTimers.get(host));
    suspicionTimers.delete(host);
    if (state !== 'suspect') return;
    const timer = setTimeout(
      () => apply([host, 'dead', updateIncarnation]),
      suspicionTimeoutMs(),
    );
    timer.unref();
    suspicionTimers.set(host, timer);
  }

  function refute(state: MemberState, updateIncarnation: number): void {
    if (state === 'alive' || leaving) return;
    const isCurrent = updateIncarnation >= incarnation;
    if (isCurrent) incarnation = updateIncarnation + 1;
    queue.add([self, 'alive', incarnation]);
    if (isCurrent) log.event('suspicionRefuted', {state, incarnation});
  }

  return {
    table,
    leaving: () => leaving,
    setLeaving: () => void (leaving = true),
    assumeAlive(host) {
      if (table.apply([host, 'alive', 0]))
        options.onChange({host, state: 'alive'});
    },
    suspect(host) {
      const current = table.get(host);
      if (current?.[1] === 'alive') apply([host, 'suspect', current[2]]);
    },
    receive(from, message) {
      apply([from, 'alive', message.i]);
      for (const update of message.u) apply(update);
      options.onPayload(from, message.p);
    },
    message(to) {
      const recipientUpdate = table.get(to);
      const priorityUpdates: Update[] = leaving
        ? [[self, 'left', incarnation]]
        : [];
      if (recipientUpdate !== undefined && recipientUpdate[1] !== 'alive')
        priorityUpdates.push(recipientUpdate);
      const others = queue.take(table.size()).filter(([host]) => host !== to);
      const p = options.payload();
      return {
        i: incarnation,
        u: [...priorityUpdates, ...others],
        ...(p !== undefined && {p}),
      };
    },
    stop() {
      for (const timer of suspicionTimers.values()) clearTimeout(timer);
    },
  };
}
