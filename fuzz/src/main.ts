import {createRandom} from '@chivewick/common';
import {Argument, Command} from 'commander';
import {keepInput} from './core/corpus.js';
import {runTarget} from './core/run-target.js';
import {TARGETS} from './targets/index.js';

const MAX_SEED = 2 ** 31 - 1;
const MAX_RUNS = 10_000_000;

const names = TARGETS.map(({name}) => name);
const program = new Command('fuzz')
  .description(
    'Checks a target with generated inputs and stores failing inputs.',
  )
  .addArgument(new Argument('<target>', 'target').choices([...names, 'all']))
  .option('--seconds <n>', 'time for each target', Number, 10)
  .option('--seed <n>', 'seed of the generated inputs', Number)
  .action(run);

async function run(
  name: string,
  options: {seconds: number; seed?: number},
): Promise<void> {
  const {seconds} = options;
  const seed = options.seed ?? createRandom().int(MAX_SEED);
  if (!(seconds > 0) || !Number.isSafeInteger(seed))
    program.error('--seconds must be above 0 and --seed an integer');
  const chosen = TARGETS.filter(
    target => name === 'all' || target.name === name,
  );
  for (const target of chosen) {
    const startedMs = performance.now();
    const report = await runTarget(target, {seed, runs: MAX_RUNS, seconds});
    const tookMs = Math.round(performance.now() - startedMs);
    const {failure} = report;
    const kept =
      failure && (await keepInput(target.name, failure.input, failure.message));
    console.log(JSON.stringify({...report, tookMs, kept}));
    if (failure !== undefined) process.exitCode = 1;
  }
}

await program.parseAsync();
