import {createRandom, type Random} from '@chivewick/common';
import type {Route} from '@chivewick/engines';
import {createDirectory, type Directory} from '@chivewick/routes';
import {createEngine, MODEL, VERSION} from './routes-engine.js';
import {createEventQueue} from './routes-event-queue.js';
import {
  createMachines,
  domainName,
  LAYERS,
  linkMs,
  type Machine,
} from './routes-model.js';

const SEED = 1;
const SIZES = [30, 300, 3000, 10_000];
const WARM_UP_CHOICES = 3000;
const CHOICES = 10_000;
const BATCHES = 10;
/** A full search takes milliseconds at the larger sizes. */
const FULL_SEARCHES = 30;
const TARGET_US = 50;

interface BenchOptions {
  small: boolean;
  emit(line: object): void;
}

/** Duration of one route choice by the number of known replicas. */
export const bench = {
  name: 'routes-cost',
  question: 'How long does a route choice take, and how does it grow?',
  run({small, emit}: BenchOptions): Promise<void> {
    const first = measure(SIZES[0], emit);
    for (const replicas of small ? [] : SIZES.slice(1)) {
      const us = measure(replicas, emit);
      const growth = us / first;
      const size = replicas / SIZES[0];
      emit({
        ...lineOf('chivewick', replicas),
        figure: round(growth),
        unit: `times the time at ${SIZES[0]} replicas`,
        target: size,
        met: growth < size,
      });
    }
    return Promise.resolve();
  },
};

function measure(replicas: number, emit: (line: object) => void): number {
  const machines = createMachines(replicas, 'mixed');
  const random = createRandom(SEED);
  const directory = fill(machines, random);
  const prompts = Array.from({length: 100}, (_, index) =>
    `${index}`.padEnd(712, 'p'),
  );
  let at = 0;
  let last: Route = [];
  const choose = (): void => {
    const prompt = prompts[at++ % prompts.length];
    const res = directory.choose({
      model: MODEL,
      version: VERSION,
      layers: LAYERS,
      adapter: '',
      prompt,
      exclude: new Set(),
    });
    if (!res.ok) throw new Error(res.err.message);
    last = res.value;
  };
  for (const prompt of prompts) {
    choose();
    occupy(directory, last, prompt);
  }
  time(choose, WARM_UP_CHOICES);
  const us = time(choose, CHOICES);
  emit({
    ...lineOf('chivewick', replicas),
    figure: round(us),
    unit: 'us per choice',
    ...(replicas === SIZES[0] && {target: TARGET_US, met: us < TARGET_US}),
  });
  const cost = (machine: Machine): number => {
    const running = directory.get(machine.id)?.status?.load.running ?? 0;
    return machine.decodeUs * (1 + running / 16);
  };
  const full = (): void => void fullSearch(machines, cost);
  time(full, BATCHES);
  emit({
    ...lineOf('full search', replicas),
    figure: round(time(full, FULL_SEARCHES)),
    unit: 'us per choice',
  });
  return us;
}

function fill(machines: readonly Machine[], random: Random): Directory {
  const queue = createEventQueue();
  const directory = createDirectory({random, now: () => performance.now()});
  directory.setLocalDomain(domainName(0));
  for (const machine of machines) {
    const failureDomain = domainName(machine.domain);
    const {id} = machine;
    directory.add({id, address: id, failureDomain, listedLeaving: false});
    const status = createEngine(machine, queue).status();
    const load = {...status.load, running: random.int(40)};
    directory.report({...status, load});
  }
  return directory;
}

/**
 * Starts and finishes a request, so that the tables do not grow indefinitely.
 */
function occupy(directory: Directory, route: Route, prompt: string): void {
  for (const {endpoint} of route) {
    directory.observe({kind: 'started', endpoint, prompt, tokens: 800});
    directory.observe({kind: 'finished', endpoint, tokens: 800});
  }
}

/**
 * Baseline: the cheapest chain over all endpoints, by dynamic programming over
 * layer boundaries and failure domains.
 */
function fullSearch(
  machines: readonly Machine[],
  cost: (machine: Machine) => number,
): number {
  const ends = [...new Set(machines.map(({to}) => to))].sort((a, b) => a - b);
  const best = new Map<number, number[]>([[0, [0, 0, 0]]]);
  for (const start of [0, ...ends]) {
    const before = best.get(start);
    if (before === undefined) continue;
    for (const machine of machines) {
      if (machine.from > start || machine.to <= start) continue;
      const {domain, to} = machine;
      const arrivalUs = Math.min(
        ...before.map((us, from) => us + 2000 * linkMs(from, domain)),
      );
      const perLayerUs = cost(machine);
      for (const end of ends) {
        if (end <= start || end > to) continue;
        const after = best.get(end) ?? [Infinity, Infinity, Infinity];
        const us = arrivalUs + (end - start) * perLayerUs;
        after[domain] = Math.min(after[domain], us);
        best.set(end, after);
      }
    }
  }
  return Math.min(...(best.get(LAYERS) ?? []));
}

/**
 * Mean duration per run in microseconds, in the fastest of `BATCHES` batches:
 * batches that other processes interrupted are slower and do not count.
 */
function time(act: () => void, times: number): number {
  let fastestUs = Infinity;
  for (let batch = 0; batch < BATCHES; batch++) {
    const startMs = performance.now();
    for (let done = 0; done < times / BATCHES; done++) act();
    const tookMs = performance.now() - startMs;
    fastestUs = Math.min(fastestUs, (tookMs * 1000 * BATCHES) / times);
  }
  return fastestUs;
}

function lineOf(policy: string, replicas: number): object {
  return {
    bench: 'routes-cost',
    seed: SEED,
    policy,
    size: `${replicas} replicas`,
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
