import {id} from '@chivewick/common';
import type {
  ModelGrant,
  ModelName,
  PlanName,
  ServiceGrant,
  ServiceName,
  WorkspaceGrant,
  WorkspaceId,
} from '@chivewick/common';
import type {
  EntitlementsList,
  ListFault,
  PlanEntry,
  PlansList,
} from './lists-api.js';
import {didYouMean} from './schemas.js';

/** Grants that result from both lists. */
export interface ResolvedGrants {
  readonly grants: ReadonlyMap<WorkspaceId, WorkspaceGrant>;
  readonly models: ReadonlyMap<ModelName, ModelGrant>;
  readonly services: ReadonlyMap<ServiceName, ServiceGrant>;
  /** Workspace of each key digest. */
  readonly keys: ReadonlyMap<string, WorkspaceId>;
}

type Resolution =
  | {readonly ok: true; readonly value: ResolvedGrants}
  | {readonly ok: false; readonly faults: readonly ListFault[]};

type PlanGrant = Omit<WorkspaceGrant, 'workspace'>;

/**
 * Resolves what each workspace may use. The lists are jointly valid if every
 * workspace's plan exists. Each list must already be valid on its own.
 *
 * @example
 * const resolved = resolveGrants(plans, entitlements);
 * if (resolved.ok) resolved.value.grants.get(workspace)?.concurrency;
 */
export function resolveGrants(
  plans: PlansList,
  entitlements: EntitlementsList,
): Resolution {
  const {models, services} = resolveResources(entitlements);
  const planGrants = new Map<string, PlanGrant>();
  for (const [name, entry] of Object.entries(entitlements.plans))
    planGrants.set(name, resolvePlan(name, entry, models, services));
  const faults: ListFault[] = [];
  const grants = new Map<WorkspaceId, WorkspaceGrant>();
  const keys = new Map<string, WorkspaceId>();
  for (const [name, entry] of Object.entries(plans.workspaces)) {
    const workspace = id<WorkspaceId>(name);
    const grant = planGrants.get(entry.plan);
    if (grant === undefined) {
      const key = `workspaces.${name}.plan`;
      const hint = didYouMean(entry.plan, [...planGrants.keys()]);
      const message = `unknown plan "${entry.plan}"${hint}`;
      faults.push({list: 'plans', key, message});
      continue;
    }
    grants.set(workspace, {workspace, ...grant});
    for (const key of entry.keys) keys.set(key, workspace);
  }
  if (faults.length > 0) return {ok: false, faults};
  return {ok: true, value: {grants, models, services, keys}};
}

function resolveResources(entitlements: EntitlementsList) {
  const models = new Map<ModelName, ModelGrant>();
  for (const [name, entry] of Object.entries(entitlements.models)) {
    const model = id<ModelName>(name);
    models.set(model, {model, ...entry});
  }
  const services = new Map<ServiceName, ServiceGrant>();
  for (const [name, entry] of Object.entries(entitlements.services)) {
    const service = id<ServiceName>(name);
    services.set(service, {service, ...entry});
  }
  return {models, services};
}

function resolvePlan(
  name: string,
  entry: PlanEntry,
  allModels: ReadonlyMap<ModelName, ModelGrant>,
  allServices: ReadonlyMap<ServiceName, ServiceGrant>,
): PlanGrant {
  const models = new Map<ModelName, ModelGrant>();
  for (const granted of entry.models) {
    if (granted.includes(':')) continue;
    const grant = allModels.get(id<ModelName>(granted));
    if (grant === undefined) continue;
    const prefix = `${granted}:`;
    const adapters = entry.models
      .filter(other => other.startsWith(prefix))
      .map(other => other.slice(prefix.length));
    models.set(grant.model, {...grant, adapters});
  }
  const services = new Map<ServiceName, ServiceGrant>();
  for (const granted of entry.services) {
    const grant = allServices.get(id<ServiceName>(granted));
    if (grant !== undefined) services.set(grant.service, grant);
  }
  const {priority, concurrency, tokensPerSecond} = entry;
  return {
    plan: id<PlanName>(name),
    models,
    services,
    priority,
    concurrency,
    tokensPerSecond,
  };
}
