/**
 * Runs an engine stand-in as its own process. Flags are the names of
 * `EngineOptions`, such as `--endpoint e1 --from 0 --to 8 --decodeUs 100`;
 * `--adapters` takes names joined by commas, `--fencing` true or false.
 */
import {parseArgs} from 'node:util';
import {createEngineStandIn} from './engine.js';

const STRING_OPTIONS = [
  'endpoint',
  'model',
  'version',
  'role',
  'accelerator',
  'failureDomain',
  'weights',
];
const NUMBER_OPTIONS = [
  'from',
  'to',
  'decodeUs',
  'prefillUs',
  'maxBatch',
  'kvTotal',
  'cacheTokens',
  'loadMs',
  'graceMs',
  'port',
  'seed',
];
const names = [...STRING_OPTIONS, ...NUMBER_OPTIONS, 'adapters', 'fencing'];
const {values} = parseArgs({
  options: Object.fromEntries(
    names.map(name => [name, {type: 'string' as const}]),
  ),
});
const options: Record<string, unknown> = {};
for (const [name, value] of Object.entries(values as Record<string, string>)) {
  if (name === 'adapters') options[name] = value.split(',').filter(Boolean);
  else if (name === 'fencing') options[name] = value === 'true';
  else options[name] = NUMBER_OPTIONS.includes(name) ? Number(value) : value;
}
const engine = await createEngineStandIn({
  ...options,
  onCrash: () => process.exit(1),
});
process.stdout.write(
  `${JSON.stringify({ready: true, address: engine.address})}\n`,
);
process.once('SIGTERM', () => void engine.close());
