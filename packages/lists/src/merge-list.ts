import {LineCounter, parseDocument} from 'yaml';
import {
  computeDelta,
  entriesOf,
  listFromEntries,
  isSameEntry,
  type Entries,
} from './entries.js';
import type {EntitlementsList, ListName, PlansList} from './lists-api.js';

/** An entry to which two operators made different changes. */
export interface MergeConflict {
  readonly list: ListName;
  /** `section.name`, such as `workspaces.san-fermin`. */
  readonly entry: string;
  /** 1-based line of the entry in the operator's file, if the text is known. */
  readonly line?: number;
  readonly message: string;
  readonly mine?: unknown;
  readonly theirs?: unknown;
}

/** The merged list, or the conflicts that prevent the merge. */
export type MergeOutcome<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly conflicts: readonly MergeConflict[]};

/**
 * Merges two edits of one list by entry (workspace, plan, model or service).
 * An entry changed on one side takes that side's value; different changes on
 * both sides are a conflict. The merged list may still be invalid.
 *
 * @example
 * const merged = mergeList(base, mine, theirs, {text});
 * if (!merged.ok) merged.conflicts.map(({entry, line}) => `${entry}:${line}`);
 */
export function mergeList<T extends PlansList | EntitlementsList>(
  base: T,
  mine: T,
  theirs: T,
  options: {
    /** YAML text of `mine`; conflicts then include line numbers. */
    readonly text?: string;
  } = {},
): MergeOutcome<T> {
  const list: ListName = 'workspaces' in base ? 'plans' : 'entitlements';
  const [was, my, their] = [base, mine, theirs].map(value =>
    entriesOf(list, value),
  );
  const changes = computeDelta(was, my);
  const touched = [...Object.keys(changes.set), ...changes.del];
  const conflicting = touched.filter(
    path => !same(was, their, path) && !same(my, their, path),
  );
  if (conflicting.length === 0) {
    const merged = new Map(their);
    for (const path of changes.del) merged.delete(path);
    for (const [path, entry] of Object.entries(changes.set))
      merged.set(path, entry);
    return {ok: true, value: listFromEntries(list, merged) as T};
  }
  const lineOf = createLineFinder(options.text);
  const conflicts = conflicting.sort().map(path => {
    const entry = path.replace('/', '.');
    const line = lineOf(path);
    return {
      list,
      entry,
      ...(line !== undefined && {line}),
      message: messageOf(entry, my.has(path), their.has(path)),
      ...(my.has(path) && {mine: my.get(path)}),
      ...(their.has(path) && {theirs: their.get(path)}),
    };
  });
  return {ok: false, conflicts};
}

function same(a: Entries, b: Entries, path: string): boolean {
  return isSameEntry(a.get(path), b.get(path));
}

function messageOf(entry: string, mine: boolean, theirs: boolean): string {
  if (!mine) return `${entry} was removed here and changed by another operator`;
  if (!theirs)
    return `${entry} was changed here and removed by another operator`;
  return `${entry} was changed here and by another operator`;
}

/** Finds the line of an entry, or of its section if the entry was removed. */
function createLineFinder(
  text: string | undefined,
): (path: string) => number | undefined {
  if (text === undefined) return () => undefined;
  const lines = new LineCounter();
  const doc = parseDocument(text, {lineCounter: lines});
  return path => {
    const slash = path.indexOf('/');
    const section = path.slice(0, slash);
    const offset =
      keyOffset(doc.get(section), path.slice(slash + 1)) ??
      keyOffset(doc.contents, section);
    return offset === undefined ? undefined : lines.linePos(offset).line;
  };
}

function keyOffset(map: unknown, name: string): number | undefined {
  const pairs = (map as {items?: YamlPair[]} | null | undefined)?.items;
  return pairs?.find(pair => String(pair.key?.value) === name)?.key?.range?.[0];
}

interface YamlPair {
  key?: {value?: unknown; range?: [number, number, number]};
}
