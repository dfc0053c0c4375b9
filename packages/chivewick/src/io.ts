import {styleText} from 'node:util';
import Table from 'cli-table3';

/** The environment of the tool; tests pass fakes. */
export interface Io {
  /** Writes to standard output, without adding a line feed. */
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
  /** Whether standard output is a terminal; only then are colours used. */
  readonly isTerminal: boolean;
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly sleep: (ms: number) => Promise<void>;
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number;
}

/** How results are shown. */
export interface Output {
  readonly json: boolean;
  /** Prints data with `--json`, the lines otherwise. */
  show(data: unknown, lines: () => readonly string[]): void;
  table(head: readonly string[], rows: readonly Cells[]): string;
  good(text: string): string;
  bad(text: string): string;
}

export type Cells = readonly (string | number | boolean | undefined)[];

/**
 * Creates the output of one run. Colours are used only on a terminal, and not if
 * NO_COLOR is set (https://no-color.org).
 *
 * @example
 * const output = createOutput(io, {json: false});
 */
export function createOutput(io: Io, options: {json: boolean}): Output {
  const colour = io.isTerminal && !io.env.NO_COLOR && !options.json;
  const paint = (style: 'green' | 'red' | 'bold') => (text: string) =>
    colour ? styleText(style, text, {validateStream: false}) : text;
  return {
    json: options.json,
    show(data, lines) {
      const text = options.json
        ? [JSON.stringify(data, undefined, 2)]
        : lines();
      io.out(text.map(line => `${line}\n`).join(''));
    },
    table: (head, rows) => formatTable(head.map(paint('bold')), rows),
    good: paint('green'),
    bad: paint('red'),
  };
}

const NO_BORDERS = Object.fromEntries(
  [
    ...['top', 'top-mid', 'top-left', 'top-right', 'bottom', 'bottom-mid'],
    ...['bottom-left', 'bottom-right', 'left', 'left-mid', 'mid', 'mid-mid'],
    ...['right', 'right-mid'],
  ].map(name => [name, '']),
);

function formatTable(head: readonly string[], rows: readonly Cells[]): string {
  const table = new Table({
    head: [...head],
    chars: {...NO_BORDERS, middle: '  '},
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 0},
  });
  table.push(...rows.map(cells => cells.map(cell => String(cell ?? '-'))));
  return table
    .toString()
    .split('\n')
    .map(line => line.trimEnd())
    .join('\n');
}

/**
 * Formats a record as one line per key and value; nested values are JSON.
 *
 * @example
 * formatRecord({state: 'answered', term: 3}); // ['state  answered', 'term   3']
 */
export function formatRecord(value: unknown): string[] {
  if (typeof value !== 'object' || value === null) return [String(value)];
  const entries = Object.entries(value);
  const width = Math.max(0, ...entries.map(([key]) => key.length));
  return entries.map(([key, field]) => {
    const text = typeof field === 'string' ? field : JSON.stringify(field);
    return `${key.padEnd(width)}  ${text}`;
  });
}
