// Guards against hosts that lower a version, combine lists that were never
// stored together, or apply a delta to the wrong base.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createSilentLogger, fail, ok} from '@chivewick/common';
import type {ObjectApi, StoredObject} from '@chivewick/platform';
import {
  applyDelta,
  computeDelta,
  digestOf,
  entriesOf,
  listFromEntries,
} from '../src/entries.js';
import type {ListName, ListVersions} from '../src/lists-api.js';
import {
  createPairStore,
  type HeldPair,
  type RawPair,
} from '../src/pair-store.js';
import {createPlatformReader} from '../src/platform-reader.js';
import {isAtLeast, isSame} from '../src/versions.js';
import {applyPush, createPush} from '../src/wire.js';
import {ENTITLEMENTS, entitlementsWith, plansOf} from './cluster.js';

// A fixed seed gives the same cases in every run.
fc.configureGlobal({seed: 1});

const budget = {spend: () => {}, waitMs: () => 0};
const INVALID = {workspaces: {'ws-0': {plan: 'none', keys: []}}};

function newStore() {
  const adopted: HeldPair[] = [];
  const pairs = createPairStore({
    log: createSilentLogger(),
    adopted: after => void adopted.push(after),
  });
  return {pairs, adopted};
}

/** A random sequence of writes: the list, and whether the value is valid. */
const history = fc.array(
  fc.record({
    list: fc.constantFrom<ListName>('plans', 'entitlements'),
    valid: fc.boolean(),
  }),
  {minLength: 1, maxLength: 12},
);

/** The pair in the store after each write of a history. */
function statesOf(writes: {list: ListName; valid: boolean}[]): RawPair[] {
  let state: RawPair = {
    versions: {plans: 2, entitlements: 1},
    plans: plansOf(1),
    entitlements: ENTITLEMENTS,
  };
  const states = [state];
  for (const [at, {list, valid}] of writes.entries()) {
    const value =
      list === 'plans'
        ? valid
          ? plansOf(at + 2)
          : INVALID
        : valid
          ? entitlementsWith(`plan-${at}`)
          : {...ENTITLEMENTS, plans: {}};
    const versions = {...state.versions, [list]: at + 3};
    state = {...state, versions, [list]: value};
    states.push(state);
  }
  return states;
}

test('lists: in whatever order pairs arrive, versions never decrease and the newest valid pair wins', () => {
  fc.assert(
    fc.property(
      history,
      fc.infiniteStream(fc.nat()),
      (writes, randomIndexes) => {
        const states = statesOf(writes);
        const {pairs, adopted} = newStore();
        const isValid = (raw: RawPair) =>
          newStore().pairs.offer(raw, 'peer') === 'adopted';
        let offered: RawPair | undefined;
        for (let n = 0; n < 2 * states.length; n++) {
          const randomIndex = randomIndexes.next().value as number;
          const raw = states[randomIndex % states.length];
          pairs.offer(raw, randomIndex % 2 === 0 ? 'platform' : 'peer');
          if (isValid(raw) && states.indexOf(raw) >= states.indexOf(offered!))
            offered = raw;
          assert.deepEqual(pairs.current()?.versions, offered?.versions);
        }
        for (const [at, {versions}] of adopted.entries())
          if (at > 0) assert.ok(isAtLeast(versions, adopted[at - 1].versions));
      },
    ),
  );
});

test('lists: two lists that were never in the store together are not combined', async () => {
  await fc.assert(
    fc.asyncProperty(
      history,
      fc.array(fc.nat(3), {minLength: 12, maxLength: 12}),
      fc.nat(11),
      async (writes, writesBetween, from) => {
        const states = statesOf(writes);
        let now = Math.min(from, states.length - 1);
        const start = states[now];
        const offered: ListVersions[] = [];
        const {pairs} = newStore();
        const platform = {
          async get(key: string) {
            const list = key.slice('lists/'.length) as ListName;
            const step = writesBetween.shift() ?? 0;
            now = Math.min(now + step, states.length - 1);
            const {versions, [list]: value} = states[now];
            return ok({key, version: versions[list], value} as StoredObject);
          },
        } as unknown as ObjectApi;
        const reader = createPlatformReader({
          platform,
          budget,
          log: createSilentLogger(),
          pairs: {
            ...pairs,
            offer(raw, source) {
              offered.push(raw.versions);
              return pairs.offer(raw, source);
            },
          },
          onResponse: () => {},
        });
        await reader.refresh();
        await reader.completePair('plans', {
          key: 'lists/plans',
          version: start.versions.plans,
          value: start.plans,
        });
        for (const versions of offered)
          assert.ok(
            states.some(state => isSame(state.versions, versions)),
            `pair ${JSON.stringify(versions)} was never in the store`,
          );
      },
    ),
  );
});

test('lists: a failed platform read does not count as a response', async () => {
  const {pairs} = newStore();
  let answers = 0;
  const reader = createPlatformReader({
    platform: {
      get: async () => fail('platform_unavailable', 'outage'),
    } as unknown as ObjectApi,
    pairs,
    budget,
    log: createSilentLogger(),
    onResponse: () => answers++,
  });
  assert.equal(await reader.refresh(), 'unavailable');
  assert.equal(answers, 0);
});

test('lists: different content under the same versions is adopted only from the platform', () => {
  const {pairs} = newStore();
  const raw = statesOf([])[0];
  const other = {...raw, plans: plansOf(5)};
  pairs.offer(raw, 'peer');
  assert.equal(pairs.offer(other, 'peer'), 'differs');
  assert.equal(pairs.offer(raw, 'peer'), 'same');
  assert.equal(pairs.offer(other, 'platform'), 'adopted');
});

test('lists: a delta applies only to the pair that it starts from', () => {
  const valid = {valid: true} as const;
  const states = statesOf([
    {list: 'plans', ...valid},
    {list: 'entitlements', ...valid},
  ]);
  const [first, second, third] = states.map(raw => {
    const {pairs} = newStore();
    pairs.offer(raw, 'peer');
    return pairs.current() as HeldPair;
  });
  const push = createPush(first, third);
  assert.deepEqual(applyPush(first, push), states[2]);
  assert.equal(applyPush(second, push), undefined, 'other base');
  const {pairs} = newStore();
  pairs.offer({...states[0], plans: plansOf(5)}, 'peer');
  const differing = pairs.current() as HeldPair;
  assert.equal(applyPush(differing, push), undefined, 'other content');
});

// Objects get the ordinary prototype, because deepEqual compares prototypes.
const noNullPrototype = true;
const plansValue = fc
  .dictionary(
    fc.constantFrom('a', 'b', 'c', 'constructor', 'd.e'),
    fc.record(
      {
        plan: fc.constantFrom('p', 'q'),
        keys: fc.array(fc.constantFrom('k1', 'k2'), {maxLength: 2}),
      },
      {noNullPrototype},
    ),
    {noNullPrototype},
  )
  .map(workspaces => ({workspaces}));

test('lists: applying the delta between two versions yields the later version', () => {
  fc.assert(
    fc.property(plansValue, plansValue, (before, after) => {
      const [was, is] = [before, after].map(list => entriesOf('plans', list));
      const applied = applyDelta(was, computeDelta(was, is));
      assert.deepEqual(listFromEntries('plans', applied), after);
      assert.equal(digestOf(applied), digestOf(is));
    }),
  );
});
