import {readFileSync} from 'node:fs';
import {formatYamlError} from '@chivewick/common';
import {
  parseEntitlements,
  parsePlans,
  resolveGrants,
  type EntitlementsList,
  type ListName,
  type PlansList,
} from '@chivewick/lists';
import {parse, stringify} from 'yaml';
import {CommandError} from './exit.js';

export type ListValue = PlansList | EntitlementsList;

/** A list read from an operator's file. */
export interface ListFile {
  readonly file: string;
  readonly list: ListName;
  readonly text: string;
  readonly value: ListValue;
  /** Version that the file is based on, from its `# chivewick:` comment. */
  readonly base?: number;
}

// `lists show` writes this line, so that `lists apply` can merge the file with
// the changes that other operators made since.
const BASE_LINE = /^# chivewick: (plans|entitlements) version (\d{1,15})\s*$/m;

const PARSERS = {plans: parsePlans, entitlements: parseEntitlements} as const;

/**
 * Reads and validates list files; the content of a file determines which list it
 * holds. Throws a `CommandError` with all errors if any file is invalid.
 *
 * @example
 * const [plans] = readListFiles(['plans.yaml']);
 */
export function readListFiles(files: readonly string[]): ListFile[] {
  const read = files.map(readListFile);
  const faults = read.flatMap(result =>
    'faults' in result ? result.faults : [],
  );
  if (faults.length > 0) throw new CommandError('usage', faults, {faults});
  const lists = read.filter(result => 'list' in result);
  const duplicate = lists.find(
    ({list}, at) => lists.findIndex(other => other.list === list) !== at,
  );
  if (duplicate === undefined) return lists;
  throw new CommandError('usage', [
    `${duplicate.file} is a second file of ${duplicate.list}`,
  ]);
}

/**
 * Checks that the two lists are valid together, if both are given. Throws a
 * `CommandError` if they are not.
 *
 * @example
 * expectJointlyValid(readListFiles(files));
 */
export function expectJointlyValid(files: readonly ListFile[]): void {
  const plans = files.find(({list}) => list === 'plans');
  const entitlements = files.find(({list}) => list === 'entitlements');
  if (plans === undefined || entitlements === undefined) return;
  const joint = resolveGrants(
    plans.value as PlansList,
    entitlements.value as EntitlementsList,
  );
  if (joint.ok) return;
  const faults = joint.faults.map(
    ({list, key, message}) =>
      `${list === 'plans' ? plans.file : entitlements.file}: ${key}: ${message}`,
  );
  throw new CommandError('usage', faults, {faults});
}

/**
 * Formats a list as YAML, with a first line that states its version.
 *
 * @example
 * formatList('plans', 12, value); // '# chivewick: plans version 12\nworkspaces: ...'
 */
export function formatList(
  list: ListName,
  version: number,
  value: unknown,
): string {
  return `# chivewick: ${list} version ${version}\n${stringify(value)}`;
}

function readListFile(file: string): ListFile | {faults: readonly string[]} {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (err) {
    return {faults: [`${file}: ${(err as Error).message}`]};
  }
  const list = detectList(text);
  if (list === undefined)
    return {
      faults: [
        `${file}: holds neither "workspaces" (plans) nor "models" and "plans" (entitlements)`,
      ],
    };
  const parsed = PARSERS[list](file, text);
  if (!parsed.ok) return {faults: parsed.faults.map(formatYamlError)};
  const base = BASE_LINE.exec(text);
  return {
    file,
    list,
    text,
    value: parsed.value,
    ...(base?.[1] === list && {base: Number(base[2])}),
  };
}

/** Malformed YAML is treated as plans, whose parser then reports the line. */
function detectList(text: string): ListName | undefined {
  let value: unknown;
  try {
    value = parse(text);
  } catch {
    return 'plans';
  }
  if (typeof value !== 'object' || value === null) return undefined;
  if ('workspaces' in value) return 'plans';
  const isEntitlements = ['models', 'services', 'plans'].some(
    section => section in value,
  );
  return isEntitlements ? 'entitlements' : undefined;
}
