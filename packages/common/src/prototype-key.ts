interface PathNode {
  readonly value: unknown;
  readonly key: string;
  readonly parent?: PathNode;
}

/**
 * Finds a member named `__proto__` in a JSON value and returns its path, or
 * undefined if there is none. Schemas silently omit such a member, so a list
 * would be accepted without an entry that its file holds.
 *
 * @example
 * findPrototypeKey(JSON.parse('{"a": {"__proto__": 1}}')); // ['a', '__proto__']
 */
export function findPrototypeKey(value: unknown): string[] | undefined {
  const pending: PathNode[] = [{value, key: ''}];
  // Not recursive, and without a path for each node, because a value may be
  // nested more deeply than the stack allows.
  for (let node = pending.pop(); node !== undefined; node = pending.pop()) {
    const {value: inner} = node;
    if (typeof inner !== 'object' || inner === null) continue;
    for (const [key, member] of Object.entries(inner)) {
      const next: PathNode = {value: member, key, parent: node};
      if (key === '__proto__') return pathOf(next);
      pending.push(next);
    }
  }
  return undefined;
}

function pathOf(last: PathNode): string[] {
  const path: string[] = [];
  for (let node = last; node.parent !== undefined; node = node.parent)
    path.unshift(node.key);
  return path;
}
