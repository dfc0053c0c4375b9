import {sha256} from '@chivewick/common';
import type {ListName} from './lists-api.js';

/** Sections of each list; each named item of a section is an entry. */
const SECTIONS: Record<ListName, readonly string[]> = {
  plans: ['workspaces'],
  entitlements: ['models', 'services', 'plans'],
};

const DIGEST_CHARS = 16;

const canonicalJsonCache = new WeakMap<object, string>();

/** Entries by `section/name`, such as `workspaces/san-fermin`. */
export type Entries = ReadonlyMap<string, unknown>;

/** Changes of entries between two versions of one list. */
export interface EntriesDelta {
  readonly set: Readonly<Record<string, unknown>>;
  readonly del: readonly string[];
}

/**
 * Splits a list into its entries.
 *
 * @example
 * entriesOf('plans', plans).get('workspaces/san-fermin');
 */
export function entriesOf(list: ListName, value: object): Entries {
  const entries = new Map<string, unknown>();
  for (const section of SECTIONS[list]) {
    const named = (value as Record<string, object | undefined>)[section];
    for (const [name, entry] of Object.entries(named ?? {}))
      entries.set(`${section}/${name}`, entry);
  }
  return entries;
}

/**
 * Builds a list from its entries.
 *
 * @example
 * const plans = listFromEntries('plans', entries);
 */
export function listFromEntries(list: ListName, entries: Entries): object {
  const sections = SECTIONS[list].map(section => {
    const prefix = `${section}/`;
    const named = [...entries]
      .filter(([path]) => path.startsWith(prefix))
      .map(([path, entry]) => [path.slice(prefix.length), entry] as const);
    return [section, Object.fromEntries(named)] as const;
  });
  return Object.fromEntries(sections);
}

/**
 * Computes which entries change between two versions of a list.
 *
 * @example
 * const delta = computeDelta(entriesOf('plans', before), entriesOf('plans', after));
 */
export function computeDelta(before: Entries, after: Entries): EntriesDelta {
  const changed = [...after].filter(
    ([path, entry]) => !isSameEntry(before.get(path), entry),
  );
  const del = [...before.keys()].filter(path => !after.has(path));
  return {set: Object.fromEntries(changed), del};
}

/**
 * Applies a delta to the entries that it was computed from.
 *
 * @example
 * const after = applyDelta(before, delta);
 */
export function applyDelta(before: Entries, delta: EntriesDelta): Entries {
  const after = new Map(before);
  for (const path of delta.del) after.delete(path);
  for (const [path, entry] of Object.entries(delta.set)) after.set(path, entry);
  return after;
}

/**
 * Computes the digest of a list's content, independent of key order.
 *
 * @example
 * digestOf(entriesOf('plans', plans)); // '9f86d081884c7d65'
 */
export function digestOf(entries: Entries): string {
  const lines = [...entries].map(
    ([path, entry]) => `${JSON.stringify(path)}:${canonicalJson(entry)}`,
  );
  return sha256(lines.sort().join('\n')).slice(0, DIGEST_CHARS);
}

/**
 * Returns whether two entries are equal as JSON. Entries come from YAML, the
 * store and peer hosts, so key order and prototypes may differ.
 *
 * @example
 * if (!isSameEntry(was.get(path), is.get(path))) changed.push(path);
 */
export function isSameEntry(a: unknown, b: unknown): boolean {
  return a === b || canonicalJson(a) === canonicalJson(b);
}

/**
 * JSON with sorted keys. Entries are never modified, so the result is cached.
 */
function canonicalJson(entry: unknown): string {
  if (typeof entry !== 'object' || entry === null)
    return JSON.stringify(entry) ?? '';
  const cached = canonicalJsonCache.get(entry);
  if (cached !== undefined) return cached;
  const json = JSON.stringify(entry, sortKeys);
  canonicalJsonCache.set(entry, json);
  return json;
}

function sortKeys(_: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    return value;
  const pairs = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(pairs);
}
