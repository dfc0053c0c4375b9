/** Reports crashed endpoints to quarantine before a request runs again. */
import type {EndpointId} from '@chivewick/common';
import type {Attempt, Context, Run, StageFault} from './run-state.js';

/**
 * An endpoint that fails again within this time has not restarted in between, so
 * the fault belongs to the same crash.
 */
const SAME_CRASH_WINDOW_MS = 5_000;

/**
 * Reports every endpoint that crashed, with the fingerprints of all requests
 * that were on it; resolves to true if there was one. An endpoint counts as
 * crashed if its connections break and it no longer knows the session; an
 * unresponsive one may only have lost its network. Each attempt is reported at
 * most once per crash, however many requests detect it.
 *
 * @example
 * const crashed = await reportCrashes(ctx, run, faults);
 */
export async function reportCrashes(
  ctx: Context,
  run: Run,
  faults: readonly StageFault[],
): Promise<boolean> {
  if (ctx.quarantine === undefined) return false;
  const broken = faults.filter(({cause}) => cause === 'broken');
  const crashed = await Promise.all(
    broken.map(({endpoint}) => hasCrashed(ctx, run, endpoint)),
  );
  const crashFaults = broken.filter((_, i) => crashed[i]);
  await Promise.all(
    crashFaults.map(({endpoint}) => reportCrash(ctx, run, endpoint)),
  );
  return crashFaults.length > 0;
}

async function hasCrashed(
  ctx: Context,
  run: Run,
  endpoint: EndpointId,
): Promise<boolean> {
  const stage = run.attempt.route.find(stage => stage.endpoint === endpoint);
  if (stage === undefined) return false;
  const {engines, limits} = ctx;
  const state = await engines.session(
    stage.address,
    run.request.id,
    limits.maxProbeMs,
  );
  return !state.ok && state.err.kind !== 'deadline_exceeded';
}

function reportCrash(
  ctx: Context,
  run: Run,
  endpoint: EndpointId,
): Promise<void> {
  const known = run.attempt.crashReports.get(endpoint);
  if (known !== undefined) return known;
  const crashedAtMs = ctx.quarantine?.lastCrashMs?.(endpoint) ?? -Infinity;
  const affected = [...ctx.runs.values()].filter(
    ({attempt}) =>
      attempt.route.some(stage => stage.endpoint === endpoint) &&
      !attempt.crashReports.has(endpoint) &&
      !openedAfterCrash(attempt, crashedAtMs),
  );
  const fingerprints = affected.map(({fingerprint}) => fingerprint);
  const progressed = new Set(
    affected.filter(hasProgressed).map(({fingerprint}) => fingerprint),
  );
  const reported = Promise.resolve(
    ctx.quarantine!.reportCrash(endpoint, fingerprints, progressed),
  );
  for (const {attempt} of affected)
    attempt.crashReports.set(endpoint, reported);
  return reported;
}

/**
 * Whether an attempt was opened on an endpoint that had already crashed, so that
 * its request can't have caused the crash.
 */
function openedAfterCrash(attempt: Attempt, crashedAtMs: number): boolean {
  const isSameCrash = performance.now() - crashedAtMs < SAME_CRASH_WINDOW_MS;
  return isSameCrash && !attempt.receivedToken && attempt.startMs > crashedAtMs;
}

function hasProgressed({deliveredPosition, promptCount}: Run): boolean {
  return deliveredPosition >= promptCount;
}
