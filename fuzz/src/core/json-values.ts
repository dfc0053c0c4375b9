import fc from 'fast-check';

/** Names of prototype members of objects and arrays, and the empty name. */
export const hostileKey: fc.Arbitrary<string> = fc.constantFrom(
  '__proto__',
  'constructor',
  'toString',
  'valueOf',
  'length',
  '',
);

/** Values that replace a member of the expected type. */
const scalar = fc.oneof(
  fc.constantFrom<unknown>(null, true, false, '', [], {}, -1, 0, 1.5, 1e308),
  fc.constantFrom<unknown>(Number.MAX_SAFE_INTEGER, -Number.MAX_SAFE_INTEGER),
  fc.integer(),
  fc.string({maxLength: 8}),
  hostileKey,
);

/** Any JSON value; some keys are names of prototype members. */
export const jsonValue: fc.Arbitrary<unknown> = fc.letrec<{value: unknown}>(
  tie => ({
    value: fc.oneof(
      {maxDepth: 3, withCrossShrink: true},
      scalar,
      fc.array(tie('value'), {maxLength: 4}),
      fc.dictionary(
        fc.oneof(fc.string({maxLength: 6}), hostileKey),
        tie('value'),
        {maxKeys: 4, noNullPrototype: true},
      ),
    ),
  }),
).value;

/** A change at one place in a JSON value. */
interface Replacement {
  /** Index of the member at each level, modulo the number of members. */
  readonly path: readonly number[];
  readonly kind: 'replace' | 'remove' | 'add';
  readonly key: string;
  readonly value: unknown;
}

const replacement: fc.Arbitrary<Replacement> = fc.record({
  path: fc.array(fc.nat(8), {maxLength: 4}),
  kind: fc.constantFrom('replace', 'replace', 'remove', 'add'),
  key: fc.oneof(fc.string({maxLength: 6}), hostileKey),
  value: fc.oneof(scalar, jsonValue),
});

/**
 * Mutates valid JSON values at up to `maxChanges` places (defaults to 3).
 *
 * @example
 * const lists = mutatedJson(fc.constantFrom<unknown>(PLANS, ENTITLEMENTS));
 */
export function mutatedJson(
  examples: fc.Arbitrary<unknown>,
  maxChanges = 3,
): fc.Arbitrary<unknown> {
  return fc
    .tuple(examples, fc.array(replacement, {maxLength: maxChanges}))
    .map(([example, changes]) => {
      let value: unknown = structuredClone(example);
      for (const change of changes) value = replaceAt(value, change, 0);
      return value;
    });
}

function replaceAt(
  value: unknown,
  change: Replacement,
  depth: number,
): unknown {
  if (
    depth === change.path.length ||
    typeof value !== 'object' ||
    value === null
  )
    return change.value;
  const isArray = Array.isArray(value);
  const pairs: [string, unknown][] = Object.entries(value);
  const at = pairs.length === 0 ? 0 : change.path[depth] % pairs.length;
  const last = depth === change.path.length - 1 || pairs.length === 0;
  if (last && change.kind === 'add') pairs.push([change.key, change.value]);
  else if (last && change.kind === 'remove') pairs.splice(at, 1);
  else if (pairs.length > 0)
    pairs[at] = [pairs[at][0], replaceAt(pairs[at][1], change, depth + 1)];
  return isArray ? pairs.map(([, member]) => member) : fromPairs(pairs);
}

// An assignment to `__proto__` would set the prototype instead of a member.
function fromPairs(pairs: readonly [string, unknown][]): object {
  return Object.fromEntries(pairs);
}
