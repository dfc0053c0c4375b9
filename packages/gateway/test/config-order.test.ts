// Guards against returning to an older configuration or a removed key, for any
// order of changes, store outages, lost histories and restores of an older copy.
import {id, type WorkspaceId} from '@chivewick/common';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {closeHarnesses, config, route, startHarness, until} from './harness.js';

after(closeHarnesses);

const STEPS = [
  'change',
  'outage',
  'return',
  'lost history',
  'copy',
  'restore',
  'wait',
] as const;
const steps = fc.array(fc.constantFrom(...STEPS), {
  minLength: 3,
  maxLength: 14,
});
const OLDER_COPY = [
  'copy',
  'change',
  'wait',
  'restore',
  'wait',
] as const satisfies readonly (typeof STEPS)[number][];
const WAIT_MS = 15;

/** Version `n` has one key, `key-n`. */
function configOf(version: number) {
  return config({
    version,
    routes: [route({isPublic: false})],
    workspaceOfKey: new Map([[`key-${version}`, {id: id<WorkspaceId>('w1')}]]),
  });
}

test('configuration: versions never go back, and the newest is reached', async () => {
  await fc.assert(
    fc.asyncProperty(steps, async script => {
      let version = 1;
      const {gateway, store} = await startHarness({config: configOf(version)});
      const seen = [gateway.config()!.version];
      let copy = store.copy();
      let isLost = false;
      const watch = setInterval(() => seen.push(gateway.config()!.version), 1);
      const acts: Record<(typeof STEPS)[number], () => unknown> = {
        change: () => store.put('config/main', configOf(++version)),
        outage: () => store.setDown(true),
        return: () => store.setDown(false),
        'lost history': () =>
          store.loseHistory('config/main', configOf(++version)),
        copy: () => (copy = store.copy()),
        restore: () => {
          store.restore(copy);
          isLost = true;
        },
        wait: () => new Promise(done => setTimeout(done, WAIT_MS)),
      };
      for (const step of script) await acts[step]();
      store.setDown(false);
      // The operator writes again what the copy may lack.
      if (isLost) store.put('config/main', configOf(version));
      await until(() => gateway.config()!.version === version);
      clearInterval(watch);
      await gateway.close();
      assert.deepEqual(
        seen,
        [...seen].sort((a, b) => a - b),
      );
      const keys = [...gateway.config()!.workspaceOfKey!.keys()];
      assert.deepEqual(keys, [`key-${version}`]);
    }),
    {numRuns: 40, seed: 5, examples: [[[...OLDER_COPY]]]},
  );
});
