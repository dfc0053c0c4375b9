import {
  fail,
  ok,
  rendezvousOrder,
  type EndpointId,
  type HostId,
  type Logger,
  type Result,
} from '@chivewick/common';
import type {Peers} from '@chivewick/peers';
import {updateObject, type ObjectApi} from '@chivewick/platform';
import {createAnnouncer} from './announcer.js';
import {fingerprintOf, type FingerprintedRequest} from './fingerprint.js';
import {parseParams, paramSchemas} from './messages.js';
import {createSuspectTable, type Ban, type Crash} from './suspects.js';
import {createTrialTable, type TrialRequest} from './trials.js';

const TRIAL_CALL_TIMEOUT_MS = 500;
/** Interval between requests for a trial. */
const TRIAL_RETRY_MS = 50;
/** Maximum wait for a trial. */
const MAX_TRIAL_WAIT_MS = 10_000;
const BAN_WRITE_TIMEOUT_MS = 60_000;
const OBJECT_PREFIX = 'quarantine/';

/** Options of a host's quarantine. */
export interface QuarantineOptions {
  readonly platform: ObjectApi;
  readonly peers: Peers;
  /** The firm's secret; keys the fingerprints. */
  readonly secret: string;
  readonly log: Logger;
  /** Live hosts, including this one; by default, those known to `peers`. */
  readonly live?: () => readonly HostId[];
}

/** Permission for a request to run. */
export interface RunPermit {
  readonly fingerprint: string;
  /** Whether the request runs as the only suspect on its endpoints. */
  readonly trial: boolean;
  /** Must be called when the request has ended, whatever its outcome. */
  done(): void;
}

/** Prevents requests that crash endpoints from crashing more of them. */
export interface Quarantine {
  /** Loads the bans in force; fails if the platform does not answer. */
  start(): Promise<Result<void>>;
  fingerprint(req: FingerprintedRequest): string;
  /**
   * Returns a permit when a request may run. A suspect waits for its trial and
   * fails with `overloaded` after 10 s; a banned request fails with
   * `quarantined`.
   */
  admit(
    req: FingerprintedRequest,
    endpoints?: readonly EndpointId[],
  ): Promise<Result<RunPermit>>;
  /**
   * Reports that an endpoint crashed, the requests that were on it, and which of
   * these had produced tokens. Resolves when all hosts have confirmed, or after
   * 1.5 s.
   */
  reportCrash(
    endpoint: EndpointId,
    fingerprints: readonly string[],
    progressed?: ReadonlySet<string>,
  ): Promise<void>;
  /**
   * Returns a permit when a request may run again after a crash. Waits and fails
   * like `admit`.
   */
  admitRetry(
    fingerprint: string,
    endpoints?: readonly EndpointId[],
  ): Promise<Result<RunPermit>>;
  /**
   * Time at which this host learned of the last crash of an endpoint, reported
   * by any host, on the clock of `performance.now()`.
   */
  lastCrashMs(endpoint: EndpointId): number | undefined;
  /** Bans in force that are known to this host. */
  bans(): readonly Ban[];
  close(): Promise<void>;
}

/** Parameters of `quarantine.suspect`. */
interface SuspectParams {
  readonly crashes: readonly (Crash & {fingerprint: string})[];
  readonly bans: readonly Ban[];
}

