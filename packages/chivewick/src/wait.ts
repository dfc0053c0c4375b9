import {
  resolveGrants,
  type EntitlementsList,
  type ListName,
  type PlansList,
} from '@chivewick/lists';
import {expectOk, type AdminClient} from './client.js';
import type {Context} from './commands/context.js';
import {CommandError} from './exit.js';
import {fetchList} from './list-edits.js';

/** Versions in effect on one host; fields are undefined if it sent no report. */
export interface HostReport {
  readonly host: string;
  readonly plans?: number;
  readonly entitlements?: number;
  readonly confirmed?: boolean;
  readonly ageMs?: number;
}

/** A list version that hosts are expected to have in effect. */
export interface TargetVersion {
  readonly list: ListName;
  readonly version: number;
}

// For each poll, the polled host queries its peers, so the interval grows during
// a long wait. The first polls are frequent because a change is typically in
// effect within a second.
const INITIAL_POLL_INTERVAL_MS = 100;
const MAX_POLL_INTERVAL_MS = 2_000;
const POLL_INTERVAL_GROWTH = 1.5;

// Hosts that are leaving or dead serve no requests, so their versions do not
// matter; a suspect host may still serve.
const SERVING_STATES = ['live', 'alive', 'suspect'];

/**
 * Fetches the versions on every live host: the peers of the host that responds,
 * and hosts of the platform's host list that sent no report.
 *
 * @example
 * const reports = await fetchReports(context);
 */
export async function fetchReports({
  client,
}: Pick<Context, 'client'>): Promise<HostReport[]> {
  const status = expectOk(await client.get('/admin/status')).body;
  const hosts = expectOk(await client.get('/admin/hosts')).body;
  const reports = status.hosts as readonly HostReport[];
  const listed = hosts.hosts as readonly {host: string; state: string}[];
  const missing = listed.filter(
    ({host, state}) =>
      SERVING_STATES.includes(state) &&
      !reports.some(report => report.host === host),
  );
  return [...reports, ...missing.map(({host}) => ({host}))].sort((a, b) =>
    a.host < b.host ? -1 : 1,
  );
}

/**
 * Returns the hosts that do not have all target versions in effect.
 *
 * @example
 * const behind = hostsBehind(reports, [{list: 'plans', version: 12}]);
 */
export function hostsBehind(
  reports: readonly HostReport[],
  targets: readonly TargetVersion[],
): HostReport[] {
  return reports.filter(report =>
    targets.some(({list, version}) => (report[list] ?? 0) < version),
  );
}

/**
 * Waits until every live host has the versions in effect, and returns the number
 * of hosts. Throws a `CommandError` with the hosts that do not have them when the
 * timeout expires.
 *
 * @param timeoutMs maximum time to wait, in milliseconds
 * @example
 * const hosts = await waitForEffect(context, targets, 30_000);
 */
export async function waitForEffect(
  context: Context,
  targets: readonly TargetVersion[],
  timeoutMs: number,
): Promise<number> {
  const {io} = context;
  const deadlineMs = io.now() + timeoutMs;
  for (
    let intervalMs = INITIAL_POLL_INTERVAL_MS;
    ;
    intervalMs = Math.min(
      intervalMs * POLL_INTERVAL_GROWTH,
      MAX_POLL_INTERVAL_MS,
    )
  ) {
    const result = await tryFetchReports(context);
    if (Array.isArray(result)) {
      const behind = hostsBehind(result, targets);
      if (behind.length === 0) return result.length;
      if (io.now() >= deadlineMs) {
        // If this request fails, the report is still correct, but has no reason.
        const faults = await findJointFaults(context.client).catch(() => []);
        throw notInEffect(targets, behind, faults);
      }
    } else if (io.now() >= deadlineMs) {
      throw new CommandError('notInEffect', [
        'accepted, but the hosts could not be queried',
        ...result.lines,
      ]);
    }
    await io.sleep(intervalMs);
  }
}

/** Returns the error, so that the restart of a host does not end the wait. */
async function tryFetchReports(
  context: Context,
): Promise<HostReport[] | CommandError> {
  try {
    return await fetchReports(context);
  } catch (err) {
    if (err instanceof CommandError) return err;
    throw err;
  }
}

/**
 * Finds why hosts may reject the newest lists: two operators who each change one
 * list at the same time can create a pair that is not valid together.
 */
async function findJointFaults(
  client: AdminClient,
): Promise<readonly string[]> {
  const plans = await fetchList(client, 'plans');
  const entitlements = await fetchList(client, 'entitlements');
  const joint = resolveGrants(
    plans.value as PlansList,
    entitlements.value as EntitlementsList,
  );
  if (joint.ok) return [];
  return [
    'the newest lists are not valid together, so hosts keep the previous ones:',
    ...joint.faults.map(({key, message}) => `  ${key}: ${message}`),
  ];
}

function notInEffect(
  targets: readonly TargetVersion[],
  behind: readonly HostReport[],
  faults: readonly string[],
): CommandError {
  const expected = targets
    .map(({list, version}) => `${list} ${version}`)
    .join(', ');
  const lines = behind.map(report => {
    const has = targets
      .map(({list}) => `${list} ${report[list] ?? 'unknown'}`)
      .join(', ');
    return `  ${report.host}: has ${has}`;
  });
  return new CommandError(
    'notInEffect',
    [
      `accepted (${expected}), but not yet in effect on every live host`,
      ...lines,
      ...faults,
    ],
    {behind, faults},
  );
}
