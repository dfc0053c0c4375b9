import {findPrototypeKey, parseYaml, type YamlResult} from '@chivewick/common';
import {closest} from 'fastest-levenshtein';
import {z} from 'zod';
import type {
  EntitlementsList,
  ListFault,
  ListName,
  PlansList,
} from './lists-api.js';

const name = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/,
    'must be 1 to 128 letters, digits, ".", "_" or "-", and start with a letter or digit',
  );
const keyDigest = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in lower-case hex');

// The administration API stores this next to the list; it is not part of it.
const writeId = z.string().optional();

const planBase = z.strictObject({
  workspaces: z.record(
    name,
    z.strictObject({plan: name, keys: z.array(keyDigest)}),
  ),
  writeId,
});
/** Schema of `plans`; the JSON Schema file for editors is generated from it. */
export const plansSchema = planBase.superRefine((list, ctx) => {
  const holders = new Map<string, string>();
  for (const [workspace, {keys}] of Object.entries(list.workspaces))
    for (const [at, key] of keys.entries()) {
      const holder = holders.get(key);
      holders.set(key, workspace);
      if (holder === undefined) continue;
      const path = ['workspaces', workspace, 'keys', at];
      const message = `key is already listed for workspace "${holder}"`;
      ctx.addIssue({code: 'custom', path, message});
    }
});

const entitlementsBase = z.strictObject({
  models: z.record(
    name,
    z.strictObject({
      version: name,
      layers: z.number().int().min(1).max(100_000),
      adapters: z.array(name).default([]),
    }),
  ),
  services: z
    .record(
      name,
      z.strictObject({
        repeatable: z.boolean(),
        nonRepeatablePaths: z
          .array(z.string().startsWith('/', 'must start with "/"'))
          .default([]),
      }),
    )
    .default({}),
  plans: z.record(
    name,
    z.strictObject({
      models: z.array(z.string()),
      services: z.array(name).default([]),
      priority: z.number().int().min(0).max(9),
      concurrency: z.number().int().min(0).max(1_000_000),
      tokensPerSecond: z.number().min(0).max(1_000_000_000),
    }),
  ),
  writeId,
});
/** Schema of `entitlements`; also the source of its JSON Schema for editors. */
export const entitlementsSchema = entitlementsBase.superRefine((list, ctx) => {
  for (const [plan, entry] of Object.entries(list.plans)) {
    const check = (field: 'models' | 'services') => {
      for (const [at, granted] of entry[field].entries()) {
        const message =
          field === 'models'
            ? findModelFault(granted, entry.models, list)
            : findServiceFault(granted, list);
        if (message === undefined) continue;
        const path = ['plans', plan, field, at];
        ctx.addIssue({code: 'custom', path, message});
      }
    };
    check('models');
    check('services');
  }
});

/**
 * Parses the YAML text of `plans`. Faults include the file, line and key, and
 * suggest the nearest valid name.
 *
 * @example
 * const parsed = parsePlans('plans.yaml', text);
 * if (!parsed.ok) parsed.faults.map(formatYamlError).forEach(line => print(line));
 */
export function parsePlans(file: string, text: string): YamlResult<PlansList> {
  return withoutWriteId(parseYaml(file, text, plansSchema));
}

/**
 * Parses the YAML text of `entitlements`, as `parsePlans` does.
 *
 * @example
 * const parsed = parseEntitlements('entitlements.yaml', text);
 */
export function parseEntitlements(
  file: string,
  text: string,
): YamlResult<EntitlementsList> {
  return withoutWriteId(parseYaml(file, text, entitlementsSchema));
}

type Checked<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly faults: readonly ListFault[]};

/**
 * Validates a stored value as `plans`.
 *
 * @example
 * const checked = checkPlans(stored.value);
 */
export function checkPlans(value: unknown): Checked<PlansList> {
  return check('plans', plansSchema, value);
}

/**
 * Validates a stored value as `entitlements`.
 *
 * @example
 * const checked = checkEntitlements(stored.value);
 */
export function checkEntitlements(value: unknown): Checked<EntitlementsList> {
  return check('entitlements', entitlementsSchema, value);
}

/**
 * Returns a clause for an error message that suggests the valid name nearest to
 * an unknown one; empty if there are no valid names.
 *
 * @example
 * `unknown plan "parsh"${didYouMean('parsh', ['parish'])}`; // '; did you mean "parish"?'
 */
export function didYouMean(unknown: string, valid: readonly string[]): string {
  if (valid.length === 0) return '';
  return `; did you mean "${closest(unknown, [...valid])}"?`;
}

function check<T extends {writeId?: string}>(
  list: ListName,
  schema: z.ZodType<T>,
  value: unknown,
): Checked<Omit<T, 'writeId'>> {
  const prototypeKey = findPrototypeKey(value);
  if (prototypeKey !== undefined) {
    const message = 'this name is not allowed';
    return {ok: false, faults: [{list, key: prototypeKey.join('.'), message}]};
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return withoutWriteId({ok: true, value: parsed.data});
  const faults = parsed.error.issues.map(issue => ({
    list,
    key: issue.path.join('.'),
    message: issue.message,
  }));
  return {ok: false, faults};
}

function withoutWriteId<T extends {writeId?: string}, F>(
  parsed: {readonly ok: true; readonly value: T} | F,
): {readonly ok: true; readonly value: Omit<T, 'writeId'>} | F {
  if (typeof parsed !== 'object' || parsed === null || !('value' in parsed))
    return parsed;
  const value = {...parsed.value};
  delete value.writeId;
  return {ok: true, value};
}

type Entitlements = z.output<typeof entitlementsBase>;

function findModelFault(
  granted: string,
  grantedModels: readonly string[],
  list: Entitlements,
): string | undefined {
  const [model, adapter, ...rest] = granted.split(':');
  if (rest.length > 0) return `"${granted}" is not model or model:adapter`;
  if (!Object.hasOwn(list.models, model))
    return `unknown model "${model}"${didYouMean(model, Object.keys(list.models))}`;
  if (adapter === undefined) return undefined;
  const {adapters} = list.models[model];
  if (!adapters.includes(adapter))
    return `model "${model}" has no adapter "${adapter}"${didYouMean(adapter, adapters)}`;
  if (!grantedModels.includes(model))
    return `"${granted}" is granted without "${model}" itself`;
  return undefined;
}

function findServiceFault(
  granted: string,
  list: Entitlements,
): string | undefined {
  if (Object.hasOwn(list.services, granted)) return undefined;
  return `unknown service "${granted}"${didYouMean(granted, Object.keys(list.services))}`;
}
