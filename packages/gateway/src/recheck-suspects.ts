import {pause} from '@chivewick/common';
import type {EndpointState, EndpointTable} from './endpoint-table.js';
import type {EngineControl} from './types.js';

/** Interval between two probes of a suspected engine. */
const RECHECK_MS = 900;
/**
 * Minimum interval between probes of an endpoint that other hosts find full or
 * down; an overloaded one is reported with every refusal.
 */
const VERIFY_INTERVAL_MS = 1_000;
/** No request waits for this probe, so it may take longer than a path probe. */
const PROBE_TIMEOUT_MS = 200;

/** Probes suspected engines. */
export interface SuspectChecks {
  /** Probes an engine that did not respond to another host. */
  verify(state: EndpointState): void;
}

/**
 * Probes suspected engines until they respond or their entries are removed, so
 * that recovery is detected without sending requests to them. Only the coordinator
 * of an engine's failure domain probes it: on other hosts a suspicion expires unless
 * that coordinator repeats it, so that probes do not grow with the fleet.
 *
 * @example
 * const checks = recheckSuspects({table, control, isDown, signal, isResponsible: () => true});
 */
export function recheckSuspects(options: {
  readonly table: EndpointTable;
  readonly control: EngineControl;
  /** Whether an endpoint without a report in time is down. */
  readonly isDown: (address: string) => Promise<boolean>;
  readonly signal: AbortSignal;
  /** Whether this host is the one that probes an endpoint for all hosts. */
  readonly isResponsible: (state: EndpointState) => boolean;
}): SuspectChecks {
  const {table, control, isDown, signal} = options;
  const rechecking = new Set<EndpointState>();
  const verifiedAtMs = new WeakMap<EndpointState, number>();

  async function recheck(state: EndpointState, delayMs: number): Promise<void> {
    rechecking.add(state);
    await pause(delayMs, signal);
    while (!signal.aborted && !state.removed) {
      const {address} = state.record;
      const report = await control.report(address, PROBE_TIMEOUT_MS);
      if (report !== undefined) {
        table.clearSuspicion(state);
        break;
      }
      if (await isDown(address))
        table.suspect(state, 'did not respond to a probe');
      await pause(RECHECK_MS, signal);
    }
    rechecking.delete(state);
  }

  function start(state: EndpointState, delayMs: number): void {
    const isEngine = state.record.layers !== undefined;
    if (isEngine && !rechecking.has(state)) void recheck(state, delayMs);
  }

  table.onSuspected(state => {
    if (options.isResponsible(state)) start(state, RECHECK_MS);
  });
  return {
    verify(state) {
      if (!options.isResponsible(state)) return;
      const nowMs = performance.now();
      const lastMs = verifiedAtMs.get(state) ?? -Infinity;
      if (nowMs - lastMs < VERIFY_INTERVAL_MS) return;
      verifiedAtMs.set(state, nowMs);
      start(state, 0);
    },
  };
}
