import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {readCorpus, replay, runTarget, TARGETS} from '../src/index.js';

const SEED = 20261204;

for (const target of TARGETS) {
  describe(`fuzz target ${target.name}`, () => {
    test('every stored input that once failed passes now', async () => {
      for (const {file, input} of await readCorpus(target.name))
        await assert.doesNotReject(replay(target, input), file);
    });

    test(`${target.runsInTests} generated inputs: ${target.property}`, async () => {
      const runs = target.runsInTests;
      const report = await runTarget(target, {seed: SEED, runs});
      assert.deepEqual(report.failure, undefined);
      assert.equal(report.runs, runs);
    });
  });
}
