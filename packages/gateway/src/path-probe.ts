import type {Stage} from '@chivewick/engines';
import type {EndpointTable} from './endpoint-table.js';
import type {EngineControl, EngineReport} from './types.js';

/** An engine that lives answers within some milliseconds, also when busy. */
const PROBE_TIMEOUT_MS = 70;
/** An answer tells about other streams of this host for so long. */
const ANSWER_SHARED_MS = 400;
/**
 * Probes of all hosts a second: enough for the stages of some hundred streams that
 * fall silent together. Probes are priced, and a fleet that is slow as a whole must
 * not be asked more often for having more hosts.
 */
const FLEET_PROBES_PER_S = 270;
/** Probes that one host may send at once. */
const MOST_PROBES_AT_ONCE = 40;

/** What a look at the stages of a path found. */
export interface PathFindings {
  /** Stages that do not answer. */
  readonly dead: readonly Stage[];
  /** Address of a stage that the first one waits for. */
  readonly waitsFor?: string;
  /** Whether nothing answered, so that this host itself may be cut off. */
  readonly silent: boolean;
}

/** Looks at the stages of paths. */
export interface PathProbe {
  look(stages: readonly Stage[], requestId: string): Promise<PathFindings>;
}

interface Shared {
  readonly atMs: number;
  readonly report: Promise<EngineReport | undefined>;
}

/**
 * Creates the probe. All stages are asked at once: the first one learns of a dead
 * stage only after hundreds of milliseconds, later than a pause may last. Streams
 * that fall silent together share the answers.
 *
 * @example
 * const {dead} = await probe.look(stages, requestId);
 */
export function createPathProbe(
  control: EngineControl,
  table: EndpointTable,
  hosts: () => number,
): PathProbe {
  const answers = new Map<string, Shared>();
  let tokens = MOST_PROBES_AT_ONCE;
  let filledAtMs = performance.now();

  function mayProbe(): boolean {
    const nowMs = performance.now();
    const filled =
      ((nowMs - filledAtMs) / 1_000) * (FLEET_PROBES_PER_S / hosts());
    tokens = Math.min(MOST_PROBES_AT_ONCE, tokens + filled);
    filledAtMs = nowMs;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  function ask(stage: Stage): Promise<EngineReport | undefined | 'not asked'> {
    const known = answers.get(stage.address);
    const nowMs = performance.now();
    if (known !== undefined && nowMs - known.atMs < ANSWER_SHARED_MS) {
      return known.report;
    }
    if (!mayProbe()) return Promise.resolve('not asked');
    const report = control.report(stage.address, PROBE_TIMEOUT_MS);
    answers.set(stage.address, {atMs: nowMs, report});
    return report;
  }

  return {
    async look(stages, requestId) {
      const reports = await Promise.all(stages.map(ask));
      const dead: Stage[] = [];
      let answered = 0;
      for (const [index, report] of reports.entries()) {
        const stage = stages[index];
        if (report === 'not asked') continue;
        if (report === undefined) {
          dead.push(stage);
          continue;
        }
        answered += 1;
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
        silent: answered === 0 && dead.length === stages.length,
      };
    },
  };
}
