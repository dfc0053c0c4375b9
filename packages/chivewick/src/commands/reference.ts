import type {Command} from 'commander';
import {closest} from 'fastest-levenshtein';
import {ERROR_RESPONSES, LOG_EVENTS} from '@chivewick/common';
import {CommandError} from '../exit.js';
import {formatRecord, type Io} from '../io.js';
import {outputOf} from './context.js';

/**
 * Adds `errors` and `events`, which work without a server.
 *
 * @example
 * addReference(program, io);
 */
export function addReference(program: Command, io: Io): void {
  program
    .command('errors')
    .argument('[kind]', 'error kind, such as quarantined')
    .description('Explain error kinds and their responses.')
    .addHelpText('after', '\nExample:\n  chivewick errors outcome_unknown')
    .action((kind: string | undefined, _options, command: Command) =>
      showErrors(io, command, kind),
    );
  program
    .command('events')
    .argument('[number]', 'number of a log event, such as 301')
    .description('Explain log events by number.')
    .addHelpText('after', '\nExample:\n  chivewick events 301')
    .action((number: string | undefined, _options, command: Command) =>
      showEvents(io, command, number),
    );
}

function showErrors(io: Io, command: Command, requested?: string): void {
  const output = outputOf(io, command);
  const all = Object.entries(ERROR_RESPONSES).map(([kind, response]) => ({
    kind,
    ...response,
  }));
  if (requested === undefined)
    return output.show(all, () => [
      output.table(
        ['KIND', 'STATUS', 'RAN', 'RETRY', 'WHAT TO DO'],
        all.map(row => [row.kind, row.status, row.ran, row.retry, row.hint]),
      ),
    ]);
  const found = all.find(({kind}) => kind === requested);
  if (found !== undefined) return output.show(found, () => formatRecord(found));
  const suggestion = closest(requested, Object.keys(ERROR_RESPONSES));
  throw new CommandError('usage', [
    `there is no error kind ${requested}`,
    `hint: did you mean ${suggestion}?`,
  ]);
}

function showEvents(io: Io, command: Command, requested?: string): void {
  const output = outputOf(io, command);
  const all = Object.entries(LOG_EVENTS)
    .map(([name, event]) => ({...event, name}))
    .sort((a, b) => a.number - b.number);
  if (requested === undefined)
    return output.show(all, () => [
      output.table(
        ['NUMBER', 'LEVEL', 'NAME', 'MESSAGE'],
        all.map(row => [row.number, row.level, row.name, row.message]),
      ),
    ]);
  const found = all.find(({number}) => String(number) === requested);
  if (found !== undefined) return output.show(found, () => formatRecord(found));
  throw new CommandError('usage', [
    `there is no log event ${requested}`,
    'hint: chivewick events lists them all.',
  ]);
}
