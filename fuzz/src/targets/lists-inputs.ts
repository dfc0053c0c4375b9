import type {EntitlementsList, ListName, PlansList} from '@chivewick/lists';
import fc from 'fast-check';
import {stringify} from 'yaml';
import {jsonValue, mutatedJson} from '../core/json-values.js';
import {ENTITLEMENTS, PLANS} from '../core/list-examples.js';
import {latin1, mutated} from '../core/mutate.js';

/** Input of the `lists` target. */
export type ListsInput =
  | {readonly kind: 'yaml'; readonly list: ListName; readonly text: string}
  | {readonly kind: 'stored'; readonly list: ListName; readonly value: unknown}
  | {
      readonly kind: 'grants';
      readonly plans: unknown;
      readonly entitlements: unknown;
    }
  | MergeInput;

/** Three versions of one list, as two operators edit it. */
export interface MergeInput {
  readonly kind: 'merge';
  readonly base: PlansList | EntitlementsList;
  readonly mine: PlansList | EntitlementsList;
  readonly theirs: PlansList | EntitlementsList;
}

/** Sections of each list, as the design page names them. */
export const SECTIONS: Readonly<Record<ListName, readonly string[]>> = {
  plans: ['workspaces'],
  entitlements: ['models', 'services', 'plans'],
};

const EXAMPLES: Readonly<Record<ListName, unknown>> = {
  plans: PLANS,
  entitlements: ENTITLEMENTS,
};

/** Names that YAML or a plain object reads differently, or that collide. */
const NAMES = [
  '1',
  '"1"',
  '1.0',
  'true',
  '__proto__',
  'constructor',
  'a',
  '"a"',
];

const namedPlans = fc
  .uniqueArray(fc.constantFrom(...NAMES), {minLength: 1, maxLength: 3})
  .map(names => {
    const entries = names.map(name => `  ${name}: {plan: parish, keys: []}\n`);
    return `workspaces:\n${entries.join('')}`;
  });

const FLOW = {collectionStyle: 'flow'} as const;
const yamlInput = (list: ListName): fc.Arbitrary<ListsInput> => {
  const examples = fc.constantFrom(
    stringify(EXAMPLES[list]),
    stringify(EXAMPLES[list], FLOW),
    `${stringify(EXAMPLES[list])}x: &a {b: 1}\ny: *a\n`,
  );
  const value = mutatedJson(fc.constant(EXAMPLES[list]));
  return fc
    .oneof(
      mutated(examples),
      value.map(item => stringify(item)),
      latin1(64),
      namedPlans,
    )
    .map(text => ({kind: 'yaml', list, text}));
};

const storedInput = (list: ListName): fc.Arbitrary<ListsInput> =>
  fc
    .oneof(mutatedJson(fc.constant(EXAMPLES[list])), jsonValue)
    .map(value => ({kind: 'stored', list, value}));

const grantsInput: fc.Arbitrary<ListsInput> = fc.record({
  kind: fc.constant('grants' as const),
  plans: mutatedJson(fc.constant(PLANS), 2),
  entitlements: fc.oneof(
    mutatedJson(fc.constant(ENTITLEMENTS), 2),
    grantLists(),
  ),
});

/** Well-formed entitlements that combine a few models in many ways. */
function grantLists(): fc.Arbitrary<unknown> {
  const model = fc.constantFrom('a', 'b', 'constructor');
  const adapter = fc.constantFrom('x', 'y');
  const granted = fc.oneof(
    model,
    fc.tuple(model, adapter).map(parts => parts.join(':')),
  );
  const models = fc.dictionary(
    model,
    fc.record({
      version: fc.constant('v1'),
      layers: fc.constant(8),
      adapters: fc.uniqueArray(adapter),
    }),
    {noNullPrototype: true},
  );
  const plan = fc.record({
    models: fc.array(granted, {maxLength: 3}),
    services: fc.constant([]),
    priority: fc.nat(9),
    concurrency: fc.nat(9),
    tokensPerSecond: fc.nat(9),
  });
  return fc.record({
    models,
    services: fc.constant({}),
    plans: fc.record({parish: plan, chapel: plan}),
  });
}

const workspaces = fc.dictionary(
  fc.constantFrom('a', 'b', 'c', 'constructor', '1'),
  fc.record({
    plan: fc.constantFrom('parish', 'chapel'),
    keys: fc.uniqueArray(fc.constantFrom('0', '1').map(c => c.repeat(64))),
  }),
  {noNullPrototype: true},
);
const plansList: fc.Arbitrary<PlansList> = fc.record({workspaces});
const entitlementsList = grantLists() as fc.Arbitrary<EntitlementsList>;
const mergeInput = (
  list: fc.Arbitrary<PlansList | EntitlementsList>,
): fc.Arbitrary<ListsInput> =>
  fc.record({
    kind: fc.constant('merge' as const),
    base: list,
    mine: list,
    theirs: list,
  });

/** Generates YAML, stored values, pairs of lists and concurrent edits. */
export const listsInputs: fc.Arbitrary<ListsInput> = fc.oneof(
  yamlInput('plans'),
  yamlInput('entitlements'),
  storedInput('plans'),
  storedInput('entitlements'),
  grantsInput,
  mergeInput(plansList),
  mergeInput(entitlementsList),
);
