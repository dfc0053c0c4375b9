import {parse} from 'yaml';
import {CommandError} from './exit.js';

/** A change of a list at a path: a new value, or its removal. */
export interface Assignment {
  readonly path: string;
  readonly value?: unknown;
  readonly remove: boolean;
}

/**
 * Parses `path=value`; the value is YAML.
 *
 * @example
 * parseAssignment('plans.parish.concurrency=12');
 */
export function parseAssignment(text: string): Assignment {
  const at = text.indexOf('=');
  if (at < 1)
    throw new CommandError('usage', [
      `"${text}" is not of the form path=value`,
    ]);
  try {
    const value: unknown = parse(text.slice(at + 1));
    return {path: text.slice(0, at), value, remove: false};
  } catch (err) {
    throw new CommandError('usage', [
      `the value of "${text}" is not YAML: ${(err as Error).message.split('\n')[0]}`,
    ]);
  }
}

type Tree = Record<string, unknown>;

/**
 * Applies changes to a copy of a list. A path is dotted, or a JSON pointer
 * (RFC 6901) if a new name contains a dot; existing names with dots are found
 * either way.
 *
 * @example
 * applyAssignments(value, [{path: 'workspaces.san-fermin.plan', value: 'choir', remove: false}]);
 */
export function applyAssignments<T extends object>(
  value: T,
  assignments: readonly Assignment[],
): T {
  const copy = structuredClone(value);
  for (const assignment of assignments)
    applyAssignment(copy as Tree, assignment);
  return copy;
}

function applyAssignment(root: Tree, {path, value, remove}: Assignment): void {
  const keys = keysOfPath(root, path);
  let tree = root;
  for (const [depth, key] of keys.slice(0, -1).entries()) {
    if (!Object.hasOwn(tree, key)) {
      if (remove) throw unknownPathError(path, keys.slice(0, depth + 1));
      defineKey(tree, key, {});
    }
    const next = tree[key];
    if (typeof next !== 'object' || next === null)
      throw unknownPathError(path, keys.slice(0, depth + 2));
    tree = next as Tree;
  }
  const last = keys[keys.length - 1];
  if (!remove) return defineKey(tree, last, value);
  if (!Object.hasOwn(tree, last)) throw unknownPathError(path, keys);
  delete tree[last];
}

/** Sets an own property, even for names such as `__proto__`. */
function defineKey(tree: Tree, key: string, value: unknown): void {
  Object.defineProperty(tree, key, {
    value,
    configurable: true,
    enumerable: true,
    writable: true,
  });
}

function keysOfPath(root: Tree, path: string): string[] {
  if (path.startsWith('/'))
    return path
      .slice(1)
      .split('/')
      .map(part => part.replace(/~1/g, '/').replace(/~0/g, '~'));
  const keys: string[] = [];
  let parts = path.split('.');
  let tree: unknown = root;
  while (parts.length > 0) {
    const length = countNameParts(tree, parts);
    const key = parts.slice(0, length).join('.');
    keys.push(key);
    parts = parts.slice(length);
    tree = (tree as Tree | undefined)?.[key];
  }
  return keys;
}

/** Number of leading parts that form an existing name; 1 for a new name. */
function countNameParts(tree: unknown, parts: readonly string[]): number {
  if (typeof tree !== 'object' || tree === null) return 1;
  for (let length = parts.length; length > 1; length--)
    if (Object.hasOwn(tree, parts.slice(0, length).join('.'))) return length;
  return 1;
}

function unknownPathError(path: string, keys: readonly string[]): CommandError {
  return new CommandError('usage', [
    `there is no ${keys.join('.')} in the list (path ${path})`,
  ]);
}
