import {runRetries, type RetryPolicy} from './retries-run.js';

const SEED = 1;
const END_MS = 30_000;
const LOAD_FACTOR_TARGET = 1.2;
const RECOVERY_TARGET_MS = 5000;
/** Offered load, as a fraction of the capacity of all endpoints. */
const BROWN_OUT_LOADS = [0.6, 0.75];
const HEDGE_LOADS = [0.3, 0.6, 0.8];

const POLICIES: Record<string, RetryPolicy> = {
  chivewick: {attempts: 3, budget: true, breakers: true, hedged: false},
  'no budget': {attempts: 3, budget: false, breakers: true, hedged: false},
  'three fixed retries': {
    attempts: 4,
    budget: false,
    breakers: false,
    hedged: false,
  },
};

interface BenchOptions {
  small: boolean;
  emit(line: object): void;
}

/** Load and recovery in a brown-out, and the cost and gain of hedging. */
export const bench = {
  name: 'retries',
  question:
    'How much load do retries add in a brown-out of a third of the endpoints, how soon is goodput back, and is hedging worth its load?',
  run({small, emit}: BenchOptions): Promise<void> {
    for (const offered of small ? [BROWN_OUT_LOADS[0]] : BROWN_OUT_LOADS)
      for (const name of Object.keys(POLICIES)) brownOut(name, offered, emit);
    for (const offered of small ? [] : HEDGE_LOADS) hedging(offered, emit);
    return Promise.resolve();
  },
};

function brownOut(
  name: string,
  offered: number,
  emit: (line: object) => void,
): void {
  const policy = POLICIES[name];
  const result = runRetries({
    policy,
    seed: SEED,
    offered,
    brownOut: true,
    endMs: END_MS,
  });
  const line = {
    bench: 'retries',
    seed: SEED,
    policy: name,
    size: `24 endpoints, load ${offered}, 8 of them 20 times slower for 10 s`,
  };
  const {loadFactor, recoveryMs, faultGoodput} = result;
  const own = name === 'chivewick';
  emit({
    ...line,
    figure: round(loadFactor),
    unit: 'sends per request in the fault',
    ...(own && {
      target: LOAD_FACTOR_TARGET,
      met: loadFactor < LOAD_FACTOR_TARGET,
    }),
  });
  emit({
    ...line,
    figure: Number.isFinite(recoveryMs) ? recoveryMs : 'never',
    unit: 'ms until goodput is back',
    ...(own && {
      target: RECOVERY_TARGET_MS,
      met: recoveryMs <= RECOVERY_TARGET_MS,
    }),
  });
  emit({
    ...line,
    figure: round(faultGoodput),
    unit: 'goodput in the fault over that before',
  });
}

function hedging(offered: number, emit: (line: object) => void): void {
  for (const hedged of [false, true]) {
    const result = runRetries({
      policy: {attempts: 1, budget: true, breakers: false, hedged},
      seed: SEED,
      offered,
      brownOut: false,
      endMs: END_MS,
    });
    const line = {
      bench: 'retries',
      seed: SEED,
      policy: hedged ? 'hedged' : 'not hedged',
      size: `24 endpoints, load ${offered}, one request in 100 ten times slower`,
    };
    const {p50Ms, p99Ms, p999Ms, loadFactor} = result;
    emit({...line, figure: round(loadFactor), unit: 'sends per request'});
    emit({...line, figure: round(p50Ms), unit: 'ms median'});
    emit({...line, figure: round(p99Ms), unit: 'ms p99'});
    emit({...line, figure: round(p999Ms), unit: 'ms p99.9'});
  }
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
