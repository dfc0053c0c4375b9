import {fail, failure, ok, type Failure, type Result} from '@chivewick/common';
import type {ListFault, ListName} from '@chivewick/lists';
import {readHistoryEntry, recordAccepted, recordCurrent} from './history.js';
import {checkEdit} from './list-rules.js';
import {
  versionMismatch,
  readList,
  writeList,
  type StoredList,
} from './list-store.js';
import {LIST_NAMES, type OperatorsOptions} from './options.js';
import {FailureDetails, type AdminResponse} from './respond.js';

/**
 * Largest stored list in bytes. The object API accepts values up to 1 MB, and a
 * history entry holds the list and the metadata of up to 200 versions.
 */
const MAX_LIST_BYTES = 950_000;

/** An edit of a list as received in a request. */
export interface ListEdit {
  readonly list: ListName;
  readonly value: unknown;
  /** Version that the edit is based on; 0 if the list does not exist yet. */
  readonly expected: number;
  readonly dryRun: boolean;
  /** Name of the administration key. */
  readonly by: string;
}

/**
 * Returns a list with its version as the ETag.
 *
 * @example
 * const response = await getList(options, 'plans');
 */
export async function getList(
  options: OperatorsOptions,
  list: ListName,
): Promise<Result<AdminResponse>> {
  const read = await readList(options.objects, list);
  if (!read.ok) return read;
  if (read.value.value === undefined)
    return fail('not_found', `${list} does not exist yet`, {
      hint: 'Create it with If-None-Match: *.',
    });
  return ok({
    headers: {etag: etagOf(read.value.version)},
    json: read.value.value,
  });
}

/**
 * Stores an edit and logs who made it, or why it was refused. Dry runs are not
 * logged.
 *
 * @returns as `storeEdit`
 * @example
 * await putList(options, {list: 'plans', value, expected: 12, dryRun: false, by: 'maria'});
 */
export async function putList(
  options: OperatorsOptions,
  edit: ListEdit,
): Promise<Result<AdminResponse>> {
  const stored = await storeEdit(options, edit);
  const {list, by, expected, dryRun} = edit;
  if (dryRun) return stored;
  if (stored.ok) {
    const {version, changes} = stored.value.json as Accepted;
    const workspaces = changes.length;
    const fields = {list, by, version, workspaces};
    options.log.event('listChangeAccepted', fields);
    return stored;
  }
  const {kind, message, ran} = stored.err;
  const name = ran === 'unknown' ? 'listChangeUnknown' : 'listChangeRefused';
  options.log.event(name, {list, by, expected, kind, message});
  return stored;
}

/** Part of the response to an accepted edit that is logged. */
interface Accepted {
  readonly version: number;
  readonly changes: readonly unknown[];
}

/**
 * Validates an edit together with the other list and stores it if the list
 * still has the expected version. A dry run stops before the write and returns
 * what would change.
 *
 * @returns the new version; `invalid_request` with the faults as data, or
 *   `version_mismatch`
 */
async function storeEdit(
  options: OperatorsOptions,
  edit: ListEdit,
): Promise<Result<AdminResponse>> {
  const {objects} = options;
  const pair = await readPair(options);
  if (!pair.ok) return pair;
  const current = pair.value[edit.list];
  if (current.version !== edit.expected)
    return versionMismatch(edit.list, edit.expected);
  const checked = checkEdit(edit.list, edit.value, {
    plans: pair.value.plans.value,
    entitlements: pair.value.entitlements.value,
  });
  if (!checked.ok) return {ok: false, err: invalidList(edit, checked.faults)};
  const {value, changes} = checked.value;
  if (Buffer.byteLength(JSON.stringify(value)) > MAX_LIST_BYTES)
    return fail('body_too_large', `${edit.list} would be larger than 950 KB`);
  if (edit.dryRun)
    return ok({json: {dryRun: true, version: current.version, changes}});
  const earlier = await recordCurrent(objects, edit.list, current);
  if (!earlier.ok) return earlier;
  const written = await writeList(
    objects,
    edit.list,
    value,
    edit.expected,
    edit.by,
  );
  if (!written.ok) return written;
  const {version} = written.value;
  await options.onListWritten?.({list: edit.list, version, value});
  const at = new Date().toISOString();
  await recordAccepted(
    objects,
    edit.list,
    {version, by: edit.by, at},
    value,
    earlier.value,
  );
  return ok({
    headers: {etag: etagOf(version)},
    json: {dryRun: false, version, changes},
  });
}

/**
 * Lists the accepted versions, newest first.
 *
 * @example
 * const response = await getHistory(options, 'plans');
 */
export async function getHistory(
  options: OperatorsOptions,
  list: ListName,
): Promise<Result<AdminResponse>> {
  const current = await readList(options.objects, list);
  if (!current.ok) return current;
  const lines = await recordCurrent(options.objects, list, current.value);
  if (!lines.ok) return lines;
  return ok({json: {list, versions: lines.value}});
}

/**
 * Returns a version of a list from the history.
 *
 * @example
 * const response = await getHistoryVersion(options, 'plans', 12);
 */
export async function getHistoryVersion(
  options: OperatorsOptions,
  list: ListName,
  version: number,
): Promise<Result<AdminResponse>> {
  const entry = await readHistoryEntry(options.objects, list, version);
  if (!entry.ok) return entry;
  if (entry.value === undefined)
    return fail('not_found', `version ${version} of ${list} is not kept`, {
      hint: 'See the kept versions with GET /admin/lists/{list}/history.',
    });
  return ok({headers: {etag: etagOf(version)}, json: entry.value.value});
}

/**
 * Formats an object version as an ETag.
 *
 * @example
 * etagOf(12); // '"12"'
 */
export function etagOf(version: number): string {
  return `"${version}"`;
}

async function readPair(
  options: OperatorsOptions,
): Promise<Result<Record<ListName, StoredList>>> {
  const reads = await Promise.all(
    LIST_NAMES.map(list => readList(options.objects, list)),
  );
  const [plans, entitlements] = reads;
  if (!plans.ok) return plans;
  if (!entitlements.ok) return entitlements;
  return ok({plans: plans.value, entitlements: entitlements.value});
}

function invalidList(edit: ListEdit, faults: readonly ListFault[]): Failure {
  return failure(
    'invalid_request',
    `${edit.list} is invalid: ${faults[0].key}: ${faults[0].message}`,
    {cause: new FailureDetails({faults})},
  );
}
