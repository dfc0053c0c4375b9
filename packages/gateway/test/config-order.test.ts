// Guards against a configuration, or a key, that comes back after a newer one,
// for any order of changes, outages and lost histories of the store.
import {id, type WorkspaceId} from '@chivewick/common';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {closeWorlds, config, route, startWorld, until} from './world.js';

after(closeWorlds);

const STEPS = ['change', 'outage', 'return', 'lost history', 'wait'] as const;
const steps = fc.array(fc.constantFrom(...STEPS), {
  minLength: 3,
  maxLength: 14,
});
const WAIT_MS = 15;

/** Version `n` has one key, `key-n`. */
function configOf(version: number) {
  return config({
    version,
    routes: [route({open: false})],
    workspaceOfKey: new Map([[`key-${version}`, {id: id<WorkspaceId>('w1')}]]),
  });
}

test('configuration: it only moves forward, and reaches the newest', async () => {
  await fc.assert(
    fc.asyncProperty(steps, async script => {
      let version = 1;
      const {gateway, store} = await startWorld({config: configOf(version)});
      const seen = [gateway.config()!.version];
      const watch = setInterval(() => seen.push(gateway.config()!.version), 1);
      const acts: Record<(typeof STEPS)[number], () => unknown> = {
        change: () => store.put('config/main', configOf(++version)),
        outage: () => store.setDown(true),
        return: () => store.setDown(false),
        'lost history': () =>
          store.loseHistory('config/main', configOf(++version)),
        wait: () => new Promise(done => setTimeout(done, WAIT_MS)),
      };
      for (const step of script) await acts[step]();
      store.setDown(false);
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
    {numRuns: 30, seed: 5},
  );
});