/**
 * Creates a host's quarantine. Requests that were on an endpoint when it crashed
 * become suspects. Each runs again only after it has been announced to all
 * hosts, and never on an endpoint with another suspect. A crash in such a trial
 * bans the request for an hour.
 *
 * @example
 * const quarantine = createQuarantine({platform, peers, secret, log});
 * const permit = await quarantine.admit({workspace, model, body: prompt});
 * if (!permit.ok) return permit;
 * try { await run(); } finally { permit.value.done(); }
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const {platform, peers, secret, log} = options;
  const {self} = peers;
  const live = options.live ?? (() => [self, ...peers.knownHosts()]);
  const suspects = createSuspectTable();
  const trials = createTrialTable();
  const announcer = createAnnouncer({peers, live, log});
  const ownTrials = new Set<string>();
  /** Time of the last crash of each endpoint, on this host's monotonic clock. */
  const lastCrashes = new Map<EndpointId, number>();
  const announcements = new Map<string, Promise<unknown>>();
  const pendingWrites = new Set<Promise<unknown>>();
  let closed = false;

  peers.handle('quarantine.suspect', params => {
    const {crashes, bans} = parseParams<SuspectParams>(
      paramSchemas.suspect,
      params,
    );
    for (const {fingerprint, ...crash} of crashes) {
      lastCrashes.set(crash.endpoint, performance.now());
      void publishBan(suspects.recordCrash(fingerprint, crash));
    }
    for (const ban of bans) suspects.addBan(ban);
    return true;
  });
  peers.handle('quarantine.trial', (params, from) =>
    trials.begin(parseParams<TrialRequest>(paramSchemas.trial, params), from),
  );
  peers.handle('quarantine.done', (params, from) => {
    trials.end(parseParams<string>(paramSchemas.done, params), from);
    return true;
  });

  /** Announces and stores a ban that this host has decided on. */
  function publishBan(ban: Ban | undefined): Promise<void> {
    if (ban === undefined) return Promise.resolve();
    const {fingerprint, evidence} = ban;
    log.event('requestQuarantined', {fingerprint, evidence});
    const write = updateObject<Ban>(
      platform,
      OBJECT_PREFIX + fingerprint,
      stored =>
        stored !== undefined && stored.expiresAt >= ban.expiresAt
          ? undefined
          : ban,
      {deadlineMs: BAN_WRITE_TIMEOUT_MS},
    ).then(res => {
      pendingWrites.delete(write);
      if (!res.ok) log.event('banNotStored', {fingerprint, err: res.err});
    });
    pendingWrites.add(write);
    return announcer.announce({bans: [ban]});
  }

  async function reportCrash(
    endpoint: EndpointId,
    fingerprints: readonly string[],
    progressed: ReadonlySet<string> = new Set(),
  ): Promise<void> {
    lastCrashes.set(endpoint, performance.now());
    const unbanned = fingerprints.filter(
      fingerprint => suspects.ban(fingerprint) === undefined,
    );
    const crashes = unbanned.map(fingerprint => ({
      fingerprint,
      endpoint,
      host: self,
      at: Date.now(),
      trial: ownTrials.has(fingerprint),
      progressed: progressed.has(fingerprint),
    }));
    const bans = crashes.map(({fingerprint, ...crash}) =>
      suspects.recordCrash(fingerprint, crash),
    );
    const announced = announcer.announce({crashes});
    const announcement = Promise.all([
      announced,
      ...bans.map(ban => publishBan(ban)),
    ]);
    for (const fingerprint of unbanned)
      announcements.set(fingerprint, announcement);
    await announcement;
    for (const fingerprint of unbanned) {
      // From here on, other suspects may use the endpoints of the trial, so
      // all hosts must first be notified of the endpoints that have crashed.
      endTrial(fingerprint);
      if (announcements.get(fingerprint) === announcement)
        announcements.delete(fingerprint);
    }
  }

  async function admitRetry(
    fingerprint: string,
    endpoints?: readonly EndpointId[],
  ): Promise<Result<RunPermit>> {
    const startMs = performance.now();
    for (;;) {
      await announcements.get(fingerprint);
      const ban = suspects.ban(fingerprint);
      if (ban !== undefined) return quarantinedFailure(ban);
      if (!suspects.isSuspect(fingerprint))
        return createPermit(fingerprint, false);
      // A second copy of the request on this host must not share the trial.
      if (!ownTrials.has(fingerprint)) {
        ownTrials.add(fingerprint);
        if (await requestTrial({fingerprint, endpoints})) {
          if (suspects.ban(fingerprint) === undefined)
            return createPermit(fingerprint, true);
          endTrial(fingerprint);
          continue;
        }
        ownTrials.delete(fingerprint);
      }
      if (closed || performance.now() - startMs > MAX_TRIAL_WAIT_MS)
        return fail(
          'overloaded',
          'the request was on an endpoint that crashed; other such requests are being tried first',
          {retryAfterMs: MAX_TRIAL_WAIT_MS},
        );
      await new Promise(resolve => setTimeout(resolve, TRIAL_RETRY_MS));
    }
  }

  /** Requests a trial from the coordinating host, or the next if it doesn't answer. */
  async function requestTrial(trial: TrialRequest): Promise<boolean> {
    for (const host of rendezvousOrder('quarantine', [...live()])) {
      if (host === self) return trials.begin(trial, self);
      const res = await peers.call<boolean>(host, 'quarantine.trial', trial, {
        timeoutMs: TRIAL_CALL_TIMEOUT_MS,
      });
      if (res.ok) return res.value;
    }
    return false;
  }

  function endTrial(fingerprint: string): void {
    if (!ownTrials.delete(fingerprint)) return;
    trials.end(fingerprint, self);
    for (const host of rendezvousOrder('quarantine', [...live()]).slice(0, 2))
      if (host !== self)
        void peers.call(host, 'quarantine.done', fingerprint, {
          timeoutMs: TRIAL_CALL_TIMEOUT_MS,
        });
  }

  function createPermit(
    fingerprint: string,
    trial: boolean,
  ): Result<RunPermit> {
    const done = (): void => {
      if (trial) endTrial(fingerprint);
    };
    return ok({fingerprint, trial, done});
  }

  const fingerprint = (req: FingerprintedRequest): string =>
    fingerprintOf(secret, req);

  return {
    fingerprint,
    reportCrash,
    admitRetry,
    admit: (req, endpoints) => admitRetry(fingerprint(req), endpoints),
    lastCrashMs: endpoint => lastCrashes.get(endpoint),
    bans: () => suspects.bans(),
    async start() {
      const stored = await platform.list(OBJECT_PREFIX);
      if (!stored.ok) return stored;
      for (const {key, version, value} of stored.value) {
        const ban = value as Ban;
        if (ban.expiresAt > Date.now()) suspects.addBan(ban);
        else await platform.remove(key, version);
      }
      return ok(undefined);
    },
    async close() {
      closed = true;
      announcer.close();
      await Promise.all(pendingWrites);
    },
  };
}

function quarantinedFailure({expiresAt}: Ban): Result<RunPermit> {
  return fail(
    'quarantined',
    `the request crashed two endpoints and is refused until ${new Date(expiresAt).toISOString()}`,
  );
}
