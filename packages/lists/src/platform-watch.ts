import {pause} from '@chivewick/common';
import type {Logger, Random} from '@chivewick/common';
import type {ObjectApi} from '@chivewick/platform';
import type {ListName} from './lists-api.js';
import type {PlatformReader} from './platform-reader.js';
import type {ReadBudget} from './read-budget.js';

const LIST_NAMES: readonly ListName[] = ['plans', 'entitlements'];

/**
 * Interval at which both lists are read again, since a watch may miss changes.
 */
const REREAD_INTERVAL_MS = 20_000;

const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 2_000;

/** Dependencies of `watchPlatform`. */
export interface PlatformWatchOptions {
  readonly platform: ObjectApi;
  readonly reader: PlatformReader;
  readonly budget: ReadBudget;
  readonly log: Logger;
  readonly random: Random;
}

/**
 * Watches the lists in the platform's store until the signal aborts. After a
 * watch ends, both lists are read again and the watch is reopened from the
 * highest version read. A watcher that has used up its read budget pauses for a
 * random time, so that the watchers of large lists take turns.
 *
 * @example
 * await watchPlatform({platform, reader, budget, log, random}, role.signal);
 */
export async function watchPlatform(
  options: PlatformWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  let retryMs = RETRY_MIN_MS;
  while (!signal.aborted) {
    const result = await options.reader.refresh();
    if (signal.aborted) return;
    if (result !== 'unavailable') {
      const reason = await watchOnce(options, signal);
      if (signal.aborted) return;
      if (options.budget.waitMs() === 0)
        options.log.event('listWatchEnded', {reason});
      retryMs = RETRY_MIN_MS;
    }
    const waitMs = Math.max(retryMs, 2 * options.budget.waitMs());
    await pause(waitMs * (0.5 + options.random.next() / 2), signal);
    retryMs = Math.min(RETRY_MAX_MS, retryMs * 2);
  }
}

/** Watches both lists until either watch ends; returns the reason. */
async function watchOnce(
  options: PlatformWatchOptions,
  signal: AbortSignal,
): Promise<string> {
  const session = new AbortController();
  const abort = () => session.abort();
  signal.addEventListener('abort', abort);
  let reason = 'connection ended';
  const end = (endReason?: string) => {
    if (!session.signal.aborted && endReason !== undefined) reason = endReason;
    session.abort();
  };
  const since = options.reader.highestVersion();
  const watches = LIST_NAMES.map(list =>
    watchList(options, list, since, session.signal).then(
      () => end(),
      (err: Error) => end(err.message),
    ),
  );
  const reread = rereadUntilMissed(options, session.signal).then(missed => {
    if (missed) end('a change was missed');
  });
  await Promise.all([...watches, reread]);
  signal.removeEventListener('abort', abort);
  return reason;
}

async function watchList(
  {platform, reader, budget}: PlatformWatchOptions,
  list: ListName,
  since: number,
  signal: AbortSignal,
): Promise<void> {
  const watchedKey = `lists/${list}`;
  for await (const change of platform.watch(watchedKey, since, signal)) {
    if (signal.aborted) return;
    if (change.key !== watchedKey) continue;
    const {key, version, value} = change;
    const result =
      value === undefined
        ? await reader.refresh()
        : await reader.completePair(list, {key, version, value});
    if (result === 'unavailable') throw new Error('platform does not answer');
    if (budget.waitMs() > 0) throw new Error('read budget is used up');
  }
}

/**
 * Rereads both lists periodically; true once a change was missed by the watch.
 */
async function rereadUntilMissed(
  {reader, random}: PlatformWatchOptions,
  signal: AbortSignal,
): Promise<boolean> {
  while (!signal.aborted) {
    await pause(REREAD_INTERVAL_MS * (0.5 + random.next() / 2), signal);
    if (signal.aborted) return false;
    if ((await reader.refresh()) === 'adopted') return true;
  }
  return false;
}
