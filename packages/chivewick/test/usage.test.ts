// Guards against wrong exit codes, which scripts rely on, and against error
// messages that do not say what to do.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runCli, startHarness} from './run-cli.js';

const PLANS = 'workspaces:\n  san-fermin: {plan: parish, keys: []}\n';

const UNREACHABLE_SERVER = 'http://127.0.0.1:1';

/** Arguments, exit code, error output, and the content of FILE. */
const CASES: [argv: string, code: number, err: RegExp, text?: string][] = [
  ['list', 2, /unknown command 'list'/],
  ['routes', 2, /model/],
  ['hosts --server ,', 2, /CHIVEWICK_SERVER/],
  ['hosts --server nav-a-1', 2, /http:\/\/HOST:PORT/],
  [`hosts --server ${UNREACHABLE_SERVER}`, 3, /127\.0\.0\.1:1.*ECONNREFUSED/],
  ['hosts --key none', 1, /unauthenticated: .*\nhint: .*\nrequest id: /],
  ['requests none/../x?y', 1, /not_found: .*none\/\.\.\/x\?y/],
  ['lists check /nowhere.yaml', 2, /nowhere\.yaml: .*ENOENT/],
  ['lists check FILE', 2, /neither "workspaces"/, 'hosts: []\n'],
  [
    'lists apply FILE',
    2,
    /list\.yaml:3: workspaces\.a\.plans: unknown key; did you mean "plan"\?/,
    'workspaces:\n  a:\n    plans: parish\n    keys: []\n',
  ],
  ['lists check FILE', 2, /list\.yaml:\d+:/, 'workspaces: [\n'],
  [
    'lists apply FILE',
    1,
    /invalid_request: .*\n {2}workspaces\.san-fermin\.plan: unknown plan/,
    PLANS,
  ],
  ['lists check FILE FILE', 2, /second file of plans/, PLANS],
  [
    'lists apply FILE',
    4,
    /version 7777 of plans/,
    `# chivewick: plans version 7777\n${PLANS}`,
  ],
  ['lists edit plans', 2, /no change is given/],
  ['lists edit plans --unset workspaces.no', 2, /there is no workspaces\.no/],
  ['lists edit plans workspaces', 2, /path=value/],
  ['lists apply FILE --timeout soon', 2, /number of seconds/, PLANS],
  [
    'settings check FILE',
    2,
    /list\.yaml:2: hots: unknown key; did you mean "host"\?/,
    'firm: diocese\nhots: nav-a-1\n',
  ],
  ['errors quarantind', 2, /did you mean quarantined\?/],
  ['events 1', 2, /no log event 1/],
];

for (const [argv, code, err, text] of CASES) {
  test(`chivewick fails with ${err}: ${argv}`, async t => {
    const harness = await startHarness(t);
    const file = text === undefined ? '' : harness.file('list.yaml', text);
    const run = await harness.run(
      ...argv.split(' ').map(arg => (arg === 'FILE' ? file : arg)),
    );
    assert.equal(run.code, code, run.err);
    assert.match(run.err, err);
    assert.equal(run.out, '');
  });
}

const VIEWS: [argv: string, out: RegExp][] = [
  ['hosts', /HOST +STATE.*\nnav-a-1 +alive/],
  ['endpoints', /no endpoints/],
  ['quarantine', /no request is banned/],
  ['routes rota-draft', /ENDPOINT +FROM\nengine-1 +0\nengine-2 +8/],
  ['calls san-fermin k', /ran +ran/],
  ['lists status', /nav-a-1 +0 +0 +up to date/],
  ['errors quarantined', /status +422/],
  ['events 301', /name +listInvalid/],
];

for (const [argv, out] of VIEWS) {
  test(`chivewick ${argv} prints a table, and JSON on request`, async t => {
    const harness = await startHarness(t);
    const plain = await harness.run(...argv.split(' '));
    assert.equal(plain.code, 0, plain.err);
    assert.match(plain.out, out);
    const json = await harness.run(...argv.split(' '), '--json');
    assert.equal(typeof JSON.parse(json.out), 'object');
  });
}

test('chivewick tries the next server if one does not respond', async t => {
  const harness = await startHarness(t);
  const servers = `${UNREACHABLE_SERVER},${harness.address}`;
  const {code} = await harness.run('hosts', '--server', servers);
  assert.equal(code, 0);
});

test('chivewick requests queries all servers', async t => {
  const [one, other] = [await startHarness(t), await startHarness(t)];
  const servers = `${UNREACHABLE_SERVER},${one.address},${other.address}`;
  const run = (request: string) =>
    one.run('requests', request, '--server', servers);
  assert.match((await run('known')).out, /outcome +ok/);
  assert.equal((await run('unknown')).code, 1);
  const none = await one.run(
    'requests',
    'known',
    '--server',
    UNREACHABLE_SERVER,
  );
  assert.equal(none.code, 3);
});

test('chivewick --json reports errors as JSON', async t => {
  const harness = await startHarness(t);
  const {code, err} = await harness.run('hosts', '--key', 'nobody', '--json');
  assert.equal(code, 1);
  assert.equal(JSON.parse(err).error.kind, 'unauthenticated');
});

test('chivewick uses colours only on a terminal, without NO_COLOR', async () => {
  const argv = ['events'];
  const escape = '\u001b[';
  const plain = await runCli(argv);
  const colour = await runCli(argv, {isTerminal: true});
  const disabled = await runCli(argv, {isTerminal: true, env: {NO_COLOR: '1'}});
  assert.ok(!plain.out.includes(escape));
  assert.ok(colour.out.includes(escape));
  assert.ok(!disabled.out.includes(escape));
});

test('chivewick --help states the exit codes', async () => {
  const {code, out} = await runCli(['--help']);
  assert.equal(code, 0);
  assert.match(out, /Exit codes:\n {2}0 {2}done/);
  const lists = await runCli(['lists', '--help']);
  assert.match(lists.out, /Examples:\n {2}chivewick lists show plans/);
});
