import {InvalidArgumentError, type Command} from 'commander';
import {
  diffLists,
  type EntitlementsList,
  type ListName,
  type PlansList,
  type WorkspaceChange,
} from '@chivewick/lists';
import {applyAssignments, parseAssignment} from '../assignments.js';
import {errorOf, type AdminClient} from '../client.js';
import {CommandError} from '../exit.js';
import type {Io, Output} from '../io.js';
import {
  applyEdit,
  dryRun,
  fetchList,
  fetchVersion,
  rebase,
  type Applied,
  type Edit,
} from '../list-edits.js';
import {
  expectJointlyValid,
  readListFiles,
  type ListFile,
} from '../list-files.js';
import {waitForEffect} from '../wait.js';
import {withServer, type Context} from './context.js';

interface ApplyOptions {
  readonly wait?: boolean;
  readonly dryRun?: boolean;
  /** Limit of `--wait`, in seconds. */
  readonly timeout: number;
}

interface EditOptions extends ApplyOptions {
  readonly unset: readonly string[];
}

const DEFAULT_TIMEOUT_S = 30;

/**
 * Adds the commands that change a list or show what would change.
 *
 * @example
 * addListsEdits(lists, io);
 */
export function addListsEdits(lists: Command, io: Io): void {
  lists
    .command('diff')
    .argument('<files...>', 'files of one or both lists')
    .description('Show what the files would change for each workspace.')
    .action((files: string[], _options, command: Command) =>
      withServer(io, command, context => diff(context, files)),
    );
  withApplyOptions(
    lists
      .command('apply')
      .argument('<files...>', 'files of one or both lists')
      .description(
        "Apply list files. Other operators' changes since the version in the" +
          ' first line of a file are kept; a file without that line replaces' +
          ' the whole list.',
      ),
  ).action((files: string[], options: ApplyOptions, command: Command) =>
    withServer(io, command, context => apply(context, files, options)),
  );
  withApplyOptions(
    lists
      .command('edit')
      .argument('<list>', 'plans or entitlements')
      .argument('[assignments...]', 'path=value, the value in YAML')
      .description('Change single values of a list, without a file.')
      .option('--unset <path...>', 'remove what the path names', []),
  ).action(
    (list: string, texts: string[], options: EditOptions, command: Command) =>
      withServer(io, command, context =>
        edit(context, expectList(list), texts, options),
      ),
  );
}

/**
 * Validates the name of a list. Throws a `CommandError` for an unknown one.
 *
 * @example
 * const list = expectList('plans');
 */
export function expectList(name: string): ListName {
  if (name === 'plans' || name === 'entitlements') return name;
  throw new CommandError('usage', [
    `there is no list ${name}`,
    'hint: the lists are plans and entitlements.',
  ]);
}

function withApplyOptions(command: Command): Command {
  return command
    .option('--wait', 'wait until every live host has the change in effect')
    .option('--dry-run', 'show what would change, without applying it')
    .option(
      '--timeout <seconds>',
      'maximum time for --wait',
      parseSeconds,
      DEFAULT_TIMEOUT_S,
    );
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (text.trim() !== '' && Number.isFinite(seconds) && seconds >= 0)
    return seconds;
  throw new InvalidArgumentError('It must be a number of seconds.');
}

async function diff(context: Context, files: readonly string[]) {
  const read = readListFiles(files);
  expectJointlyValid(read);
  const changes = await diffFiles(context.client, read);
  context.output.show({changes}, () => formatChanges(context.output, changes));
}

async function apply(
  context: Context,
  names: readonly string[],
  options: ApplyOptions,
): Promise<void> {
  const files = readListFiles(names);
  expectJointlyValid(files);
  if (options.dryRun === true && files.length > 1) return diff(context, names);
  const edits = await Promise.all(
    files.map(file => createEdit(context.client, file)),
  );
  await run(context, edits, options);
}

async function edit(
  context: Context,
  list: ListName,
  texts: readonly string[],
  options: EditOptions,
): Promise<void> {
  const assignments = [
    ...texts.map(parseAssignment),
    ...options.unset.map(path => ({path, remove: true})),
  ];
  if (assignments.length === 0)
    throw new CommandError('usage', [
      'no change is given',
      'hint: chivewick lists edit plans workspaces.san-fermin.plan=choir',
    ]);
  const base = await fetchList(context.client, list);
  const value = applyAssignments(base.value, assignments);
  await run(context, [{list, base, value}], options);
}

