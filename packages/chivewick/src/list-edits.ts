import {isDeepStrictEqual} from 'node:util';
import {
  mergeList,
  type ListName,
  type MergeConflict,
  type WorkspaceChange,
} from '@chivewick/lists';
import {
  errorOf,
  expectOk,
  type AdminClient,
  type AdminResponse,
} from './client.js';
import {CommandError} from './exit.js';
import type {ListValue} from './list-files.js';

/** A list on the server; version 0 if it does not exist yet. */
export interface ServerList {
  readonly version: number;
  readonly value: ListValue;
}

/** An edit that is based on one version of a list. */
export interface Edit {
  readonly list: ListName;
  readonly value: ListValue;
  /** The list that the edit is based on. */
  readonly base: ServerList;
  /** File and YAML text of the edit, to report conflicts with their lines. */
  readonly file?: string;
  readonly text?: string;
}

/** An accepted edit. */
export interface Applied {
  readonly list: ListName;
  readonly version: number;
  /** Whether other operators' changes were merged in. */
  readonly merged: boolean;
  readonly changes: readonly WorkspaceChange[];
}

// A round fails only because another change was accepted, so concurrent operators
// still make progress; ten failures in a row mean that something else is wrong.
const MAX_MERGE_ROUNDS = 10;

const EMPTY_LISTS: Readonly<Record<ListName, ListValue>> = {
  plans: {workspaces: {}},
  entitlements: {models: {}, services: {}, plans: {}},
};

/**
 * Fetches a list; a list that does not exist is empty with version 0.
 *
 * @example
 * const {version, value} = await fetchList(client, 'plans');
 */
export async function fetchList(
  client: AdminClient,
  list: ListName,
): Promise<ServerList> {
  const response = await client.get(`/admin/lists/${list}`);
  if (errorOf(response)?.kind === 'not_found')
    return {version: 0, value: EMPTY_LISTS[list]};
  const {version, body} = expectOk(response);
  return {version, value: body as unknown as ListValue};
}

/**
 * Fetches an earlier version of a list, to merge a file that is based on it.
 *
 * @example
 * const base = await fetchVersion(client, 'plans', 12);
 */
export async function fetchVersion(
  client: AdminClient,
  list: ListName,
  version: number,
): Promise<ServerList> {
  if (version === 0) return {version, value: EMPTY_LISTS[list]};
  const path = `/admin/lists/${list}/history/${version}`;
  const response = await client.get(path);
  if (errorOf(response)?.kind === 'not_found')
    throw new CommandError('conflict', [
      `version ${version} of ${list}, which the file is based on, is no longer kept`,
      'hint: fetch the list again with lists show, and repeat the edit.',
    ]);
  return {version, value: expectOk(response).body as unknown as ListValue};
}

/**
 * Rebases an edit on the current version: merges the changes that other operators
 * made since its base. Throws a `CommandError` if they conflict.
 *
 * @returns the edit with the current version as its base
 * @example
 * const rebased = await rebase(client, edit);
 */
export async function rebase(client: AdminClient, edit: Edit): Promise<Edit> {
  const current = await fetchList(client, edit.list);
  if (current.version === edit.base.version) return edit;
  const mergeResult = mergeList(edit.base.value, edit.value, current.value, {
    ...(edit.text !== undefined && {text: edit.text}),
  });
  if (!mergeResult.ok) throw conflictError(edit, mergeResult.conflicts);
  return {...edit, value: mergeResult.value, base: current};
}

/**
 * Applies an edit. If another operator's change was accepted first, merges it and
 * tries again. Throws a `CommandError` without a change if the merge conflicts.
 *
 * @example
 * const {version} = await applyEdit(client, edit);
 */
export async function applyEdit(
  client: AdminClient,
  edit: Edit,
): Promise<Applied> {
  let current = edit;
  for (let round = 0; round < MAX_MERGE_ROUNDS; round++) {
    current = await rebase(client, current);
    const {list, base, value} = current;
    const merged = base.version !== edit.base.version;
    if (base.version !== 0 && isDeepStrictEqual(value, base.value))
      return {list, version: base.version, merged, changes: []};
    const response = await client.put(
      `/admin/lists/${list}`,
      value,
      base.version,
    );
    if (errorOf(response)?.kind === 'version_mismatch') continue;
    return {list, merged, ...parseAccepted(response)};
  }
  throw new CommandError('conflict', [
    `${edit.list} changed ${MAX_MERGE_ROUNDS} times while this edit was applied`,
    'hint: try again.',
  ]);
}

/**
 * Requests from the server what an edit would change, without applying it.
 *
 * @example
 * const {changes} = await dryRun(client, edit);
 */
export async function dryRun(
  client: AdminClient,
  edit: Edit,
): Promise<Applied> {
  const {list, base, value} = await rebase(client, edit);
  const path = `/admin/lists/${list}?dryRun=1`;
  const response = await client.put(path, value, base.version);
  const merged = base.version !== edit.base.version;
  return {list, merged, ...parseAccepted(response)};
}

function parseAccepted(response: AdminResponse): {
  version: number;
  changes: readonly WorkspaceChange[];
} {
  const {version, changes} = expectOk(response).body as {
    version: number;
    changes: readonly WorkspaceChange[];
  };
  return {version, changes};
}

function conflictError(
  {file, list}: Edit,
  conflicts: readonly MergeConflict[],
): CommandError {
  const lines = conflicts.flatMap(({line, message, mine, theirs}) => [
    `${file ?? list}${line === undefined ? '' : `:${line}`}: ${message}`,
    `  here:   ${JSON.stringify(mine) ?? '(removed)'}`,
    `  theirs: ${JSON.stringify(theirs) ?? '(removed)'}`,
  ]);
  return new CommandError(
    'conflict',
    [
      ...lines,
      'nothing was applied',
      'hint: fetch the list again with lists show, and repeat the edit.',
    ],
    {conflicts: conflicts.map(conflict => ({file, ...conflict}))},
  );
}
