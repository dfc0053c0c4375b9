// Guards against alerts without a runbook page, pages with broken links, and
// dashboards or rules that use metrics that no host exports.
import assert from 'node:assert/strict';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {test} from 'node:test';
import {parse} from 'yaml';
import {ERROR_RESPONSES, LOG_EVENTS} from '@chivewick/common';

const ROOT = join(import.meta.dirname, '../../../..');
const read = (path: string) => readFileSync(join(ROOT, path), 'utf8');

const PAGES = [
  'README.md',
  'CONTRIBUTING.md',
  'SECURITY.md',
  'docs/glossary.md',
  ...['docs/operators', 'docs/operators/failures'].flatMap(dir =>
    readdirSync(join(ROOT, dir))
      .filter(name => name.endsWith('.md'))
      .map(name => `${dir}/${name}`),
  ),
];
const FAILURE_PAGES = PAGES.filter(page => page.includes('/failures/'));

interface Rule {
  readonly alert: string;
  readonly expr: string;
  readonly labels: {readonly severity: string};
  readonly annotations: {readonly runbook: string};
}

const {groups} = parse(read('ops/prometheus-alerts.yaml')) as {
  groups: readonly {rules: readonly Rule[]}[];
};
const RULES = groups.flatMap(group => group.rules);

/** Metric names in an expression, without the suffixes of histograms. */
function metricsOf(text: string): string[] {
  return [...text.matchAll(/chivewick_[a-z_]+/g)].map(([name]) =>
    name.replace(/_(bucket|sum|count)$/, ''),
  );
}

const [EXPORTED, RESERVED] = read('docs/operators/metrics.md')
  .split('## Not exported yet')
  .map(part =>
    [...part.matchAll(/^\| `(chivewick_[a-z_]+)`/gm)].map(([, name]) => name),
  );

test('metrics.md lists the metrics that the daemon exports', () => {
  const dir = join(ROOT, 'packages/chivewickd/src');
  const source = readdirSync(dir, {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.ts'))
    .map(name => readFileSync(join(dir, name), 'utf8'))
    .join('\n');
  const names = [...source.matchAll(/'(chivewick_[a-z_]+)'/g)].map(m => m[1]);
  assert.deepEqual([...new Set(names)].sort(), [...EXPORTED].sort());
  assert.deepEqual(
    RESERVED.filter(name => names.includes(name)),
    [],
    'exported now: move them to the first table',
  );
});

for (const {alert, expr, labels, annotations} of RULES) {
  test(`alert ${alert} has a page, and uses metrics that exist`, () => {
    const page = read(annotations.runbook);
    assert.ok(page.includes(alert), `${annotations.runbook} names the alert`);
    assert.ok(['critical', 'warning', 'info'].includes(labels.severity));
    for (const name of metricsOf(expr))
      assert.ok(EXPORTED.includes(name), name);
    const [, kind] = /kind="([a-z_]+)"/.exec(expr) ?? [];
    if (kind !== undefined) assert.ok(kind in ERROR_RESPONSES, kind);
  });
}

test('the dashboard uses metrics that exist', () => {
  const text = read('ops/grafana-dashboard.json');
  const names = metricsOf(text).filter(name => name !== 'chivewick_');
  assert.ok(names.length > 0);
  for (const name of names) assert.ok(EXPORTED.includes(name), name);
});

for (const page of FAILURE_PAGES) {
  test(`${page} has the sections for symptoms, system behaviour and actions`, () => {
    const headings = [...read(page).matchAll(/^## (.*)$/gm)].map(m => m[1]);
    assert.deepEqual(headings, [
      'What you see',
      'What the system does',
      'What to do',
    ]);
    const name = page.slice('docs/operators/'.length);
    assert.ok(read('docs/operators/README.md').includes(`(${name})`));
  });

  test(`${page} refers to events and alerts that exist`, () => {
    const text = read(page);
    for (const [, name, number] of text.matchAll(/`(\w+)` \((\d{3})\)/g)) {
      const event = LOG_EVENTS[name as keyof typeof LOG_EVENTS];
      assert.equal(event?.number, Number(number), name);
    }
    for (const [, name] of text.matchAll(/`(Chivewick\w+)`/g))
      assert.ok(
        RULES.some(({alert}) => alert === name),
        name,
      );
  });
}

for (const page of PAGES) {
  test(`${page}: links lead to files that exist`, () => {
    const links = [...read(page).matchAll(/\]\(([^)#]+)[^)]*\)/g)]
      .map(([, link]) => link)
      .filter(link => !/^[a-z]+:/.test(link));
    for (const link of links)
      assert.ok(existsSync(join(ROOT, dirname(page), link)), link);
  });
}