async function run(
  context: Context,
  edits: readonly Edit[],
  options: ApplyOptions,
): Promise<void> {
  const {client, io, output} = context;
  if (options.dryRun === true) {
    const {changes} = await dryRun(client, edits[0]);
    return output.show({dryRun: true, changes}, () =>
      formatChanges(output, changes),
    );
  }
  const startedAtMs = io.now();
  const applied = await applyInOrder(client, edits);
  if (!output.json) output.show(applied, () => formatApplied(output, applied));
  const hosts =
    options.wait === true
      ? await waitForEffect(context, applied, options.timeout * 1000)
      : undefined;
  const elapsedMs = io.now() - startedAtMs;
  if (output.json) return output.show({applied, hosts}, () => []);
  if (hosts === undefined) return;
  output.show({}, () => [
    output.good(
      `in effect on ${hosts} hosts after ${formatDuration(elapsedMs)}`,
    ),
  ]);
}

/**
 * Applies entitlements first, so that a new plan exists before a workspace uses
 * it. If they would be rejected because they remove a plan that is still in use,
 * applies plans first.
 */
async function applyInOrder(
  client: AdminClient,
  edits: readonly Edit[],
): Promise<Applied[]> {
  const sorted = [...edits].sort((a, b) => (a.list < b.list ? -1 : 1));
  const [entitlements] = sorted;
  if (sorted.length > 1 && !(await isAcceptable(client, entitlements)))
    sorted.reverse();
  const applied: Applied[] = [];
  for (const next of sorted) {
    try {
      applied.push(await applyEdit(client, next));
    } catch (err) {
      if (!(err instanceof CommandError)) throw err;
      const accepted = applied.map(
        ({list, version}) => `${list} was accepted as version ${version}`,
      );
      throw new CommandError(err.kind, [...err.lines, ...accepted], {
        ...err.data,
        applied,
      });
    }
  }
  return applied;
}

async function isAcceptable(
  client: AdminClient,
  candidate: Edit,
): Promise<boolean> {
  const {list, base, value} = await rebase(client, candidate);
  const path = `/admin/lists/${list}?dryRun=1`;
  const response = await client.put(path, value, base.version);
  return errorOf(response)?.kind !== 'invalid_request';
}

async function createEdit(
  client: AdminClient,
  {file, list, text, value, base}: ListFile,
): Promise<Edit> {
  const baseList =
    base === undefined
      ? await fetchList(client, list)
      : await fetchVersion(client, list, base);
  return {list, value, base: baseList, file, text};
}

async function diffFiles(
  client: AdminClient,
  files: readonly ListFile[],
): Promise<WorkspaceChange[]> {
  const before = {
    plans: (await fetchList(client, 'plans')).value as PlansList,
    entitlements: (await fetchList(client, 'entitlements'))
      .value as EntitlementsList,
  };
  const edits = await Promise.all(
    files.map(async file => rebase(client, await createEdit(client, file))),
  );
  const after = Object.fromEntries(edits.map(({list, value}) => [list, value]));
  return diffLists(before, {...before, ...after});
}

function formatDuration(ms: number): string {
  return ms < 1000 ? `${Math.round(ms)} ms` : `${(ms / 1000).toFixed(1)} s`;
}

function formatApplied(output: Output, applied: readonly Applied[]): string[] {
  return applied.flatMap(({list, version, merged, changes}) => [
    `${list}: version ${version}` +
      (merged ? ", merged with other operators' changes" : ''),
    ...formatChanges(output, changes),
  ]);
}

function formatChanges(
  output: Output,
  changes: readonly WorkspaceChange[],
): string[] {
  if (changes.length === 0) return ['nothing changes for any workspace'];
  const text = (value: unknown) =>
    value === undefined ? '-' : JSON.stringify(value);
  const rows = changes.flatMap(({workspace, kind, fields}) =>
    fields.map(({field, before, after}, at) => [
      at === 0 ? workspace : '',
      at === 0 ? kind : '',
      field,
      text(before),
      text(after),
    ]),
  );
  const head = ['WORKSPACE', 'CHANGE', 'FIELD', 'BEFORE', 'AFTER'];
  return [output.table(head, rows)];
}
