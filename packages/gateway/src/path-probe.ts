import type {Stage} from '@chivewick/engines';
import type {EndpointTable} from './endpoint-table.js';
import type {EngineControl, EngineReport} from './types.js';

/** A live engine responds within a few milliseconds, even when busy. */
const PROBE_TIMEOUT_MS = 70;
/** Time for which a report is reused for other streams of this host. */
const REPORT_REUSE_MS = 400;
/**
 * Probes per second over all hosts: enough for the stages of about a hundred streams
 * that stall together. Probes have a cost, so when everything is slow, a larger fleet
 * must not send more of them.
 */
const FLEET_PROBES_PER_S = 270;
/** Maximum burst of probes from one host. */
const MAX_PROBE_BURST = 40;

/** Result of probing the stages of a path. */
export interface PathFindings {
  /** Stages that did not respond, and are not merely out of this host's reach. */
  readonly dead: readonly Stage[];
  /** Address of the stage that the first stage waits for. */
  readonly waitsFor?: string;
  /** Whether no stage responded, so that this host itself may be disconnected. */
  readonly unresponsive: boolean;
}

/** Probes the stages of paths. */
export interface PathProbe {
  check(stages: readonly Stage[], requestId: string): Promise<PathFindings>;
}

/** What a stage has reported; undefined if it is down. */
type StageReport = EngineReport | 'unknown' | undefined;

interface SharedReport {
  readonly atMs: number;
  readonly report: Promise<StageReport>;
}

/**
 * Creates the probe. All stages are probed concurrently: the first stage detects a
 * dead stage only after hundreds of milliseconds, longer than a gap between events
 * may last. Streams that stall together share the reports.
 *
 * @param isDown whether an endpoint without a report in time is down.
 * @example
 * const {dead} = await probe.check(stages, requestId);
 */
export function createPathProbe(
  control: EngineControl,
  table: EndpointTable,
  hosts: () => number,
  isDown: (address: string) => Promise<boolean>,
): PathProbe {
  const sharedReports = new Map<string, SharedReport>();
  let tokens = MAX_PROBE_BURST;
  let refilledAtMs = performance.now();

  function mayProbe(): boolean {
    const nowMs = performance.now();
    const refill =
      ((nowMs - refilledAtMs) / 1_000) * (FLEET_PROBES_PER_S / hosts());
    tokens = Math.min(MAX_PROBE_BURST, tokens + refill);
    refilledAtMs = nowMs;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  function isSuspected({endpoint}: Stage): boolean {
    return (table.get(endpoint)?.suspectedUntilMs ?? 0) > performance.now();
  }

  async function fetchReport(address: string): Promise<StageReport> {
    const report = await control.report(address, PROBE_TIMEOUT_MS);
    if (report !== undefined) return report;
    return (await isDown(address)) ? undefined : 'unknown';
  }

  function requestReport(stage: Stage): Promise<StageReport> {
    const nowMs = performance.now();
    for (const [address, {atMs}] of sharedReports)
      if (nowMs - atMs >= REPORT_REUSE_MS) sharedReports.delete(address);
    const known = sharedReports.get(stage.address);
    if (known !== undefined) return known.report;
    if (!mayProbe()) return Promise.resolve('unknown');
    const report = fetchReport(stage.address);
    sharedReports.set(stage.address, {atMs: nowMs, report});
    return report;
  }

  return {
    async check(stages, requestId) {
      // The cause is known, so the other stages need not be probed.
      const suspected = stages.filter(isSuspected);
      if (suspected.length > 0) return {dead: suspected, unresponsive: false};
      const reports = await Promise.all(stages.map(requestReport));
      const dead: Stage[] = [];
      let responseCount = 0;
      for (const [index, report] of reports.entries()) {
        const stage = stages[index];
        if (report === 'unknown') continue;
        if (report === undefined) {
          dead.push(stage);
          continue;
        }
        responseCount += 1;
        const state = table.get(stage.endpoint);
        if (state !== undefined) table.observeSlowness(state, report.slowness);
      }
      const [first] = reports;
      const waiting =
        typeof first === 'object'
          ? first.stalled.find(item => item.requestId === requestId)
          : undefined;
      return {
        dead,
        waitsFor: waiting?.address,
        unresponsive: responseCount === 0 && dead.length === stages.length,
      };
    },
  };
}
