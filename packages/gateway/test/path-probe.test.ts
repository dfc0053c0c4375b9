// Guards against reports that are kept for each address that an engine has ever had.
import {createSilentLogger, id, type EndpointId} from '@chivewick/common';
import type {Stage} from '@chivewick/engines';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createEndpointTable} from '../src/endpoint-table.js';
import {createPathProbe} from '../src/path-probe.js';
import type {EngineControl, EngineReport} from '../src/types.js';

const PROBES = 20;
/** Longer than a report is used for other streams. */
const REUSE_MS = 450;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

test('path-probe: reports of earlier addresses are not kept', async () => {
  const reports: WeakRef<object>[] = [];
  const control = {
    report() {
      const report = {slowness: 1, stalled: []} as unknown as EngineReport;
      reports.push(new WeakRef(report));
      return Promise.resolve(report);
    },
  } as unknown as EngineControl;
  const table = createEndpointTable(createSilentLogger(), () => 2_000);
  const probe = createPathProbe(
    control,
    table,
    () => 1,
    () => Promise.resolve(true),
  );
  const check = (port: number) =>
    probe.check(
      [
        {
          endpoint: id<EndpointId>(`e${port}`),
          address: `10.1.64.9:${port}`,
        } as Stage,
      ],
      'r',
    );
  for (let port = 1; port <= PROBES; port++) await check(port);
  await new Promise(done => setTimeout(done, REUSE_MS));
  await check(PROBES + 1);
  await new Promise(done => setImmediate(done));
  collectGarbage();
  const kept = reports.filter(ref => ref.deref() !== undefined);
  assert.equal(reports.length, PROBES + 1);
  assert.ok(kept.length <= 1, `${kept.length} reports are kept`);
});
