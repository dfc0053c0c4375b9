import assert from 'node:assert/strict';
import {
  checkEntitlements,
  checkPlans,
  parseEntitlements,
  parsePlans,
  resolveGrants,
  type EntitlementsList,
  type ListName,
} from '@chivewick/lists';
import {isMap, parseDocument, stringify} from 'yaml';
import type {Target} from '../core/target.js';
import {listsInputs, SECTIONS, type ListsInput} from './lists-inputs.js';
import {checkMerge} from './lists-merge.js';

/** Parsing, checks, grants and merges of the two lists. */
export const listsTarget: Target<ListsInput> = {
  name: 'lists',
  property:
    'Parsing never throws; an accepted value loses no entry and is accepted unchanged when read back; no grant contains an entry that is missing from the lists; a merge loses no edit that does not conflict, and conflicts in both directions or in none.',
  inputs: listsInputs,
  runsInTests: 3_000,
  async open() {
    return {
      async check(input) {
        switch (input.kind) {
          case 'yaml':
            return checkYaml(input.list, input.text);
          case 'stored':
            return checkStored(input.list, input.value);
          case 'grants':
            return checkGrants(input.plans, input.entitlements);
          case 'merge':
            return checkMerge(input);
        }
      },
      close: async () => {},
    };
  },
};

const parseList = (list: ListName, text: string) =>
  list === 'plans' ? parsePlans('f', text) : parseEntitlements('f', text);
const checkList = (list: ListName, value: unknown) =>
  list === 'plans' ? checkPlans(value) : checkEntitlements(value);

function checkYaml(list: ListName, text: string): void {
  const parsed = parseList(list, text);
  if (!parsed.ok) {
    assert(parsed.faults.length > 0, 'refused without an error');
    for (const {line} of parsed.faults)
      assert(Number.isInteger(line) && line > 0, `line ${line}`);
    return;
  }
  checkPairs(list, text, parsed.value);
  const again = parseList(list, stringify(parsed.value));
  assert(again.ok, 'an accepted list is refused when read back');
  assert.deepEqual(asJson(again.value), asJson(parsed.value));
  checkStored(list, asJson(parsed.value));
}

function checkStored(list: ListName, value: unknown): void {
  const checked = checkList(list, value);
  if (!checked.ok) {
    assert(checked.faults.length > 0, 'refused without an error');
    return;
  }
  checkNames(list, value, checked.value);
  const again = checkList(list, asJson(checked.value));
  assert(again.ok, 'an accepted value is refused when read back');
  assert.deepEqual(asJson(again.value), asJson(checked.value));
}

/** Checks that no two keys of a file became one entry, which loses an edit. */
function checkPairs(list: ListName, text: string, value: object): void {
  const doc = parseDocument(text);
  for (const section of SECTIONS[list]) {
    const node = doc.get(section);
    if (!isMap(node)) continue;
    const names = Object.keys((value as Record<string, object>)[section]);
    assert.equal(names.length, node.items.length, `entries of ${section}`);
  }
}

/** Checks that no entry was dropped silently, which loses an edit. */
function checkNames(list: ListName, before: unknown, after: object): void {
  for (const section of SECTIONS[list]) {
    const names = (value: unknown) =>
      Object.keys((value as Record<string, object>)[section] ?? {}).sort();
    assert.deepEqual(names(after), names(before), `names of ${section}`);
  }
}

function checkGrants(plansValue: unknown, entitlementsValue: unknown): void {
  const plans = checkPlans(plansValue);
  const entitlements = checkEntitlements(entitlementsValue);
  if (!plans.ok || !entitlements.ok) return;
  const resolved = resolveGrants(plans.value, entitlements.value);
  if (!resolved.ok) return;
  const {grants, keys} = resolved.value;
  const {workspaces} = plans.value;
  assert.deepEqual([...grants.keys()].sort(), Object.keys(workspaces).sort());
  for (const [workspace, grant] of grants) {
    const {plan} = workspaces[workspace];
    const names = grant.models.values();
    for (const {model, adapters} of names)
      checkModel(entitlements.value, plan, model, adapters);
    for (const service of grant.services.keys())
      assert(entitlements.value.plans[plan].services.includes(service));
    assert.equal(grant.concurrency, entitlements.value.plans[plan].concurrency);
  }
  for (const [key, workspace] of keys)
    assert(
      workspaces[workspace].keys.includes(key),
      'the key belongs to another workspace',
    );
}

function checkModel(
  list: EntitlementsList,
  plan: string,
  model: string,
  adapters: readonly string[],
): void {
  const named = list.plans[plan].models;
  assert(named.includes(model), `model ${model} is not in the plan`);
  assert(Object.hasOwn(list.models, model), `model ${model} does not exist`);
  for (const adapter of adapters) {
    assert(
      named.includes(`${model}:${adapter}`),
      `adapter ${adapter} is not in the plan`,
    );
    assert(list.models[model].adapters.includes(adapter), 'unknown adapter');
  }
}

function asJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
