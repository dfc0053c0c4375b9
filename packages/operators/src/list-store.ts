import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {fail, ok, type Result} from '@chivewick/common';
import type {ListName} from '@chivewick/lists';
import type {ExpectedVersion, ObjectApi} from '@chivewick/platform';

/** A list as stored: its value without the write id, and its version. */
export interface StoredList {
  /** Object version; 0 if the list does not exist yet. */
  readonly version: number;
  readonly value: Record<string, unknown> | undefined;
  readonly writeId?: string;
}

// If the response to a write is lost, the list is read back. The attempts with
// their growing delays take 750 ms, which is long enough for the loss of
// several consecutive responses and short enough for an operator to wait.
const MAX_WRITE_ATTEMPTS = 5;
const INITIAL_RETRY_DELAY_MS = 50;

/**
 * Reads a list from the platform.
 *
 * @example
 * const list = await readList(objects, 'plans');
 */
export async function readList(
  objects: ObjectApi,
  list: ListName,
): Promise<Result<StoredList>> {
  const read = await objects.get(`lists/${list}`);
  if (!read.ok) return read;
  if (read.value === undefined) return ok({version: 0, value: undefined});
  const {writeId, ...value} = read.value.value as Record<string, unknown>;
  return ok({
    version: read.value.version,
    value,
    ...(typeof writeId === 'string' && {writeId}),
  });
}

/**
 * Writes a list if its version is the expected one. If the platform's response
 * is lost, it reads the list back and looks for its own write id, and repeats
 * the conditional write while the version is unchanged.
 *
 * @returns the new version; `version_mismatch` if another write came first,
 *   `outcome_unknown` if neither a response nor a read shows the result
 * @example
 * const written = await writeList(objects, 'plans', value, 12, 'maria');
 */
export async function writeList(
  objects: ObjectApi,
  list: ListName,
  value: object,
  expected: number,
  by: string,
): Promise<Result<{version: number; writeId: string}>> {
  const writeId = `${by}:${randomUUID()}`;
  const condition: ExpectedVersion = expected === 0 ? 'absent' : expected;
  let outcomeUnknown = false;
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
    const outcome = await objects.put(
      `lists/${list}`,
      {...value, writeId},
      condition,
    );
    if (outcome.kind === 'written')
      return ok({version: outcome.version, writeId});
    if (outcome.kind === 'conflict' && !outcomeUnknown)
      return versionMismatch(list, expected);
    outcomeUnknown = true;
    if (attempt > 0) await sleep(INITIAL_RETRY_DELAY_MS * 2 ** (attempt - 1));
    const read = await readList(objects, list);
    if (!read.ok) continue;
    if (read.value.writeId === writeId)
      return ok({version: read.value.version, writeId});
    // Another write changed the version; ours may have taken effect before it.
    if (read.value.version !== expected) break;
  }
  return fail('outcome_unknown', `no response to the write of ${list}`, {
    hint: 'Fetch the list and its history to see whether the change is there.',
  });
}

/**
 * Creates the failure of a write whose expected version is not the current one.
 *
 * @example
 * if (current.version !== expected) return versionMismatch('plans', expected);
 */
export function versionMismatch(list: ListName, expected: number) {
  return fail(
    'version_mismatch',
    `${list} has changed since version ${expected}`,
  );
}
