import type {Command} from 'commander';
import {formatYamlError, hostSettingsSchema, loadYaml} from '@chivewick/common';
import {CommandError} from '../exit.js';
import type {Io} from '../io.js';
import {outputOf} from './context.js';

/**
 * Adds `settings check`, which works without a server.
 *
 * @example
 * addSettings(program, io);
 */
export function addSettings(program: Command, io: Io): void {
  program
    .command('settings')
    .description('Work with the settings of hosts.')
    .command('check')
    .argument('<file>', 'settings file of one host')
    .description('Check the settings of a host as the daemon does.')
    .addHelpText('after', '\nExample:\n  chivewick settings check host.yaml')
    .action((file: string, _options, command: Command) => {
      const loaded = loadYaml(file, hostSettingsSchema);
      if (!loaded.ok)
        throw new CommandError('usage', loaded.faults.map(formatYamlError), {
          faults: loaded.faults,
        });
      const {firm, host} = loaded.value;
      outputOf(io, command).show({file, firm, host, valid: true}, () => [
        `${file}: valid settings of ${host} (${firm})`,
      ]);
    });
}
