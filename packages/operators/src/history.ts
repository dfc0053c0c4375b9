import {ok, type Result} from '@chivewick/common';
import type {ListName} from '@chivewick/lists';
import type {ObjectApi} from '@chivewick/platform';
import type {StoredList} from './list-store.js';

/** Metadata of one version in a list's history. */
export interface HistoryLine {
  readonly version: number;
  /** Name of the administration key; undefined if unknown. */
  readonly by?: string;
  /** Time of acceptance, ISO 8601; undefined if unknown. */
  readonly at?: string;
}

/** A stored history entry: one version with its value and earlier metadata. */
export interface HistoryEntry extends HistoryLine {
  readonly value: unknown;
  /** Metadata of earlier versions, newest first. */
  readonly earlier: readonly HistoryLine[];
}

/**
 * Number of history entries kept per list. The platform does not expire
 * objects, and 37,000 changes a day of 100 KB each would add 3.7 GB a day; 200
 * entries take 22 MB.
 */
export const HISTORY_ENTRIES = 200;

const entryKey = (list: ListName, version: number) =>
  `lists/history/${list}/${version}`;

/**
 * Reads one version from the history.
 *
 * @example
 * const entry = await readHistoryEntry(objects, 'plans', 12);
 */
export async function readHistoryEntry(
  objects: ObjectApi,
  list: ListName,
  version: number,
): Promise<Result<HistoryEntry | undefined>> {
  const read = await objects.get(entryKey(list, version));
  if (!read.ok) return read;
  return ok(read.value?.value as HistoryEntry | undefined);
}

/**
 * Ensures that the current version of a list is in the history before it is
 * overwritten. It is missing if the host that wrote it crashed before recording
 * it.
 *
 * @returns history metadata up to the current version, newest first
 * @example
 * const lines = await recordCurrent(objects, 'plans', current);
 */
export async function recordCurrent(
  objects: ObjectApi,
  list: ListName,
  current: StoredList,
): Promise<Result<readonly HistoryLine[]>> {
  if (current.version === 0) return ok([]);
  const entry = await readHistoryEntry(objects, list, current.version);
  if (!entry.ok) return entry;
  if (entry.value !== undefined) return ok(linesOf(entry.value));
  const rest = await objects.list(`lists/history/${list}/`);
  if (!rest.ok) return rest;
  const earlier = rest.value
    .map(object => lineOf(object.value as HistoryEntry))
    .sort((a, b) => b.version - a.version);
  const by = current.writeId?.split(':')[0];
  const line = {version: current.version, ...(by !== undefined && {by})};
  await objects.put(
    entryKey(list, current.version),
    {...line, value: current.value, earlier} satisfies HistoryEntry,
    'absent',
  );
  return ok([line, ...earlier]);
}

/**
 * Adds an accepted version to the history and removes the entries beyond the
 * newest `HISTORY_ENTRIES`. Failures are ignored: the next `recordCurrent` adds
 * a missing version.
 *
 * @example
 * await recordAccepted(objects, 'plans', {version: 13, by, at}, value, lines);
 */
export async function recordAccepted(
  objects: ObjectApi,
  list: ListName,
  line: HistoryLine,
  value: unknown,
  earlier: readonly HistoryLine[],
): Promise<void> {
  const kept = earlier.slice(0, HISTORY_ENTRIES - 1);
  await objects.put(
    entryKey(list, line.version),
    {...line, value, earlier: kept} satisfies HistoryEntry,
    'absent',
  );
  for (const {version} of earlier.slice(HISTORY_ENTRIES - 1)) {
    const old = await objects.get(entryKey(list, version));
    if (old.ok && old.value !== undefined)
      await objects.remove(entryKey(list, version), old.value.version);
  }
}

function linesOf(entry: HistoryEntry): readonly HistoryLine[] {
  return [lineOf(entry), ...entry.earlier];
}

function lineOf({version, by, at}: HistoryEntry): HistoryLine {
  return {
    version,
    ...(by !== undefined && {by}),
    ...(at !== undefined && {at}),
  };
}
