// Guards against matching the wrong route, and against a traffic split that skips
// a target or sends requests to one of weight zero.
import {id, type ServiceName} from '@chivewick/common';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRouting, pickTarget} from '../src/routing.js';
import type {RouteName, RouteRule, RoutingConfig} from '../src/types.js';

function rule(name: string, host: string, pathPrefix: string): RouteRule {
  return {
    name: id<RouteName>(name),
    host,
    pathPrefix,
    kind: 'repeatable',
    timeoutMs: 1_000,
    goalMs: 100,
    gapGoalMs: 200,
    priority: 1,
    targets: [],
    maxEndpoints: 2,
    isPublic: false,
    resumable: false,
  };
}

const CONFIG: RoutingConfig = {
  version: 1,
  routes: [
    rule('all', 'a.example', '/'),
    rule('slots', 'a.example', '/slots/'),
    rule('old-slots', 'a.example', '/slots/old/'),
    rule('only', 'b.example', '/slots/'),
  ],
  services: new Map(),
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

const CASES: readonly [host: string, path: string, route?: string][] = [
  ['a.example', '/', 'all'],
  ['a.example', '/other', 'all'],
  ['a.example', '/slots', 'all'],
  ['a.example', '/slots/', 'slots'],
  ['a.example', '/slots/7?x=/slots/old/', 'slots'],
  ['a.example', '/slots/old/7', 'old-slots'],
  ['a.example', '/slots/older/7', 'slots'],
  ['A.Example:8080', '/slots/7', 'slots'],
  ['b.example', '/slots/old/7', 'only'],
  ['b.example', '/', undefined],
  ['c.example', '/slots/7', undefined],
  ['', '/slots/7', undefined],
  ['a.example', '*', undefined],
];

for (const [host, path, route] of CASES) {
  test(`routing: ${host}${path} matches ${route ?? 'no route'}`, () => {
    assert.equal(createRouting(CONFIG).match(host, path)?.name, route);
  });
}

test('routing: a split gives each target its share', () => {
  const a = id<ServiceName>('a');
  const b = id<ServiceName>('b');
  const targets = [
    {service: a, weight: 90},
    {service: b, weight: 10},
  ];
  assert.equal(pickTarget(targets, 0), a);
  assert.equal(pickTarget(targets, 0.899), a);
  assert.equal(pickTarget(targets, 0.901), b);
  assert.equal(pickTarget([], 0.5), undefined);
});

test('routing: a target of weight zero gets no request', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 5}), {minLength: 1, maxLength: 6}),
      fc.double({min: 0, max: 1, maxExcluded: true, noNaN: true}),
      (weights, draw) => {
        const targets = weights.map((weight, index) => ({
          service: id<ServiceName>(String(index)),
          weight,
        }));
        const picked = pickTarget(targets, draw);
        const isEmpty = weights.every(weight => weight === 0);
        if (isEmpty) return assert.equal(picked, undefined);
        assert.ok(weights[Number(picked)] > 0);
      },
    ),
  );
});

// A lookup for each slash took time that grew with the square of their number, 0.2 s for
// such a path, in which the host answered nothing. This many would not end within the
// time limit of the test run.
test('routing: paths of slashes do not hold up a host', () => {
  const routing = createRouting(CONFIG);
  const path = '/'.repeat(16_000);
  for (let count = 0; count < 10_000; count++) {
    assert.equal(routing.match('b.example', path), undefined);
    assert.equal(routing.match('a.example', path)?.name, 'all');
  }
});

test('routing: the longest prefix that begins the path is matched', () => {
  const path = fc
    .array(fc.constantFrom('a', 'bb', ''), {maxLength: 6})
    .map(segments => ['', ...segments, ''].join('/'));
  fc.assert(
    fc.property(fc.uniqueArray(path, {maxLength: 12}), path, (prefixes, to) => {
      const routes = prefixes.map(prefix => rule(prefix, 'a.example', prefix));
      const expected = prefixes
        .filter(prefix => to.startsWith(prefix))
        .sort((one, other) => other.length - one.length)[0];
      const found = createRouting({...CONFIG, routes}).match('a.example', to);
      assert.equal(found?.name, expected);
    }),
  );
});
