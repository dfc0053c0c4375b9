/** Prints the causes of lost worth on days of the users' bench. */
import {Command} from 'commander';
import {readFile} from 'node:fs/promises';
import {meanLosses, readLosses, type Loss} from './losses.js';

const program = new Command('losses')
  .description('Prints the worth that days lost, by cause, largest first.')
  .argument('<files...>', 'journal entries or reports of a day')
  .option('--most <n>', 'causes to print of each kind', Number, 5)
  .option('--least <worth>', 'smallest mean loss to print', Number, 0.002)
  .parse();
const {most, least} = program.opts<{most: number; least: number}>();

function line(losses: readonly Loss[]): string {
  return losses
    .slice(0, most)
    .map(({cause, worth}) => `${cause} ${worth.toFixed(3)}`)
    .join(', ');
}

for (const path of program.args) {
  const {site, days} = readLosses(await readFile(path, 'utf8'));
  process.stdout.write(`${path} ${site}\n`);
  for (const {day, worth, byPart, byOutcome, byGroup} of days) {
    process.stdout.write(`  ${day}: worth ${worth.toFixed(3)}\n`);
    process.stdout.write(`    lost: ${line(byPart)}\n`);
    process.stdout.write(`    requests: ${line(byOutcome)}\n`);
    process.stdout.write(`    weakest: ${line(byGroup)}\n`);
  }
  if (days.length < 2) continue;
  process.stdout.write('  mean loss\n');
  for (const {cause, worth} of meanLosses(days.map(day => day.byPart)))
    if (worth >= least)
      process.stdout.write(`    ${worth.toFixed(4)} ${cause}\n`);
}
