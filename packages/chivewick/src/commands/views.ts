import type {Command} from 'commander';
import {expectOk} from '../client.js';
import {formatRecord, type Cells, type Io, type Output} from '../io.js';
import {withServer} from './context.js';

interface Row {
  readonly [field: string]: unknown;
}

interface TableView {
  readonly name: string;
  readonly description: string;
  /** Field of the response that holds the rows. */
  readonly field: string;
  readonly empty: string;
  readonly columns: Readonly<Record<string, (row: Row) => unknown>>;
}

const TABLE_VIEWS: readonly TableView[] = [
  {
    name: 'hosts',
    description: 'List the hosts of the platform host list and their state.',
    field: 'hosts',
    empty: 'no hosts',
    columns: {
      HOST: row => row.host,
      STATE: row => row.state,
      'FAILURE DOMAIN': row => row.failureDomain,
      ADDRESS: row => row.address,
    },
  },
  {
    name: 'endpoints',
    description: 'List engines and services with their state and load.',
    field: 'endpoints',
    empty: 'no endpoints',
    columns: {
      ENDPOINT: row => row.endpoint,
      KIND: row => row.kind,
      STATE: row => row.state,
      'FAILURE DOMAIN': row => row.failureDomain,
      MODEL: row => row.model,
      LAYERS: row => formatLayers(row.layers),
      RUNNING: row => row.running,
      QUEUED: row => row.queued,
    },
  },
  {
    name: 'quarantine',
    description: 'List the requests banned because they crash endpoints.',
    field: 'quarantined',
    empty: 'no request is banned',
    columns: {
      FINGERPRINT: row => row.fingerprint,
      WORKSPACE: row => row.workspace,
      MODEL: row => row.model,
      'EXPIRES AT': row => row.expiresAt,
      EVIDENCE: row =>
        row.evidence === undefined ? undefined : JSON.stringify(row.evidence),
    },
  },
];

interface RecordView {
  readonly name: string;
  readonly args: readonly string[];
  readonly description: string;
  readonly example: string;
  readonly path: (args: readonly string[]) => string;
  /** Whether only one host may have the record, so that all servers are queried. */
  readonly onOneHost?: boolean;
}

const RECORD_VIEWS: readonly RecordView[] = [
  {
    name: 'routes',
    args: ['<model>'],
    description: 'Show the route that a request to a model would get now.',
    example: 'chivewick routes rota-draft',
    path: ([model]) => `/admin/routes/${encodeURIComponent(model)}`,
  },
  {
    name: 'requests',
    args: ['<id>'],
    description: 'Show what the hosts given with --server know of a request.',
    onOneHost: true,
    example: 'chivewick requests 1f0c2c52-6f5b-4a7e-9d4e-0e6a54c1a0b3',
    path: ([request]) => `/admin/requests/${encodeURIComponent(request)}`,
  },
  {
    name: 'calls',
    args: ['<workspace>', '<key>'],
    description: 'Show the outcome of a non-idempotent call.',
    example: 'chivewick calls san-fermin booking-2026-07-07',
    path: ([workspace, key]) =>
      `/admin/calls/${encodeURIComponent(workspace)}/${encodeURIComponent(key)}`,
  },
];

/**
 * Adds the read-only views.
 *
 * @example
 * addViews(program, io);
 */
export function addViews(program: Command, io: Io): void {
  for (const view of TABLE_VIEWS) addTableView(program, io, view);
  for (const view of RECORD_VIEWS) addRecordView(program, io, view);
}

function addTableView(program: Command, io: Io, view: TableView): void {
  program
    .command(view.name)
    .description(view.description)
    .addHelpText('after', `\nExample:\n  chivewick ${view.name} --json`)
    .action((_options, command: Command) =>
      withServer(io, command, async ({client, output}) => {
        const {body} = expectOk(await client.get(`/admin/${view.name}`));
        const rows = body[view.field] as readonly Row[];
        output.show(body, () => {
          if (rows.length === 0) return [view.empty];
          const columns = Object.values(view.columns);
          const cells = rows.map(
            row => columns.map(column => column(row)) as Cells,
          );
          return [output.table(Object.keys(view.columns), cells)];
        });
      }),
    );
}

function addRecordView(program: Command, io: Io, view: RecordView): void {
  const command = program
    .command(view.name)
    .description(view.description)
    .addHelpText('after', `\nExample:\n  ${view.example}`);
  for (const arg of view.args) command.argument(arg);
  command.action((...actionArgs: unknown[]) => {
    const args = actionArgs.slice(0, view.args.length) as string[];
    return withServer(io, command, async ({client, output}) => {
      const path = view.path(args);
      const {body} = expectOk(
        await (view.onOneHost === true ? client.find(path) : client.get(path)),
      );
      output.show(body, () => formatBody(output, body));
    });
  });
}

/** Formats an array of records as a table, and a single record as its fields. */
function formatBody(output: Output, body: unknown): string[] {
  if (!Array.isArray(body) || body.length === 0) return formatRecord(body);
  const rows = body as readonly Row[];
  const fields = [...new Set(rows.flatMap(row => Object.keys(row)))];
  const cells = rows.map(row =>
    fields.map(field => {
      const value = row[field];
      return typeof value === 'object' ? JSON.stringify(value) : value;
    }),
  );
  const head = fields.map(field => field.toUpperCase());
  return [output.table(head, cells as Cells[])];
}

function formatLayers(layers: unknown): string | undefined {
  if (typeof layers !== 'object' || layers === null) return undefined;
  const {from, to} = layers as {from?: number; to?: number};
  return `${from}-${to}`;
}
