import type {Command} from 'commander';
import {createAdminClient, type AdminClient} from '../client.js';
import {CommandError} from '../exit.js';
import {createOutput, type Io, type Output} from '../io.js';

/** Dependencies of a command that uses the administration API. */
export interface Context {
  readonly io: Io;
  readonly output: Output;
  readonly client: AdminClient;
}

interface GlobalOptions {
  readonly server?: string;
  readonly key?: string;
  readonly json?: boolean;
}

/**
 * Creates the output of a command, according to its options.
 *
 * @example
 * outputOf(io, command).show(kinds, () => lines);
 */
export function outputOf(io: Io, command: Command): Output {
  const {json = false} = command.optsWithGlobals<GlobalOptions>();
  return createOutput(io, {json});
}

/**
 * Runs a command against the administration API and closes its connections.
 *
 * @example
 * await withServer(io, command, ({client}) => client.get('/admin/hosts'));
 */
export async function withServer(
  io: Io,
  command: Command,
  run: (context: Context) => Promise<void>,
): Promise<void> {
  const options = command.optsWithGlobals<GlobalOptions>();
  const servers = (options.server ?? io.env.CHIVEWICK_SERVER ?? '')
    .split(',')
    .map(server => server.trim())
    .filter(server => server !== '');
  if (servers.length === 0)
    throw new CommandError('usage', [
      'no server is given',
      'hint: use --server http://HOST:PORT or set CHIVEWICK_SERVER.',
    ]);
  const invalid = servers.find(server => !/^https?:\/\//.test(server));
  if (invalid !== undefined || servers.some(server => !URL.canParse(server)))
    throw new CommandError('usage', [
      `${invalid ?? servers.join(',')} is not an address`,
      'hint: write it as http://HOST:PORT.',
    ]);
  const client = createAdminClient(
    servers,
    options.key ?? io.env.CHIVEWICK_KEY,
  );
  try {
    await run({io, output: outputOf(io, command), client});
  } finally {
    await client.close();
  }
}
