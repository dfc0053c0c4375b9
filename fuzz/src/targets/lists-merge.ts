import assert from 'node:assert/strict';
import {isDeepStrictEqual} from 'node:util';
import {mergeList} from '@chivewick/lists';
import {SECTIONS, type MergeInput} from './lists-inputs.js';

type Entries = ReadonlyMap<string, unknown>;

/**
 * Checks a merge against its rule, computed only from the entries of the three
 * versions: an entry conflicts if both sides changed it differently.
 *
 * @example
 * checkMerge({kind: 'merge', base, mine, theirs});
 */
export function checkMerge({base, mine, theirs}: MergeInput): void {
  const [was, my, their] = [base, mine, theirs].map(entriesOf);
  const paths = new Set([...was.keys(), ...my.keys(), ...their.keys()]);
  const same = (a: Entries, b: Entries, path: string) =>
    a.has(path) === b.has(path) && isDeepStrictEqual(a.get(path), b.get(path));
  const conflicting = [...paths].filter(
    path =>
      !same(was, my, path) && !same(was, their, path) && !same(my, their, path),
  );
  const merged = mergeList(base, mine, theirs);
  const reversed = mergeList(base, theirs, mine);
  assert.equal(merged.ok, reversed.ok, 'conflict in only one direction');
  assert.equal(merged.ok, conflicting.length === 0, 'wrong merge result');
  if (!merged.ok) {
    const named = merged.conflicts.map(({entry}) => entry.replace('.', '/'));
    assert.deepEqual(named.sort(), conflicting.sort());
    return;
  }
  const result = entriesOf(merged.value);
  for (const path of paths) {
    const expected = same(was, my, path) ? their : my;
    assert(same(result, expected, path), `edit of ${path} was lost`);
  }
  for (const path of result.keys()) assert(paths.has(path), `added ${path}`);
  if (reversed.ok) assert.deepEqual(entriesOf(reversed.value), result);
}

function entriesOf(list: object): Entries {
  const sections =
    'workspaces' in list ? SECTIONS.plans : SECTIONS.entitlements;
  return new Map(
    sections.flatMap(section =>
      Object.entries((list as Record<string, object>)[section] ?? {}).map(
        ([name, entry]): [string, unknown] => [
          `${section}/${name}`,
          JSON.parse(JSON.stringify(entry)),
        ],
      ),
    ),
  );
}
