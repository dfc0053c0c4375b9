import fc from 'fast-check';

/** One change to a byte string; positions are taken modulo its length. */
export type Edit =
  | {readonly kind: 'cut'; readonly at: number; readonly length: number}
  | {readonly kind: 'insert'; readonly at: number; readonly text: string}
  | {readonly kind: 'repeat'; readonly at: number; readonly length: number}
  | {readonly kind: 'truncate'; readonly at: number};

const MAX_POSITION = 4_096;
const MAX_EDITS = 4;

/** Strings that parsers often handle wrongly. */
const TOKENS = [
  '\r\n',
  '\n',
  '\0',
  '{',
  '}',
  '[',
  ']',
  '"',
  ',',
  ':',
  '%',
  '%00',
  '%zz',
  '//',
  '../',
  '__proto__',
  'constructor',
  'toString',
  '-1',
  '1e999',
  '9007199254740993',
  'null',
  'true',
  '\u00ff',
  '\u00c3\u0028',
  ' ',
  '\t',
  '&a',
  '*a',
  '!!js',
  '<<: *a',
];

const position = fc.nat(MAX_POSITION);
const edit: fc.Arbitrary<Edit> = fc.oneof(
  fc.record({
    kind: fc.constant('cut' as const),
    at: position,
    length: fc.integer({min: 1, max: 16}),
  }),
  fc.record({
    kind: fc.constant('insert' as const),
    at: position,
    text: fc.oneof(fc.constantFrom(...TOKENS), latin1(8)),
  }),
  fc.record({
    kind: fc.constant('repeat' as const),
    at: position,
    length: fc.integer({min: 1, max: 64}),
  }),
  fc.record({kind: fc.constant('truncate' as const), at: position}),
);

/** Up to four changes to a byte string. */
export const textEdits: fc.Arbitrary<readonly Edit[]> = fc.array(edit, {
  maxLength: MAX_EDITS,
});

/**
 * Arbitrary byte strings; one character per byte, so that JSON can hold
 * them.
 *
 * @example
 * const frame = latin1(64);
 */
export function latin1(maxLength: number): fc.Arbitrary<string> {
  return fc
    .uint8Array({maxLength})
    .map(bytes => Buffer.from(bytes).toString('latin1'));
}

/**
 * Mutates valid examples by a few cuts, insertions, repetitions or truncations.
 *
 * @example
 * const requests = mutated(fc.constantFrom(...VALID_REQUESTS));
 */
export function mutated(examples: fc.Arbitrary<string>): fc.Arbitrary<string> {
  return fc
    .tuple(examples, textEdits)
    .map(([example, edits]) => applyEdits(example, edits));
}

/**
 * Applies edits in their order.
 *
 * @example
 * applyEdits('{"n":1}', [{kind: 'truncate', at: 3}]); // '{"n'
 */
export function applyEdits(text: string, edits: readonly Edit[]): string {
  return edits.reduce(applyEdit, text);
}

function applyEdit(text: string, change: Edit): string {
  const at = text.length === 0 ? 0 : change.at % (text.length + 1);
  const [head, tail] = [text.slice(0, at), text.slice(at)];
  switch (change.kind) {
    case 'cut':
      return head + tail.slice(change.length);
    case 'insert':
      return head + change.text + tail;
    case 'repeat':
      return head + tail.slice(0, change.length) + tail;
    case 'truncate':
      return head;
  }
}
