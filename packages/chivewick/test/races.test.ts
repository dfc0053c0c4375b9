// Guards against an accepted change that another operator's change undoes, in
// any interleaving of their reads and writes, also when responses are lost.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {PlansList} from '@chivewick/lists';
import type {AdminClient, AdminResponse} from '../src/client.js';
import {CommandError} from '../src/exit.js';
import {applyEdit, fetchList} from '../src/list-edits.js';

const WORKSPACES = ['san-fermin', 'san-saturnino', 'san-lorenzo'];

/** A server that stores one list and may lose the response to a write. */
function createFakeServer(
  scheduler: fc.Scheduler,
  lostResponses: readonly number[],
) {
  const workspaces = Object.fromEntries(
    WORKSPACES.map(name => [name, {plan: 'plan-0', keys: []}]),
  );
  const state = {version: 1, value: {workspaces} as PlansList, writes: 0};
  const respond = (status: number, body: object): AdminResponse => ({
    status,
    version: state.version,
    body: body as Record<string, unknown>,
  });
  const write = (body: unknown, expected: number): AdminResponse => {
    if (expected !== state.version)
      return respond(412, {error: {kind: 'version_mismatch'}});
    state.version++;
    state.value = body as PlansList;
    if (lostResponses.includes(state.writes++)) {
      // The client repeats the write on the next host with the same condition.
      return write(body, expected);
    }
    return respond(200, {version: state.version, changes: []});
  };
  const client: AdminClient = {
    find: () => client.get(''),
    async get() {
      await scheduler.schedule(Promise.resolve(), 'get');
      const read = respond(200, state.value);
      await scheduler.schedule(Promise.resolve(), 'got');
      return read;
    },
    async put(_path, body, expected) {
      await scheduler.schedule(Promise.resolve(), 'put');
      return write(body, expected);
    },
    close: async () => {},
  };
  return {client, state};
}

const edits = fc.array(
  fc.record({
    workspace: fc.constantFrom(...WORKSPACES),
    plan: fc.integer({min: 1, max: 3}),
  }),
  {minLength: 2, maxLength: 5},
);

test('accepted edits of concurrent operators are all in the list', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      edits,
      fc.array(fc.nat(4), {maxLength: 2}),
      async (scheduler, requestedEdits, lostResponses) => {
        const {client, state} = createFakeServer(scheduler, lostResponses);
        const operators = requestedEdits.map(async ({workspace, plan}) => {
          const base = await fetchList(client, 'plans');
          const {workspaces} = base.value as PlansList;
          const entry = {plan: `plan-${plan}`, keys: []};
          const value = {workspaces: {...workspaces, [workspace]: entry}};
          try {
            await applyEdit(client, {list: 'plans', value, base});
            return {workspace, plan: entry.plan, from: base.version};
          } catch (err) {
            if (err instanceof CommandError && err.kind === 'conflict') return;
            throw err;
          }
        });
        const settled = Promise.all(operators);
        await scheduler.waitFor(settled);
        const accepted = (await settled).filter(edit => edit !== undefined);
        for (const name of WORKSPACES) {
          const plans = accepted
            .filter(({workspace}) => workspace === name)
            .map(({plan}) => plan);
          const {plan} = state.value.workspaces[name];
          if (plans.length === 0) assert.equal(plan, 'plan-0');
          else assert.ok(plans.includes(plan), `${name} has ${plan}`);
        }
      },
    ),
    {numRuns: 300},
  );
});
