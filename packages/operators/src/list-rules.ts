import {
  checkEntitlements,
  checkPlans,
  diffLists,
  resolveGrants,
  type EntitlementsList,
  type ListFault,
  type ListName,
  type PlansList,
  type WorkspaceChange,
} from '@chivewick/lists';

/** Values of both lists; undefined if a list does not exist yet. */
export type StoredPair = Readonly<Record<ListName, unknown>>;

/** A valid edit, and the changes that it makes to each workspace. */
export interface CheckedEdit {
  /** The list in its stored form, with defaults filled in. */
  readonly value: PlansList | EntitlementsList;
  readonly changes: readonly WorkspaceChange[];
}

type Checked =
  | {readonly ok: true; readonly value: CheckedEdit}
  | {readonly ok: false; readonly faults: readonly ListFault[]};

const NO_PLANS: PlansList = {workspaces: {}};
const NO_ENTITLEMENTS: EntitlementsList = {models: {}, services: {}, plans: {}};

/**
 * Validates an edit of one list on its own and together with the other list. If
 * the other list as stored is invalid, the joint check is skipped, so that
 * operators can repair one list while the other is broken.
 *
 * @example
 * const checked = checkEdit('plans', edited, {plans: stored, entitlements});
 * if (!checked.ok) return invalidList(checked.faults);
 */
export function checkEdit(
  list: ListName,
  edited: unknown,
  stored: StoredPair,
): Checked {
  const checked =
    list === 'plans' ? checkPlans(edited) : checkEntitlements(edited);
  if (!checked.ok) return checked;
  const before = readPair(stored);
  const after = {...before, [list]: checked.value} as Pair;
  if (isValid(stored, list === 'plans' ? 'entitlements' : 'plans')) {
    const resolved = resolveGrants(after.plans, after.entitlements);
    if (!resolved.ok) return resolved;
  }
  const changes = diffLists(before, after);
  return {ok: true, value: {value: checked.value, changes}};
}

interface Pair {
  readonly plans: PlansList;
  readonly entitlements: EntitlementsList;
}

function readPair(stored: StoredPair): Pair {
  const plans = checkPlans(stored.plans);
  const entitlements = checkEntitlements(stored.entitlements);
  return {
    plans: plans.ok ? plans.value : NO_PLANS,
    entitlements: entitlements.ok ? entitlements.value : NO_ENTITLEMENTS,
  };
}

function isValid(stored: StoredPair, list: ListName): boolean {
  const value = stored[list];
  if (value === undefined) return true;
  return (list === 'plans' ? checkPlans(value) : checkEntitlements(value)).ok;
}
