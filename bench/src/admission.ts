import type {AdmissionClass} from '@chivewick/admission';
import {createRandom} from '@chivewick/common';
import {installSuspendableTime} from '@chivewick/stand-ins';
import {build, type Histogram} from 'hdr-histogram-js';
import {
  ADMISSION_POLICIES,
  type AdmissionPolicy,
} from './admission-policies.js';
import type {Bench} from './bench.js';

const CAPACITY = 64;
const MIN_HOLD_MS = 200;
const MEAN_HOLD_MS = 500;
/** Drafts per second that the capacity serves. */
const SERVED_PER_SECOND = (CAPACITY * 1000) / MEAN_HOLD_MS;
/** A response that starts later than this is useless to the caller. */
const START_TIMEOUT_MS = 1_000;
const WEIGHTS = {steady: 16, burst: 48};
/** Load of the workspace within its plan: 0.8 of its share by weight. */
const STEADY_LOAD = 0.2;
const LOOKUPS_PER_SECOND = 50;
const LOOKUP_HOLD_MS = 5;
const CALM_LOAD = 0.8;
const LOADS = [CALM_LOAD, 1, 2, 5];
const WARM_UP_MS = 3_000;
/** Load continues for this time, so that the last measured requests can end. */
const DRAIN_MS = 5_000;
const GOODPUT_TARGET = 0.9;
const GROWTH_TARGET = 1.2;

interface Run {
  /** Drafts per second whose work started before `START_TIMEOUT_MS`. */
  readonly goodput: number;
  /** Latency of the drafts of the steady workspace, in milliseconds. */
  readonly steady: Histogram;
  /** Latency of lookups, in milliseconds. */
  readonly lookups: Histogram;
  /** Drafts of the steady workspace that were shed or started too late. */
  readonly steadyLost: number;
}

interface Source {
  readonly workspace: string;
  readonly cls: AdmissionClass;
  readonly perSecond: number;
}

/** Offers a load relative to the capacity and measures what is served. */
async function runLoad(
  name: string,
  load: number,
  seed: number,
  seconds: number,
): Promise<Run> {
  const time = installSuspendableTime();
  const random = createRandom(seed);
  const weights = WEIGHTS;
  const policy: AdmissionPolicy = ADMISSION_POLICIES[name]({
    capacity: CAPACITY,
    weights,
  });
  const steady = build();
  const lookups = build();
  const startMs = performance.now();
  let good = 0;
  let steadyAll = 0;
  let steadyGood = 0;

  const exponential = (mean: number) => -mean * Math.log(1 - random.next());

  const request = async ({workspace, cls}: Source) => {
    const arrivedMs = performance.now();
    const sinceMs = arrivedMs - startMs - WARM_UP_MS;
    const measured = sinceMs >= 0 && sinceMs < seconds * 1000;
    const holdMs =
      cls === 'lookup'
        ? LOOKUP_HOLD_MS
        : MIN_HOLD_MS + exponential(MEAN_HOLD_MS - MIN_HOLD_MS);
    const isSteady = cls === 'draft' && workspace === 'steady';
    if (measured && isSteady) steadyAll += 1;
    const release = await policy.acquire(workspace, cls, START_TIMEOUT_MS);
    if (release === undefined) return;
    const useful = performance.now() - arrivedMs <= START_TIMEOUT_MS;
    setTimeout(() => {
      release();
      if (!measured) return;
      const latencyMs = performance.now() - arrivedMs;
      if (cls === 'lookup') lookups.recordValue(latencyMs);
      if (isSteady) steady.recordValue(latencyMs);
      if (isSteady && useful) steadyGood += 1;
      if (cls === 'draft' && useful) good += 1;
    }, holdMs);
  };

  const offer = (source: Source) => {
    const meanMs = 1000 / source.perSecond;
    const next = () => {
      void request(source);
      setTimeout(next, exponential(meanMs));
    };
    setTimeout(next, exponential(meanMs));
  };

  try {
    const draftsOf = (workspace: string, share: number): Source => ({
      workspace,
      cls: 'draft',
      perSecond: share * SERVED_PER_SECOND,
    });
    offer(draftsOf('steady', STEADY_LOAD));
    offer(draftsOf('burst', load - STEADY_LOAD));
    offer({
      workspace: 'steady',
      cls: 'lookup',
      perSecond: LOOKUPS_PER_SECOND,
    });
    await time.advance(WARM_UP_MS + seconds * 1000 + DRAIN_MS);
    return {
      goodput: good / seconds,
      steady,
      lookups,
      steadyLost: 1 - steadyGood / steadyAll,
    };
  } finally {
    time.uninstall();
  }
}

/** Goodput under overload, fairness between workspaces, and lookups. */
export const bench: Bench = {
  name: 'admission',
  question:
    'Does goodput hold at 2 and 5 times the capacity, and is a workspace within its plan shielded from a burst?',
  async run({small, emit}) {
    const seeds = small ? [1] : [1, 2, 3];
    const seconds = small ? 5 : 40;
    for (const policy of Object.keys(ADMISSION_POLICIES)) {
      const own = policy === 'chivewick';
      for (const seed of seeds) {
        const runs = new Map<number, Run>();
        for (const load of LOADS) {
          runs.set(load, await runLoad(policy, load, seed, seconds));
        }
        emitRuns(runs, {seed, policy, size: `${CAPACITY} slots`}, own, emit);
      }
    }
  },
};

function emitRuns(
  runs: ReadonlyMap<number, Run>,
  line: object,
  own: boolean,
  emit: (line: object) => void,
): void {
  const peak = Math.max(...[...runs.values()].map(({goodput}) => goodput));
  const calm = runs.get(CALM_LOAD);
  if (calm === undefined) return;
  const p99 = (histogram: Histogram) => histogram.getValueAtPercentile(99);
  for (const [load, run] of runs) {
    const at = {...line, load};
    const relative = run.goodput / peak;
    const growth = p99(run.steady) / p99(calm.steady);
    const withTarget = (target: number, met: boolean) =>
      own && load > 1 ? {target, met} : {target};
    emit({
      ...at,
      name: 'goodput',
      figure: round(run.goodput),
      unit: 'drafts/s',
      bound: Math.min(load, 1) * SERVED_PER_SECOND,
    });
    emit({
      ...at,
      name: 'goodput relative to its peak',
      figure: round(relative),
      unit: 'share',
      bound: Math.min(load, 1),
      ...withTarget(GOODPUT_TARGET, relative >= GOODPUT_TARGET),
    });
    emit({
      ...at,
      name: `p99 of a workspace within its plan, relative to load ${CALM_LOAD}`,
      figure: round(growth),
      unit: 'ratio',
      bound: 1,
      ...withTarget(GROWTH_TARGET, growth <= GROWTH_TARGET),
    });
    emit({
      ...at,
      name: 'drafts within the plan that were shed or too late',
      figure: round(run.steadyLost),
      unit: 'share',
      bound: 0,
    });
    emit({
      ...at,
      name: 'p99 of lookups',
      figure: p99(run.lookups),
      unit: 'ms',
      bound: LOOKUP_HOLD_MS,
    });
  }
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
