import {Command, CommanderError} from 'commander';
import {addLists} from './commands/lists.js';
import {addReference} from './commands/reference.js';
import {addSettings} from './commands/settings.js';
import {addViews} from './commands/views.js';
import {CommandError, EXIT_CODES, formatExitCodes} from './exit.js';
import type {Io} from './io.js';

/**
 * Runs the command-line tool once.
 *
 * @param argv arguments after the program's name
 * @returns the exit code, one of `EXIT_CODES`
 * @example
 * process.exitCode = await runChivewick(process.argv.slice(2), processIo);
 */
export async function runChivewick(
  argv: readonly string[],
  io: Io,
): Promise<number> {
  try {
    await createProgram(io).parseAsync(argv, {from: 'user'});
    return EXIT_CODES.ok.code;
  } catch (err) {
    if (err instanceof CommandError) return printError(io, argv, err);
    if (!(err instanceof CommanderError)) throw err;
    return err.exitCode === 0 ? EXIT_CODES.ok.code : EXIT_CODES.usage.code;
  }
}

function createProgram(io: Io): Command {
  const program = new Command('chivewick')
    .description('Operates chivewick: edits the two lists, shows the rest.')
    .option(
      '--server <addresses>',
      'administration addresses, tried in order (or CHIVEWICK_SERVER)',
    )
    .option('--key <key>', 'administration key (or CHIVEWICK_KEY)')
    .option('--json', 'print results and errors as JSON')
    .configureHelp({showGlobalOptions: true, sortSubcommands: true})
    .configureOutput({writeOut: io.out, writeErr: io.err})
    .showHelpAfterError('(see --help)')
    .exitOverride()
    .addHelpText('after', formatExitCodes());
  addLists(program, io);
  addViews(program, io);
  addSettings(program, io);
  addReference(program, io);
  return program;
}

function printError(
  io: Io,
  argv: readonly string[],
  err: CommandError,
): number {
  const {code} = EXIT_CODES[err.kind];
  const text = argv.includes('--json')
    ? JSON.stringify({exitCode: code, message: err.message, ...err.data})
    : err.lines.join('\n');
  io.err(`${text}\n`);
  return code;
}
