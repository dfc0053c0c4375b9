import type {HostId} from '@chivewick/common';

/** Time within which a configuration that another host has arrives through the feed. */
const FEED_DELAY_MS = 500;
/** Time between two fetches; a configuration may have a megabyte. */
const RETRY_MS = 2_000;

/** Notices that other hosts have a newer configuration than the feed brings. */
export interface CatchUp {
  /** Takes note of the version that another host has. */
  heard(host: HostId, version: number): void;
}

/**
 * Fetches a configuration from another host that has had a newer one for a while: this
 * host has started from an older copy of the store, or has missed a version that the
 * store has lost.
 *
 * @param options.current version in effect here; undefined if there is none.
 * @param options.fetch takes over the configuration of a host.
 * @example
 * const catchUp = createCatchUp({current: () => routing?.config.version, fetch});
 * catchUp.heard(summary.from, summary.configVersion);
 */
export function createCatchUp(options: {
  readonly current: () => number | undefined;
  readonly fetch: (host: HostId) => Promise<void>;
  readonly now?: () => number;
}): CatchUp {
  const {current, fetch, now = () => performance.now()} = options;
  /** A version that this host lacks, and when to fetch it. */
  let missing:
    {readonly version: number; readonly fetchAtMs: number} | undefined;
  let isFetching = false;

  return {
    heard(host, version) {
      const own = current();
      if (own === undefined || version <= own) return;
      if (missing === undefined || missing.version <= own)
        missing = {version, fetchAtMs: now() + FEED_DELAY_MS};
      if (isFetching || now() < missing.fetchAtMs) return;
      missing = {version, fetchAtMs: now() + RETRY_MS};
      isFetching = true;
      const done = () => void (isFetching = false);
      fetch(host).then(done, done);
    },
  };
}
