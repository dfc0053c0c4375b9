#!/usr/bin/env node
import {createLogger, formatYamlError} from '@chivewick/common';
import {Command} from 'commander';
import {startDaemon} from './daemon.js';
import {loadSettings} from './settings.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILED = 1;

const program = new Command('chivewickd')
  .description('Runs one chivewick host.')
  .requiredOption('--config <file>', 'settings of this host, in YAML')
  .addHelpText(
    'after',
    '\nExample:\n  chivewickd --config examples/diocese/host.yaml',
  )
  .parse();

const {config} = program.opts<{config: string}>();
const loaded = loadSettings(config);
if (!loaded.ok) {
  for (const fault of loaded.faults) {
    process.stderr.write(`${formatYamlError(fault)}\n`);
  }
  process.exit(EXIT_INVALID_SETTINGS);
}

const log = createLogger({label: 'daemon', level: loaded.value.log.level});
try {
  const daemon = await startDaemon(loaded.value, log);
  // A later signal must not interrupt the graceful stop that the first started.
  const stop = () => void daemon.stop().then(() => process.exit(0));
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
} catch (err) {
  process.stderr.write(`cannot start: ${(err as Error).message}\n`);
  process.exit(EXIT_FAILED);
}
