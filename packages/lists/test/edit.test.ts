// Guards against list edits that are accepted although invalid, refused without
// the position of the error, or lost when two operators edit the same list.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {formatYamlError} from '@chivewick/common';
import {
  checkEntitlements,
  checkPlans,
  diffLists,
  mergeList,
  parseEntitlements,
  parsePlans,
  resolveGrants,
} from '../src/index.js';
import type {EntitlementsList, PlansList} from '../src/lists-api.js';

// A fixed seed gives the same cases in every run.
fc.configureGlobal({seed: 1});

const KEY = 'a'.repeat(64);
const OTHER_KEY = 'b'.repeat(64);
const PLANS = `workspaces:
  san-fermin:
    plan: parish
    keys: [${KEY}]
  zubiri:
    plan: parish
    keys: []
`;
const ENTITLEMENTS = `models:
  rota-draft: {version: v1, layers: 24, adapters: [formal]}
services:
  bookings: {repeatable: true, nonRepeatablePaths: [/slots]}
plans:
  parish:
    models: [rota-draft, 'rota-draft:formal']
    services: [bookings]
    priority: 1
    concurrency: 8
    tokensPerSecond: 400
`;

function plans(text = PLANS): PlansList {
  const parsed = parsePlans('plans.yaml', text);
  assert.ok(parsed.ok, JSON.stringify(parsed));
  return parsed.value;
}

function entitlements(text = ENTITLEMENTS): EntitlementsList {
  const parsed = parseEntitlements('entitlements.yaml', text);
  assert.ok(parsed.ok, JSON.stringify(parsed));
  return parsed.value;
}

test('lists: the example of the design page resolves to grants', () => {
  const resolved = resolveGrants(plans(), entitlements());
  assert.ok(resolved.ok);
  const {grants, keys} = resolved.value;
  const workspace = keys.get(KEY);
  const grant = workspace && grants.get(workspace);
  assert.equal(grant?.plan, 'parish');
  assert.deepEqual(
    [...(grant?.models.values() ?? [])],
    [{model: 'rota-draft', version: 'v1', layers: 24, adapters: ['formal']}],
  );
  assert.deepEqual([...(grant?.services.keys() ?? [])], ['bookings']);
  assert.equal(grant?.tokensPerSecond, 400);
});

test('lists: a plan gets only the adapters that it names', () => {
  const text = ENTITLEMENTS.replace(", 'rota-draft:formal'", '');
  const resolved = resolveGrants(plans(), entitlements(text));
  assert.ok(resolved.ok);
  const [grant] = resolved.value.grants.values();
  assert.deepEqual([...grant.models.values()][0].adapters, []);
});

const FAULTY: {
  list: 'plans' | 'entitlements';
  from: string;
  to: string;
  fault: string;
}[] = [
  {
    list: 'plans',
    from: 'plan: parish',
    to: 'pln: parish',
    fault:
      'plans.yaml:3: workspaces.san-fermin.pln: unknown key; did you mean "plan"?',
  },
  {
    list: 'plans',
    from: KEY,
    to: 'secret',
    fault:
      'plans.yaml:4: workspaces.san-fermin.keys.0: must be a SHA-256 digest in lower-case hex',
  },
  {
    list: 'plans',
    from: 'keys: []',
    to: `keys: [${KEY}]`,
    fault:
      'plans.yaml:7: workspaces.zubiri.keys.0: key is already listed for workspace "san-fermin"',
  },
  {
    list: 'entitlements',
    from: 'layers: 24',
    to: 'layers: 0',
    fault:
      'entitlements.yaml:2: models.rota-draft.layers: Too small: expected number to be >=1',
  },
  {
    list: 'entitlements',
    from: '[rota-draft,',
    to: '[rota-drft, rota-draft,',
    fault:
      'entitlements.yaml:7: plans.parish.models.0: unknown model "rota-drft"; did you mean "rota-draft"?',
  },
  {
    list: 'entitlements',
    from: ":formal'",
    to: ":fromal'",
    fault:
      'entitlements.yaml:7: plans.parish.models.1: model "rota-draft" has no adapter "fromal"; did you mean "formal"?',
  },
  {
    list: 'entitlements',
    from: '[rota-draft, ',
    to: '[',
    fault:
      'entitlements.yaml:7: plans.parish.models.0: "rota-draft:formal" is granted without "rota-draft" itself',
  },
  {
    list: 'entitlements',
    from: 'services: [bookings]',
    to: 'services: [booking]',
    fault:
      'entitlements.yaml:8: plans.parish.services.0: unknown service "booking"; did you mean "bookings"?',
  },
  {
    list: 'entitlements',
    from: 'concurrency: 8',
    to: 'concurency: 8',
    fault:
      'entitlements.yaml:10: plans.parish.concurency: unknown key; did you mean "concurrency"?',
  },
  {
    list: 'entitlements',
    from: 'concurrency: 8',
    to: 'concurrency: -1',
    fault:
      'entitlements.yaml:10: plans.parish.concurrency: Too small: expected number to be >=0',
  },
];
for (const {list, from, to, fault} of FAULTY)
  test(`lists: "${to}" in ${list} is refused with line, key and hint`, () => {
    const [parse, text] =
      list === 'plans'
        ? [parsePlans, PLANS]
        : [parseEntitlements, ENTITLEMENTS];
    const parsed = parse(`${list}.yaml`, text.replace(from, to));
    assert.ok(!parsed.ok);
    assert.ok(
      parsed.faults.map(formatYamlError).includes(fault),
      parsed.faults.map(formatYamlError).join('\n'),
    );
  });

