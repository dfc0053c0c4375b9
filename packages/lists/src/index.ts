export {createLists} from './create-lists.js';
export {diffLists, type WorkspaceChange} from './diff-lists.js';
export type * from './lists-api.js';
export {
  mergeList,
  type MergeConflict,
  type MergeOutcome,
} from './merge-list.js';
export {resolveGrants, type ResolvedGrants} from './resolve-grants.js';
export {
  checkEntitlements,
  checkPlans,
  entitlementsSchema,
  parseEntitlements,
  parsePlans,
  plansSchema,
} from './schemas.js';
