import {readFileSync} from 'node:fs';
import {closest} from 'fastest-levenshtein';
import {LineCounter, parseDocument, type Document} from 'yaml';
import type {z} from 'zod';
import {findPrototypeKey} from '../prototype-key.js';

/** One error in a YAML file, with its line. */
export interface YamlError {
  readonly file: string;
  /** Line number, from 1. */
  readonly line: number;
  /** Path of the key, such as `peers.0.address`. */
  readonly key: string;
  readonly message: string;
  readonly hint?: string;
}

export type YamlResult<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly faults: readonly YamlError[]};

/**
 * Reads a YAML file and checks it against a schema. Each error names the file,
 * the line and the key; for an unknown key, the hint is the closest valid name.
 *
 * @example
 * const loaded = loadYaml('host.yaml', settingsSchema);
 * if (!loaded.ok) loaded.faults.map(formatYamlError).forEach(line => print(line));
 */
export function loadYaml<S extends z.ZodType>(
  file: string,
  schema: S,
): YamlResult<z.output<S>> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (err) {
    const message = `cannot read the file: ${(err as Error).message}`;
    return {ok: false, faults: [{file, line: 1, key: '', message}]};
  }
  return parseYaml(file, text, schema);
}

/**
 * Checks YAML text against a schema, as `loadYaml` does for a file.
 *
 * @example
 * parseYaml('host.yaml', 'firm: diocese\n', settingsSchema);
 */
export function parseYaml<S extends z.ZodType>(
  file: string,
  text: string,
  schema: S,
): YamlResult<z.output<S>> {
  const lines = new LineCounter();
  // Without `stringKeys`, keys such as 1 and "1" would become the same member.
  const doc = parseDocument(text, {lineCounter: lines, stringKeys: true});
  if (doc.errors.length > 0) {
    const faults = doc.errors.map(err => ({
      file,
      line: lines.linePos(err.pos[0]).line,
      key: '',
      message: err.message.split('\n')[0],
    }));
    return {ok: false, faults};
  }
  const value = valueOf(doc);
  if (!value.ok)
    return {
      ok: false,
      faults: [{file, line: 1, key: '', message: value.message}],
    };
  const prototypeKey = findPrototypeKey(value.value);
  if (prototypeKey !== undefined) {
    const line = lineOf(doc, lines, prototypeKey);
    const message = 'this name is not allowed';
    return {
      ok: false,
      faults: [{file, line, key: prototypeKey.join('.'), message}],
    };
  }
  const checked = schema.safeParse(value.value);
  if (checked.success) return {ok: true, value: checked.data};
  const faults = checked.error.issues.flatMap(issue =>
    faultsOfIssue(file, doc, lines, issue, schema),
  );
  return {ok: false, faults};
}

/** Aliases without an anchor, or too many of them, are detected only here. */
function valueOf(
  doc: Document,
): {ok: true; value: unknown} | {ok: false; message: string} {
  try {
    return {ok: true, value: doc.toJS()};
  } catch (err) {
    return {ok: false, message: (err as Error).message};
  }
}

/**
 * Formats an error as one line for a terminal.
 *
 * @example
 * formatYamlError(fault); // 'host.yaml:4: peers.0.adress: unknown key; did you mean "address"?'
 */
export function formatYamlError(fault: YamlError): string {
  const key = fault.key === '' ? '' : ` ${fault.key}:`;
  const hint = fault.hint === undefined ? '' : `; ${fault.hint}`;
  return `${fault.file}:${fault.line}:${key} ${fault.message}${hint}`;
}

function faultsOfIssue(
  file: string,
  doc: Document,
  lines: LineCounter,
  issue: z.core.$ZodIssue,
  schema: z.ZodType,
): YamlError[] {
  const path = issue.path.map(part => part as string | number);
  if (issue.code !== 'unrecognized_keys') {
    const line = lineOf(doc, lines, path);
    return [{file, line, key: path.join('.'), message: issue.message}];
  }
  const valid = validKeys(schema, path);
  return issue.keys.map(key => ({
    file,
    line: lineOf(doc, lines, [...path, key]),
    key: [...path, key].join('.'),
    message: 'unknown key',
    ...(valid.length > 0 && {hint: `did you mean "${closest(key, valid)}"?`}),
  }));
}

function lineOf(
  doc: Document,
  lines: LineCounter,
  path: readonly (string | number)[],
): number {
  for (let length = path.length; length >= 0; length--) {
    const offset = keyOffset(doc, path.slice(0, length));
    if (offset !== undefined) return lines.linePos(offset).line;
  }
  return 1;
}

interface PairLike {
  key?: {value?: unknown; range?: [number, number, number]};
}

function keyOffset(
  doc: Document,
  path: readonly (string | number)[],
): number | undefined {
  if (path.length === 0) return doc.contents?.range?.[0];
  const parent =
    path.length === 1 ? doc.contents : doc.getIn(path.slice(0, -1));
  const last = path[path.length - 1];
  const items = (parent as {items?: PairLike[]} | undefined)?.items;
  const pair = items?.find(item => item.key?.value === last);
  if (pair?.key?.range !== undefined) return pair.key.range[0];
  const node = doc.getIn(path, true) as {range?: number[]} | undefined;
  return node?.range?.[0];
}

function validKeys(
  schema: z.ZodType,
  path: readonly (string | number)[],
): string[] {
  let def = unwrap(schema);
  for (const part of path) {
    const shape = def?.shape as Record<string, z.ZodType> | undefined;
    const next = shape?.[String(part)] ?? def?.element ?? def?.valueType;
    if (next === undefined) return [];
    def = unwrap(next as z.ZodType);
  }
  return Object.keys(def?.shape ?? {});
}

interface SchemaDef {
  shape?: Record<string, z.ZodType>;
  element?: z.ZodType;
  valueType?: z.ZodType;
  innerType?: z.ZodType;
}

function unwrap(schema: z.ZodType): SchemaDef | undefined {
  const def = (schema as unknown as {_zod?: {def: SchemaDef}})._zod?.def;
  return def?.innerType === undefined ? def : unwrap(def.innerType);
}
