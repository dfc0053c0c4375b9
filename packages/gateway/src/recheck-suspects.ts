import {pause} from '@chivewick/common';
import type {EndpointState, EndpointTable} from './endpoint-table.js';
import type {EngineControl} from './types.js';

/** Between two probes of a suspected engine. */
const RECHECK_MS = 900;
/** No request waits for it, so it is longer than that of a silent stream. */
const PROBE_TIMEOUT_MS = 200;

/**
 * Probes suspected engines until they answer or their entries are removed, so
 * that no request has to find out whether one is back.
 *
 * @example
 * recheckSuspects(table, control, signal);
 */
export function recheckSuspects(
  table: EndpointTable,
  control: EngineControl,
  signal: AbortSignal,
): void {
  const checked = new Set<EndpointState>();

  async function recheck(state: EndpointState): Promise<void> {
    checked.add(state);
    while (!signal.aborted && !state.gone) {
      await pause(RECHECK_MS, signal);
      if (state.gone) break;
      const {address} = state.record;
      const report = await control.report(address, PROBE_TIMEOUT_MS);
      if (report !== undefined) {
        table.trust(state);
        break;
      }
      table.suspect(state, 'does not answer a probe');
    }
    checked.delete(state);
  }

  table.onSuspected(state => {
    const isEngine = state.record.layers !== undefined;
    if (isEngine && !checked.has(state)) void recheck(state);
  });
}
