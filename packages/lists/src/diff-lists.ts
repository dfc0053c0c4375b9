import type {WorkspaceGrant, WorkspaceId} from '@chivewick/common';
import {isSameEntry} from './entries.js';
import type {ListPair} from './lists-api.js';
import {resolveGrants, type ResolvedGrants} from './resolve-grants.js';

/** Changes that an edit makes to one workspace. */
export interface WorkspaceChange {
  readonly workspace: WorkspaceId;
  readonly kind: 'added' | 'removed' | 'changed';
  readonly fields: readonly FieldChange[];
}

/** One changed field; API keys are shown as prefixes of their digests. */
export interface FieldChange {
  readonly field: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

const KEY_PREFIX_CHARS = 8;

type ListValues = Pick<ListPair, 'plans' | 'entitlements'>;
type Fields = ReadonlyMap<string, unknown>;

/**
 * Computes the changes per workspace between two pairs of lists, sorted by
 * workspace name. A pair that is not jointly valid has no grants, so only the
 * plan names and keys of its workspaces are compared.
 *
 * @example
 * diffLists({plans, entitlements}, {plans: edited, entitlements});
 * // [{workspace: 'san-fermin', kind: 'changed',
 * //   fields: [{field: 'concurrency', before: 8, after: 12}]}]
 */
export function diffLists(
  before: ListValues,
  after: ListValues,
): WorkspaceChange[] {
  const oldFields = fieldsOfAll(before);
  const newFields = fieldsOfAll(after);
  const workspaces = [
    ...new Set([...oldFields.keys(), ...newFields.keys()]),
  ].sort();
  return workspaces.flatMap(workspace => {
    const fields = changedFields(
      oldFields.get(workspace),
      newFields.get(workspace),
    );
    if (fields.length === 0) return [];
    const kind = !oldFields.has(workspace)
      ? 'added'
      : !newFields.has(workspace)
        ? 'removed'
        : 'changed';
    return [{workspace, kind, fields} as const];
  });
}

function changedFields(before?: Fields, after?: Fields): FieldChange[] {
  const names = new Set([
    ...(before ?? new Map()).keys(),
    ...(after ?? new Map()).keys(),
  ]);
  return [...names].sort().flatMap(field => {
    const was = before?.get(field);
    const is = after?.get(field);
    if (isSameEntry(was, is)) return [];
    return [
      {
        field,
        ...(was !== undefined && {before: was}),
        ...(is !== undefined && {after: is}),
      },
    ];
  });
}

function fieldsOfAll(lists: ListValues): Map<WorkspaceId, Fields> {
  const resolved = resolveGrants(lists.plans, lists.entitlements);
  const grants: ResolvedGrants['grants'] = resolved.ok
    ? resolved.value.grants
    : new Map();
  const all = new Map<WorkspaceId, Fields>();
  for (const [name, entry] of Object.entries(lists.plans.workspaces)) {
    const workspace = name as WorkspaceId;
    const keys = entry.keys.map(key => key.slice(0, KEY_PREFIX_CHARS)).sort();
    all.set(
      workspace,
      new Map<string, unknown>([
        ['plan', entry.plan],
        ['keys', keys],
        ...fieldsOfGrant(grants.get(workspace)),
      ]),
    );
  }
  return all;
}

function fieldsOfGrant(grant?: WorkspaceGrant): [string, unknown][] {
  if (grant === undefined) return [];
  const models = [...grant.models.values()].map(
    ({model, version, layers, adapters}): [string, unknown] => [
      `models.${model}`,
      {version, layers, adapters: [...adapters].sort()},
    ],
  );
  const services = [...grant.services.values()].map(
    ({service, repeatable, nonRepeatablePaths}): [string, unknown] => [
      `services.${service}`,
      {repeatable, nonRepeatablePaths},
    ],
  );
  return [
    ...models,
    ...services,
    ['priority', grant.priority],
    ['concurrency', grant.concurrency],
    ['tokensPerSecond', grant.tokensPerSecond],
  ];
}
