import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createRandom} from '@chivewick/common';
import {createDirectory} from '../src/index.js';
import {entryOf, requestOf, statusOf} from './fixtures.js';

const LAYERS = 12;

const ranges = fc.array(
  fc
    .tuple(fc.nat(LAYERS - 1), fc.nat(LAYERS - 1), fc.nat(4))
    .map(([a, b, running]) => ({
      from: Math.min(a, b),
      to: Math.max(a, b) + 1,
      running,
    })),
  {maxLength: 10},
);

/** Whether a chain that covers the layers exists: each layer has an endpoint. */
function coverable(held: readonly {from: number; to: number}[]): boolean {
  return Array.from({length: LAYERS}, (_, layer) => layer).every(layer =>
    held.some(({from, to}) => from <= layer && layer < to),
  );
}

// Guards against missing an existing chain, and against layers run twice or not at all.
test('any coverable set of ranges gives a chain with each layer once, in order', () => {
  fc.assert(
    fc.property(ranges, fc.nat(1000), (held, seed) => {
      const directory = createDirectory({
        random: createRandom(seed),
        now: () => 0,
      });
      held.forEach(({from, to, running}, index) => {
        const load = {running, queued: 0, kvFree: 1e6, kvTotal: 2e6, ageMs: 0};
        const status = statusOf(`e${index}`, {from, to}, {load});
        const entry = entryOf(status);
        directory.add({
          ...entry,
          id: status.endpoint,
          listedLeaving: false,
        });
        directory.report(status);
      });
      const res = directory.choose(requestOf({layers: LAYERS}));
      assert.equal(res.ok, coverable(held));
      if (!res.ok) return;
      let at = 0;
      for (const {endpoint, from, to} of res.value) {
        const holder = held[Number(endpoint.slice(1))];
        assert.equal(from, at);
        assert.ok(holder.from <= from && from < to && to <= holder.to);
        at = to;
      }
      assert.equal(at, LAYERS);
      const used = new Set(res.value.map(({endpoint}) => endpoint));
      assert.equal(used.size, res.value.length);
    }),
    {numRuns: 2000},
  );
});
