import type {Dialer} from '@chivewick/tunnels';
import type {EndpointState, EndpointTable} from '../endpoint-table.js';
import type {EngineControl} from '../types.js';
import type {CheckRun} from './run-watch.js';

/** An engine that is alive reports within a few milliseconds. */
const REPORT_TIMEOUT_MS = 250;

/**
 * Creates the check of an endpoint's run. Another host is asked too: to one that is cut
 * off, all endpoints look crashed. An engine that accepts connections is asked when it
 * started, as it may have crashed and started again.
 *
 * @example
 * const status = await createRunCheck({dialer, control})(state); // 'ended'
 */
export function createRunCheck(options: {
  readonly dialer: Pick<Dialer, 'isDown'>;
  readonly control: Pick<EngineControl, 'report'>;
}): CheckRun {
  const {dialer, control} = options;
  return async ({record}) => {
    if (await dialer.isDown(record.address)) return 'ended';
    // Plain services have no report; their next entry in the store tells.
    if (record.layers === undefined) return 'running';
    const report = await control.report(record.address, REPORT_TIMEOUT_MS);
    if (report === undefined) return 'silent';
    const {startedAtMs} = report;
    if (startedAtMs === undefined) return 'running';
    return startedAtMs === record.startedAtMs ? 'running' : 'ended';
  };
}

/**
 * Whether the table has a later run under the id or at the address of an endpoint.
 *
 * @example
 * if (isReplaced(table, state)) recordCrash();
 */
export function isReplaced(
  table: EndpointTable,
  {record, firstSeenAtMs}: EndpointState,
): boolean {
  return table
    .ofService(record.service)
    .some(
      other =>
        other.firstSeenAtMs > firstSeenAtMs &&
        (other.record.id === record.id ||
          other.record.address === record.address),
    );
}
