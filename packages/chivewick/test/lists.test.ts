// Guards against edits that undo other operators' changes, and against a change
// that is reported as done before it is in effect on all hosts.
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {startHarness, type CliHarness, type RunOptions} from './run-cli.js';

const ENTITLEMENTS = `models:
  rota-draft: {version: v1, layers: 24, adapters: [formal]}
services:
  bookings: {repeatable: true, nonRepeatablePaths: [/slots]}
plans:
  parish:
    models: [rota-draft]
    services: [bookings]
    priority: 1
    concurrency: 8
    tokensPerSecond: 400
  choir:
    models: [rota-draft]
    services: []
    priority: 2
    concurrency: 2
    tokensPerSecond: 100
`;
const PLANS = `workspaces:
  san-fermin: {plan: parish, keys: []}
  san-saturnino: {plan: parish, keys: []}
`;

async function startWithLists(
  t: TestContext,
  options?: RunOptions,
): Promise<CliHarness> {
  const harness = await startHarness(t, options);
  const files = [
    harness.file('plans.yaml', PLANS),
    harness.file('entitlements.yaml', ENTITLEMENTS),
  ];
  const {code, err} = await harness.run('lists', 'apply', ...files);
  assert.equal(code, 0, err);
  return harness;
}

/** Returns the output of `lists show`, with which an operator starts an edit. */
async function showList(harness: CliHarness, list: string): Promise<string> {
  return (await harness.run('lists', 'show', list)).out;
}

test('lists apply creates both lists in a valid order', async t => {
  const harness = await startWithLists(t);
  const plans = await showList(harness, 'plans');
  assert.match(plans, /^# chivewick: plans version \d+\n/);
  assert.match(plans, /san-saturnino/);
});

test('lists apply removes a plan together with its last workspace', async t => {
  const harness = await startWithLists(t);
  const edit = await harness.run(
    ...['lists', 'edit', 'plans', 'workspaces.san-fermin.plan=choir'],
  );
  assert.equal(edit.code, 0, edit.err);
  const plans = (await showList(harness, 'plans')).replace('choir', 'parish');
  const entitlements = await showList(harness, 'entitlements');
  const without = entitlements.slice(0, entitlements.indexOf('  choir:'));
  const {code, err} = await harness.run(
    ...['lists', 'apply', harness.file('plans.yaml', plans)],
    harness.file('entitlements.yaml', without),
  );
  assert.equal(code, 0, err);
  assert.doesNotMatch(await showList(harness, 'entitlements'), /choir/);
});

const RACES: {
  name: string;
  code: number;
  expected: RegExp[];
}[] = [
  {
    name: 'of another workspace is merged',
    code: 0,
    expected: [/merged with other operators' changes/],
  },
  {
    name: 'of the same workspace is a conflict at its line',
    code: 4,
    expected: [/mine\.yaml:3: workspaces\.san-fermin was changed here and/],
  },
];

for (const when of ['since the file was fetched', 'during the apply']) {
  for (const {name, code, expected} of RACES) {
    test(`a change ${when} ${name}`, async t => {
      const harness = await startWithLists(t);
      const mine = (await showList(harness, 'plans')).replace(
        'parish',
        'choir',
      );
      const file = harness.file('mine.yaml', mine);
      const theirs =
        code === 0
          ? 'workspaces.san-saturnino.plan=choir'
          : `workspaces.san-fermin.keys=[${'a'.repeat(64)}]`;
      const edit = () => harness.run('lists', 'edit', 'plans', theirs);
      if (when === 'during the apply') harness.beforeWrite(edit);
      else await edit();
      const run = await harness.run('lists', 'apply', file);
      assert.equal(run.code, code, run.err);
      for (const pattern of expected) assert.match(run.out + run.err, pattern);
      const after = await showList(harness, 'plans');
      if (code === 0) assert.equal(after.match(/choir/g)?.length, 2);
      else assert.doesNotMatch(after, /choir/);
    });
  }
}

test('lists apply --wait ends when every live host has the change', async t => {
  const harness: CliHarness = await startWithLists(t, {
    onSleep: () => harness.hosts.set('nav-b-1', 'current'),
  });
  harness.hosts.set('nav-b-1', 'behind').set('nav-c-1', 'leaving');
  const {code, out, err} = await harness.run(
    ...['lists', 'edit', 'plans', 'workspaces.san-fermin.plan=choir', '--wait'],
  );
  assert.equal(code, 0, err);
  assert.match(out, /in effect on 2 hosts/);
});

for (const state of ['behind', 'unresponsive'] as const) {
  test(`lists apply --wait names a host that is ${state}`, async t => {
    const harness = await startWithLists(t);
    harness.hosts.set('nav-b-1', state);
    const {code, err} = await harness.run(
      ...['lists', 'edit', 'plans', 'workspaces.san-fermin.plan=choir'],
      ...['--wait', '--timeout', '3'],
    );
    assert.equal(code, 5);
    assert.match(err, /nav-b-1: has plans/);
    assert.doesNotMatch(err, /nav-a-1/);
    const status = await harness.run('lists', 'status', '--json');
    const {hosts, behind} = JSON.parse(status.out);
    assert.equal(hosts.length, 2);
    assert.deepEqual(behind, ['nav-b-1']);
  });
}

test('lists apply --wait reports why no host adopts a pair of lists', async t => {
  const harness = await startWithLists(t);
  harness.hosts.set('nav-a-1', 'behind');
  // Each edit is valid with the other list as it was; the two together are not.
  harness.beforeWrite(() =>
    harness.run('lists', 'edit', 'entitlements', '--unset', 'plans.choir'),
  );
  const {code, err} = await harness.run(
    ...['lists', 'edit', 'plans', 'workspaces.san-fermin.plan=choir'],
    ...['--wait', '--timeout', '1'],
  );
  assert.equal(code, 5);
  assert.match(err, /not valid together/);
  assert.match(err, /workspaces\.san-fermin\.plan: unknown plan "choir"/);
});

test('lists apply without a change creates no new version', async t => {
  const harness = await startWithLists(t);
  const before = await showList(harness, 'plans');
  const {code} = await harness.run(
    'lists',
    'apply',
    harness.file('p.yaml', before),
  );
  assert.equal(code, 0);
  assert.equal(await showList(harness, 'plans'), before);
});

for (const command of [['diff'], ['apply', '--dry-run']]) {
  test(`lists ${command.join(' ')} shows the changes and applies none`, async t => {
    const harness = await startWithLists(t);
    const before = await showList(harness, 'plans');
    const mine = harness.file('mine.yaml', before.replace('parish', 'choir'));
    const run = await harness.run('lists', ...command, mine, '--json');
    assert.equal(run.code, 0, run.err);
    const {changes} = JSON.parse(run.out);
    assert.deepEqual(
      changes.map(({workspace}: {workspace: string}) => workspace),
      ['san-fermin'],
    );
    assert.equal(await showList(harness, 'plans'), before);
  });
}

test('lists history shows operators and prints earlier versions', async t => {
  const harness = await startWithLists(t);
  const before = await showList(harness, 'plans');
  await harness.run(
    'lists',
    'edit',
    'plans',
    '--unset',
    'workspaces.san-fermin',
  );
  const {out} = await harness.run('lists', 'history', 'plans', '--json');
  const {versions} = JSON.parse(out);
  assert.equal(versions.length, 2);
  assert.equal(versions[0].by, 'maria');
  const old = await harness.run(
    ...['lists', 'history', 'plans', String(versions[1].version)],
  );
  assert.equal(old.out, before);
});
