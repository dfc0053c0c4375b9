import {pause} from '@chivewick/common';
import {
  parseEvidenceReport,
  type Ban,
  type EvidenceReport,
} from '@chivewick/crash-evidence';
import {updateObject, type ObjectStore} from '@chivewick/platform';

/** Delay over which changes are gathered into one write. */
const SAVE_DELAY_MS = 200;
/** Delay between attempts while the store does not respond. */
const RETRY_MS = 1_000;
/** A ban that old has ended, or comes back with the next crashes. */
const MAX_AGE_MS = 24 * 60 * 60_000;

/** A ban as it is stored; the time is epoch time, in milliseconds. */
interface SavedBan extends Pick<Ban, 'fingerprint' | 'crashes'> {
  readonly crashedAtMs: number;
}

interface SavedList {
  readonly bans: readonly SavedBan[];
}

/** Keeps bans in the store, so that they outlive the hosts. */
export interface SavedBans {
  /** Notices that what is known of crashes has changed. */
  changed(): void;
}

/**
 * Reads the saved bans and saves those that follow. All hosts know the same bans, so one
 * writer at a time is enough; two write the same.
 *
 * @param options.key of the object in the store.
 * @param options.isWriter whether this host writes now.
 * @example
 * const saved = keepBans({store, key: 'quarantine/bans', quarantine, isWriter, signal});
 */
export function keepBans(options: {
  readonly store: Pick<ObjectStore, 'get' | 'put'>;
  readonly key: string;
  readonly quarantine: {
    report(): EvidenceReport | undefined;
    merge(report: EvidenceReport): void;
  };
  readonly isWriter: () => boolean;
  readonly signal: AbortSignal;
}): SavedBans {
  const {store, key, quarantine, signal} = options;
  let isLoaded = false;
  /** Fingerprints in the store, as far as this host knows. */
  let saved = new Set<string>();
  let timer: NodeJS.Timeout | undefined;

  async function load(): Promise<void> {
    while (!signal.aborted) {
      const found = await store.get(key);
      if (found.ok) {
        const bans = decode(found.value?.value);
        saved = new Set(bans.map(ban => ban.fingerprint));
        isLoaded = true;
        quarantine.merge({crashes: [], successes: [], bans});
        return schedule();
      }
      await pause(RETRY_MS, signal);
    }
  }

  function schedule(): void {
    timer ??= setTimeout(() => void save(), SAVE_DELAY_MS).unref();
  }

  async function save(): Promise<void> {
    timer = undefined;
    const bans = quarantine.report()?.bans ?? [];
    const isSame =
      bans.length === saved.size &&
      bans.every(({fingerprint}) => saved.has(fingerprint));
    if (isSame || !isLoaded || signal.aborted || !options.isWriter()) return;
    const written = await updateObject<SavedList>(store, key, current => {
      const known = decode(current).map(({fingerprint}) => fingerprint);
      const isCurrent =
        known.length === bans.length &&
        bans.every(({fingerprint}) => known.includes(fingerprint));
      return isCurrent ? undefined : {bans: bans.map(encode)};
    });
    if (written.ok) saved = new Set(bans.map(({fingerprint}) => fingerprint));
    else schedule();
  }

  void load();
  return {changed: schedule};
}

function encode({fingerprint, crashes, msAgo}: Ban): SavedBan {
  return {fingerprint, crashes, crashedAtMs: Math.round(Date.now() - msAgo)};
}

/** Returns no bans for a value that another version or writer has left. */
function decode(value: unknown): readonly Ban[] {
  const {bans} = (value ?? {}) as Partial<SavedList>;
  if (!Array.isArray(bans)) return [];
  const decoded = bans.flatMap((ban: Partial<SavedBan> | null) => {
    const msAgo = Math.max(0, Date.now() - Number(ban?.crashedAtMs));
    return msAgo < MAX_AGE_MS ? [{...ban, msAgo}] : [];
  });
  const report = {crashes: [], successes: [], bans: decoded};
  return parseEvidenceReport(report)?.bans ?? [];
}
