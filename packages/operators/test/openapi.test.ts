// Guards against an API description that omits a route, has a route that does
// not exist, or disagrees with the code on which routes require a key.
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'node:test';
import {parse} from 'yaml';
import {ADMIN_ROUTES} from '../src/index.js';

const ROOT = join(import.meta.dirname, '../../../..');
const METHODS = ['get', 'put', 'post', 'delete', 'patch'];

interface Operation {
  readonly security?: readonly unknown[];
  readonly parameters?: readonly Parameter[];
  readonly responses: Readonly<Record<string, unknown>>;
}

interface Parameter {
  readonly $ref?: string;
  readonly name?: string;
}

interface Description {
  readonly paths: Readonly<
    Record<string, Record<string, Operation> & {parameters?: Parameter[]}>
  >;
  readonly components: {
    readonly parameters: Readonly<Record<string, Parameter>>;
  };
}

const description = parse(
  readFileSync(join(ROOT, 'docs/operators/openapi.yaml'), 'utf8'),
) as Description;

const described = Object.entries(description.paths).flatMap(([path, item]) =>
  METHODS.filter(method => method in item).map(method => ({
    name: `${method.toUpperCase()} ${path}`,
    path,
    operation: item[method],
    parameters: [
      ...(item.parameters ?? []),
      ...(item[method].parameters ?? []),
    ],
  })),
);

const nameOf = ({method, path}: {method: string; path: string}) =>
  `${method} ${path.replace(/:(\w+)/g, '{$1}')}`;

test('openapi.yaml describes the routes of the app and no others', () => {
  assert.deepEqual(
    described.map(({name}) => name).sort(),
    ADMIN_ROUTES.map(nameOf).sort(),
  );
});

for (const {name, path, operation, parameters} of described) {
  test(`openapi.yaml: ${name} says whether it needs a key`, () => {
    const route = ADMIN_ROUTES.find(candidate => nameOf(candidate) === name);
    const isOpen = operation.security?.length === 0;
    assert.equal(isOpen, route?.allowsAnonymous === true);
    assert.ok('200' in operation.responses);
  });

  test(`openapi.yaml: ${name} describes its parameters`, () => {
    const names = parameters.map(({$ref, name: paramName}) =>
      $ref === undefined
        ? paramName
        : description.components.parameters[$ref.split('/').at(-1)!].name,
    );
    for (const [, expected] of path.matchAll(/\{(\w+)\}/g))
      assert.ok(names.includes(expected), expected);
  });
}
