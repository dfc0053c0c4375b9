// Guards against versions of the store that are ordered by a part of them, or that are
// too large for a number.
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {eraOf, storeVersion, versionInEra} from '../src/index.js';

const eras = fc.integer({min: 0, max: 9_000});
const versions = fc.integer({min: 0, max: 999_999_999_999});

test('versions: they are ordered by era first, and keep both parts', () => {
  fc.assert(
    fc.property(eras, versions, eras, versions, (era, version, era2, later) => {
      const first = storeVersion(era, version)!;
      const second = storeVersion(era2, later)!;
      const expected = era === era2 ? version - later : era - era2;
      assert.equal(Math.sign(first - second), Math.sign(expected));
      assert.deepEqual([eraOf(first), versionInEra(first)], [era, version]);
    }),
    {seed: 57},
  );
});

for (const [era, version] of [
  [-1, 5],
  [0.5, 5],
  [9_007, 5],
  [1, -1],
  [1, 1e12],
  [1, '5'],
  [1, undefined],
] as const)
  test(`versions: ${era}, ${String(version)} is none`, () => {
    assert.equal(storeVersion(era, version), undefined);
  });
