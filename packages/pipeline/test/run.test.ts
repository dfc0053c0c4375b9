import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
  collect,
  createFleet,
  makeRequest,
  NEVER,
  undisturbedTokens,
  type Fleet,
} from './fleet.js';

let fleet: Fleet;
before(async () => {
  fleet = await createFleet();
});
after(() => fleet.close());

const CASES = [
  {name: 'a short prompt', fields: {}},
  {name: 'an adapter', fields: {adapter: 'formal'}},
  {
    name: 'a prompt over several prefill batches',
    fields: {prompt: 'x'.repeat(300)},
  },
  {name: 'characters outside ASCII', fields: {prompt: 'Iruñeko loreak 경주'}},
];

// Guards against layers that are skipped or run twice, which changes the tokens.
for (const {name, fields} of CASES) {
  test(`run: every layer runs once per token for ${name}`, async () => {
    const request = makeRequest(fields);
    const got = await collect(fleet.pipeline.run(request, NEVER));
    assert.deepEqual(got.tokens, undisturbedTokens(request));
    assert.equal(got.last?.type, 'done');
  });
}
