/** Exit codes of the command-line tool; scripts may rely on them. */
export const EXIT_CODES = {
  ok: {code: 0, meaning: 'done'},
  refused: {code: 1, meaning: 'the server refused the request'},
  usage: {code: 2, meaning: 'wrong usage, or an invalid file'},
  unreachable: {code: 3, meaning: 'no server responded'},
  conflict: {
    code: 4,
    meaning: 'another operator changed the same lines; nothing was applied',
  },
  notInEffect: {
    code: 5,
    meaning: 'accepted, but not yet in effect on every live host',
  },
} as const;

export type ExitKind = keyof typeof EXIT_CODES;

/** Thrown to end a command with an exit code and lines for standard error. */
export class CommandError extends Error {
  constructor(
    readonly kind: ExitKind,
    readonly lines: readonly string[],
    /** The error as data, for `--json`. */
    readonly data: Record<string, unknown> = {},
  ) {
    super(lines[0]);
    this.name = 'CommandError';
  }
}

/**
 * Formats the exit codes for the help text.
 *
 * @example
 * program.addHelpText('after', formatExitCodes());
 */
export function formatExitCodes(): string {
  const lines = Object.values(EXIT_CODES).map(
    ({code, meaning}) => `  ${code}  ${meaning}`,
  );
  return ['', 'Exit codes:', ...lines].join('\n');
}
