import {
  hasAnnouncedItsEnd,
  isLeaving,
  type EndpointState,
} from '../endpoint-table.js';

/** Interval between checks of an endpoint that does not respond. */
const CHECK_INTERVAL_MS = 1_000;
/** Time after which an endpoint that has not ended did not crash because of a request. */
const WATCHED_MS = 10_000;
/** Suspects of one run; the ones that come later wait for the same verdict. */
const MAX_SUSPECTS = 32;

/**
 * What is known of an endpoint's run. `silent`: it accepts connections and does not
 * respond, so that it may still end.
 */
export type RunStatus = 'ended' | 'left' | 'running' | 'silent';

/** Finds out what has become of an endpoint's run. */
export type CheckRun = (state: EndpointState) => Promise<RunStatus>;

/** Watches endpoints whose requests were cut off or given up, until they end. */
export interface RunWatch<T> {
  /** Resolves once a first check was made and its result was reported. */
  check(state: EndpointState, suspect: T): Promise<RunStatus>;
  /** Starts to watch an endpoint without a check now. */
  add(state: EndpointState, suspect: T): void;
  /** Notices that the endpoints have changed; a new run may stand for an old one. */
  endpointsChanged(): void;
  /** Forgets what matches, as it has turned out to be sound. */
  forget(matches: (suspect: T) => boolean): void;
  /** Whether a suspect is still watched. */
  has(matches: (suspect: T) => boolean): boolean;
}

interface WatchedRun<T> {
  readonly state: EndpointState;
  /** Suspects with the time since which their endpoint has been silent to them. */
  readonly suspects: Map<T, number>;
  status: RunStatus;
}

/**
 * Creates a watch. An endpoint that crashes may be silent for seconds before, and may
 * listen again when its connections are found closed, so that one check is not enough.
 *
 * @param options.onEnded called for each suspect of a run that has ended unplanned, with
 *   the time in milliseconds for which the run had been silent to it.
 * @example
 * const watch = createRunWatch({checkRun, isReplaced, onEnded: record});
 * watch.add(state, suspect);
 */
export function createRunWatch<T>(options: {
  readonly checkRun: CheckRun;
  /** Whether the table shows that another run has taken the place of one. */
  readonly isReplaced: (state: EndpointState) => boolean;
  readonly onEnded: (
    state: EndpointState,
    suspect: T,
    silentMs: number,
  ) => void;
  /** Monotonic clock, in milliseconds. */
  readonly now?: () => number;
}): RunWatch<T> {
  const now = options.now ?? (() => performance.now());
  const runs = new Map<EndpointState, WatchedRun<T>>();
  const checks = new Map<EndpointState, Promise<RunStatus>>();
  let timer: NodeJS.Timeout | undefined;

  function watch(state: EndpointState, suspect: T): WatchedRun<T> {
    const run: WatchedRun<T> = runs.get(state) ?? {
      state,
      suspects: new Map(),
      status: 'silent',
    };
    runs.set(state, run);
    if (run.suspects.size < MAX_SUSPECTS) run.suspects.set(suspect, now());
    run.status = 'silent';
    timer ??= setTimeout(() => void checkAll(), CHECK_INTERVAL_MS).unref();
    return run;
  }

  /** Requests that are cut off at the same time share a check. */
  function statusOf(state: EndpointState): Promise<RunStatus> {
    if (hasAnnouncedItsEnd(state)) return Promise.resolve('left');
    if (options.isReplaced(state)) return Promise.resolve('ended');
    if (isLeaving(state)) return Promise.resolve('left');
    const known = checks.get(state);
    if (known !== undefined) return known;
    const check = options
      .checkRun(state)
      .finally(() => void checks.delete(state));
    checks.set(state, check);
    return check;
  }

  function conclude(run: WatchedRun<T>, status: RunStatus): void {
    run.status = status;
    if (status !== 'ended' && status !== 'left') return;
    runs.delete(run.state);
    if (status === 'left') return;
    for (const [suspect, sinceMs] of run.suspects)
      options.onEnded(run.state, suspect, now() - sinceMs);
  }

  function dropOld(): void {
    const cutoffMs = now() - WATCHED_MS;
    for (const {state, suspects} of runs.values()) {
      for (const [suspect, sinceMs] of suspects)
        if (sinceMs < cutoffMs) suspects.delete(suspect);
      if (suspects.size === 0) runs.delete(state);
    }
  }

  async function checkAll(): Promise<void> {
    dropOld();
    // One that responds is watched on, by the changes of the table.
    const silent = [...runs.values()].filter(
      ({status}) => status !== 'running',
    );
    await Promise.all(
      silent.map(async run => conclude(run, await statusOf(run.state))),
    );
    timer = undefined;
    if (runs.size > 0)
      timer = setTimeout(() => void checkAll(), CHECK_INTERVAL_MS).unref();
  }

  return {
    async check(state, suspect) {
      const run = watch(state, suspect);
      const status = await statusOf(state);
      if (runs.get(state) === run) conclude(run, status);
      return status;
    },
    add: (state, suspect) => void watch(state, suspect),
    endpointsChanged() {
      for (const run of [...runs.values()])
        if (options.isReplaced(run.state))
          conclude(run, hasAnnouncedItsEnd(run.state) ? 'left' : 'ended');
    },
    forget(matches) {
      for (const {suspects} of runs.values())
        for (const suspect of suspects.keys())
          if (matches(suspect)) suspects.delete(suspect);
    },
    has: matches =>
      [...runs.values()].some(({suspects}) =>
        [...suspects.keys()].some(matches),
      ),
  };
}
