import {POLICIES} from './routes-policies.js';
import {runRoutes, type RunResult} from './routes-run.js';
import type {RangeLayout} from './routes-model.js';

const SEED = 1;
const REPLICAS = 30;
/** Load for the latency figures, relative to the bound. */
const LATENCY_LOAD = 0.6;
/**
 * Requests in progress at saturation, as a fraction of those that fit in KV
 * cache.
 */
const SATURATION = 0.75;
const GOODPUT_TARGET = 0.9;
/**
 * Scenarios; without `latency` only goodput is measured, to keep the bench
 * short.
 */
const SCENES: {
  layout: RangeLayout;
  lagMs: number;
  small: boolean;
  latency: boolean;
}[] = [
  {layout: 'aligned', lagMs: 100, small: false, latency: false},
  {layout: 'aligned', lagMs: 1000, small: true, latency: true},
  {layout: 'mixed', lagMs: 1000, small: false, latency: true},
  {layout: 'quarters', lagMs: 1000, small: false, latency: false},
];

interface BenchOptions {
  small: boolean;
  emit(line: object): void;
}

/** Goodput at saturation and p99 latencies of the route choice. */
export const bench = {
  name: 'routes',
  question:
    'How near to the hardware bound does the choice of routes get with lagging load reports and 9 choosing hosts?',
  run({small, emit}: BenchOptions): Promise<void> {
    const scenes = SCENES.filter(scene => !small || scene.small);
    for (const scene of scenes) runScene(scene, small ? 5000 : 8000, emit);
    return Promise.resolve();
  },
};

function runScene(
  {layout, lagMs, latency}: (typeof SCENES)[number],
  measuredMs: number,
  emit: (line: object) => void,
): void {
  const size = `${REPLICAS} replicas, ${layout} ranges, lag ${lagMs} ms`;
  const common = {seed: SEED, replicas: REPLICAS, layout, lagMs, measuredMs};
  const policies = Object.keys(POLICIES).filter(
    policy => latency || policy !== 'random',
  );
  const results = policies.map(policy => ({
    policy,
    saturated: runRoutes({
      ...common,
      policy,
      load: {kind: 'closed', kvFraction: SATURATION},
    }),
    partial: latency
      ? runRoutes({
          ...common,
          policy,
          load: {kind: 'open', offered: LATENCY_LOAD},
        })
      : undefined,
  }));
  for (const {policy, saturated, partial} of results) {
    const line = {bench: 'routes', seed: SEED, policy, size};
    const own = policy === 'chivewick';
    emit({
      ...line,
      figure: round(saturated.goodput),
      unit: 'goodput over bound',
      bound: 1,
      ...(own && {
        target: GOODPUT_TARGET,
        met: saturated.goodput >= GOODPUT_TARGET,
      }),
    });
    for (const [unit, figureOf] of LATENCIES) {
      if (partial === undefined) continue;
      const get = (run?: RunResult): number =>
        run === undefined ? Infinity : figureOf(run);
      const lowest = Math.min(
        ...results
          .filter(other => other.policy !== policy)
          .map(other => get(other.partial)),
      );
      emit({
        ...line,
        figure: round(get(partial)),
        unit,
        ...(own && {target: round(lowest), met: get(partial) < lowest}),
      });
    }
  }
}

const LATENCIES: [string, (result: RunResult) => number][] = [
  ['ms p99 to first token', result => result.firstTokenP99Ms],
  ['ms p99 per token', result => result.perTokenP99Ms],
];

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
