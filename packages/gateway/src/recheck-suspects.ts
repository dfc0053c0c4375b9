import {pause} from '@chivewick/common';
import type {EndpointState, EndpointTable} from './endpoint-table.js';
import type {EngineControl} from './types.js';

/** Interval between two probes of a suspected engine. */
const RECHECK_MS = 900;
/** No request waits for this probe, so it may take longer than a path probe. */
const PROBE_TIMEOUT_MS = 200;

/**
 * Probes suspected engines until they respond or their entries are removed, so
 * that recovery is detected without sending requests to them.
 *
 * @example
 * recheckSuspects(table, control, signal);
 */
export function recheckSuspects(
  table: EndpointTable,
  control: EngineControl,
  signal: AbortSignal,
): void {
  const rechecking = new Set<EndpointState>();

  async function recheck(state: EndpointState): Promise<void> {
    rechecking.add(state);
    while (!signal.aborted && !state.removed) {
      await pause(RECHECK_MS, signal);
      if (state.removed) break;
      const {address} = state.record;
      const report = await control.report(address, PROBE_TIMEOUT_MS);
      if (report !== undefined) {
        table.clearSuspicion(state);
        break;
      }
      table.suspect(state, 'did not respond to a probe');
    }
    rechecking.delete(state);
  }

  table.onSuspected(state => {
    const isEngine = state.record.layers !== undefined;
    if (isEngine && !rechecking.has(state)) void recheck(state);
  });
}
