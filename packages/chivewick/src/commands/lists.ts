import type {Command} from 'commander';
import type {ListName} from '@chivewick/lists';
import {expectOk} from '../client.js';
import {CommandError} from '../exit.js';
import type {Io} from '../io.js';
import {fetchList, fetchVersion} from '../list-edits.js';
import {expectJointlyValid, formatList, readListFiles} from '../list-files.js';
import {fetchReports, hostsBehind, type HostReport} from '../wait.js';
import {outputOf, withServer, type Context} from './context.js';
import {addListsEdits, expectList} from './lists-edits.js';

const EXAMPLES = `
Examples:
  chivewick lists show plans > plans.yaml
  chivewick lists check plans.yaml entitlements.yaml
  chivewick lists diff plans.yaml
  chivewick lists apply plans.yaml --wait
  chivewick lists edit plans workspaces.san-fermin.plan=choir --wait`;

/**
 * Adds the commands of the two lists.
 *
 * @example
 * addLists(program, io);
 */
export function addLists(program: Command, io: Io): void {
  const lists = program
    .command('lists')
    .description('Show and change the two lists: plans and entitlements.')
    .addHelpText('after', EXAMPLES);
  lists
    .command('show')
    .argument('<list>', 'plans or entitlements')
    .description('Print a list as YAML, with its version in the first line.')
    .action((list: string, _options, command: Command) =>
      withServer(io, command, context => show(context, expectList(list))),
    );
  lists
    .command('check')
    .argument('<files...>', 'files of one or both lists')
    .description('Check list files without a server.')
    .action((files: string[], _options, command: Command) =>
      check(io, command, files),
    );
  lists
    .command('history')
    .argument('<list>', 'plans or entitlements')
    .argument('[version]', 'print this version as YAML')
    .description('List the accepted versions of a list.')
    .action((list: string, version: string | undefined, _o, command: Command) =>
      withServer(io, command, context =>
        history(context, expectList(list), version),
      ),
    );
  lists
    .command('status')
    .description('Show which versions are in effect on which host.')
    .action((_options, command: Command) => withServer(io, command, status));
  addListsEdits(lists, io);
}

async function show({client, output, io}: Context, list: ListName) {
  const {version, value} = await fetchList(client, list);
  if (output.json) return output.show({list, version, value}, () => []);
  io.out(formatList(list, version, value));
}

function check(io: Io, command: Command, files: readonly string[]): void {
  const read = readListFiles(files);
  expectJointlyValid(read);
  const checked = read.map(({file, list}) => ({file, list, valid: true}));
  outputOf(io, command).show(checked, () =>
    checked.map(({file, list}) => `${file}: valid ${list}`),
  );
}

interface HistoryEntry {
  readonly version: number;
  readonly by?: string;
  readonly at?: string;
}

async function history(
  {client, output, io}: Context,
  list: ListName,
  requestedVersion: string | undefined,
): Promise<void> {
  if (requestedVersion !== undefined) {
    const version = Number(requestedVersion);
    if (!Number.isSafeInteger(version) || version < 1)
      throw new CommandError('usage', [
        `"${requestedVersion}" is not a version`,
      ]);
    const {value} = await fetchVersion(client, list, version);
    if (output.json) return output.show({list, version, value}, () => []);
    return io.out(formatList(list, version, value));
  }
  const response = await client.get(`/admin/lists/${list}/history`);
  const {body} = expectOk(response);
  const entries = body.versions as readonly HistoryEntry[];
  output.show(body, () => [
    output.table(
      ['VERSION', 'AT', 'BY'],
      entries.map(({version, at, by}) => [version, at, by]),
    ),
  ]);
}

async function status(context: Context): Promise<void> {
  const {output} = context;
  const reports = await fetchReports(context);
  const newest = (list: ListName) =>
    Math.max(0, ...reports.map(report => report[list] ?? 0));
  const targets = (['plans', 'entitlements'] as const).map(list => ({
    list,
    version: newest(list),
  }));
  const behind = new Set(hostsBehind(reports, targets).map(({host}) => host));
  const stateOf = ({host, plans, confirmed}: HostReport) => {
    if (plans === undefined) return output.bad('no report');
    if (behind.has(host)) return output.bad('behind');
    return confirmed === true
      ? output.good('up to date')
      : output.bad('unconfirmed');
  };
  output.show({hosts: reports, behind: [...behind]}, () => [
    output.table(
      ['HOST', 'PLANS', 'ENTITLEMENTS', 'STATE'],
      reports.map(report => [
        report.host,
        report.plans,
        report.entitlements,
        stateOf(report),
      ]),
    ),
  ]);
}
