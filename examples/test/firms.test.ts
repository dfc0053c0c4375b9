// Guards against examples that the daemon or the administration API refuses,
// and against documented keys that differ from those in the files.
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'node:test';
import {
  formatYamlError,
  hostSettingsSchema,
  loadYaml,
  sha256,
  type YamlResult,
} from '@chivewick/common';
import {parseEntitlements, parsePlans, resolveGrants} from '@chivewick/lists';

const EXAMPLES = join(import.meta.dirname, '../..');

function valueOf<T>(result: YamlResult<T>): T {
  if (result.ok) return result.value;
  return assert.fail(result.faults.map(formatYamlError).join('\n'));
}

for (const firm of ['diocese', 'heritage']) {
  const path = (file: string) => join(EXAMPLES, firm, file);
  const read = (file: string) => readFileSync(path(file), 'utf8');
  const settings = () =>
    valueOf(loadYaml(path('host.yaml'), hostSettingsSchema));
  const plans = () => valueOf(parsePlans('plans.yaml', read('plans.yaml')));
  const entitlements = () =>
    valueOf(parseEntitlements('entitlements.yaml', read('entitlements.yaml')));

  test(`example ${firm}: the settings are valid and name the firm`, () => {
    const {firm: named, host, peers} = settings();
    assert.equal(named, firm);
    assert.ok(!(host in peers.hosts), 'a host is not its own peer');
  });

  test(`example ${firm}: both lists are valid together`, () => {
    const resolved = resolveGrants(plans(), entitlements());
    assert.deepEqual(resolved.ok ? [] : resolved.faults, []);
  });

  test(`example ${firm}: every plan, model and service is in use`, () => {
    const {models, services, plans: all} = entitlements();
    const used = Object.values(plans().workspaces).map(({plan}) => plan);
    assert.deepEqual([...new Set(used)].sort(), Object.keys(all).sort());
    const granted = Object.values(all);
    for (const model of Object.keys(models))
      assert.ok(
        granted.some(plan => plan.models.includes(model)),
        model,
      );
    for (const service of Object.keys(services))
      assert.ok(
        granted.some(plan => plan.services.includes(service)),
        service,
      );
  });

  test(`example ${firm}: the documented keys are those of the files`, () => {
    const digests = [
      ...read('README.md').matchAll(/`(example-[a-z-]*key-[a-z-]+)`/g),
    ]
      .map(([, key]) => sha256(key))
      .sort();
    const held = [
      ...settings().operators.keys.map(key => key.sha256),
      ...Object.values(plans().workspaces).flatMap(({keys}) => keys),
    ].sort();
    assert.deepEqual(digests, held);
  });
}