const VALUES = [
  undefined,
  null,
  3,
  'text',
  [],
  {},
  {workspaces: []},
  {__proto__: null},
];
test('lists: stored values that are not lists are refused', () => {
  for (const value of VALUES) {
    assert.equal(checkPlans(value).ok, false);
    assert.equal(checkEntitlements(value).ok, false);
  }
  const stored = checkPlans({...plans(), writeId: 'maria:1'});
  assert.deepEqual(stored, {ok: true, value: plans()});
});

test('lists: an unknown plan is a fault of the pair, with the nearest name as a hint', () => {
  const text = PLANS.replace('plan: parish', 'plan: parsh');
  assert.deepEqual(resolveGrants(plans(text), entitlements()), {
    ok: false,
    faults: [
      {
        list: 'plans',
        key: 'workspaces.san-fermin.plan',
        message: 'unknown plan "parsh"; did you mean "parish"?',
      },
    ],
  });
});

test('lists: a diff reports the changes of each workspace', () => {
  const before = {plans: plans(), entitlements: entitlements()};
  const after = {
    plans: plans(PLANS.replace('zubiri', 'tafalla').replace(KEY, OTHER_KEY)),
    entitlements: entitlements(
      ENTITLEMENTS.replace('concurrency: 8', 'concurrency: 12'),
    ),
  };
  const changes = diffLists(before, after);
  assert.deepEqual(
    changes.map(({workspace, kind}) => [workspace, kind]),
    [
      ['san-fermin', 'changed'],
      ['tafalla', 'added'],
      ['zubiri', 'removed'],
    ],
  );
  assert.deepEqual(changes[0].fields, [
    {field: 'concurrency', before: 8, after: 12},
    {field: 'keys', before: ['aaaaaaaa'], after: ['bbbbbbbb']},
  ]);
  assert.deepEqual(diffLists(before, before), []);
});

test('lists: edits of different entries merge, and of the same entry conflict with its line', () => {
  const base = plans();
  const mineText = PLANS.replace('keys: []', `keys: [${OTHER_KEY}]`);
  const theirs = plans(PLANS.replace(KEY, ''));
  const merged = mergeList(base, plans(mineText), theirs, {text: mineText});
  assert.ok(merged.ok);
  assert.deepEqual(merged.value.workspaces, {
    'san-fermin': {plan: 'parish', keys: []},
    zubiri: {plan: 'parish', keys: [OTHER_KEY]},
  });
  const conflicting = plans(
    PLANS.replace('zubiri:\n    plan: parish', 'zubiri:\n    plan: choir'),
  );
  const conflict = mergeList(base, plans(mineText), conflicting, {
    text: mineText,
  });
  assert.deepEqual(conflict, {
    ok: false,
    conflicts: [
      {
        list: 'plans',
        entry: 'workspaces.zubiri',
        line: 5,
        message: 'workspaces.zubiri was changed here and by another operator',
        mine: {plan: 'parish', keys: [OTHER_KEY]},
        theirs: {plan: 'choir', keys: []},
      },
    ],
  });
  const removed = plans(PLANS.slice(0, PLANS.indexOf('  zubiri')));
  const lost = mergeList(base, plans(mineText), removed);
  assert.equal(
    !lost.ok && lost.conflicts[0].message,
    'workspaces.zubiri was changed here and removed by another operator',
  );
});

const entry = fc.record({
  plan: fc.constantFrom('p', 'q', 'r'),
  keys: fc.constant([]),
});
const list = fc
  .dictionary(fc.constantFrom('a', 'b', 'c', 'd'), entry)
  .map(workspaces => ({workspaces: {...workspaces}}));

test('lists: a merge of two concurrent edits neither loses nor adds changes', () => {
  fc.assert(
    fc.property(list, list, list, (base, mine, theirs) => {
      const merged = mergeList(base, mine, theirs);
      for (const name of ['a', 'b', 'c', 'd']) {
        const [was, my, their] = [base, mine, theirs].map(value =>
          JSON.stringify(value.workspaces[name]),
        );
        const clashes = was !== my && was !== their && my !== their;
        if (!merged.ok) {
          const named = merged.conflicts.some(
            conflict => conflict.entry === `workspaces.${name}`,
          );
          assert.equal(named, clashes);
          continue;
        }
        assert.ok(!clashes);
        const got = JSON.stringify(merged.value.workspaces[name]);
        assert.equal(got, was === my ? their : my);
      }
      const swapped = mergeList(base, theirs, mine);
      assert.equal(swapped.ok, merged.ok);
    }),
  );
});
