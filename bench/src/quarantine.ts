import {createRandom} from '@chivewick/common';
import FakeTimers from '@sinonjs/fake-timers';
import {
  CRASHING_BODY,
  createFleet,
  createLocalCounter,
  createNoGuard,
  createQuarantines,
  type Fleet,
  type Guard,
} from './quarantine-fleet.js';

const HOSTS = 9;
const ENDPOINTS = 60;
const RESENDS = 50;
const INNOCENT = 300;
const SPREAD_MS = 4000;
const TARGET_LOST = 2;
const STEP_MS = 5;

interface BenchOptions {
  small: boolean;
  emit(line: object): void;
}

interface Outcome {
  readonly lost: number;
  readonly innocentRefused: number;
  readonly innocentFailed: number;
}

const POLICIES: Record<
  string,
  () => {guards: Guard[]; close(): Promise<void>}
> = {
  chivewick: () => createQuarantines(HOSTS),
  'two crashes on one host': () => guardsOf(createLocalCounter),
  'no quarantine': () => guardsOf(createNoGuard),
};

/** Endpoints lost to one request that crashes every endpoint that runs it. */
export const bench = {
  name: 'quarantine',
  question:
    'How many endpoints does one bad request cost, and whom does quarantine hurt?',
  async run({small, emit}: BenchOptions): Promise<void> {
    for (const seed of small ? [1] : [1, 2, 3])
      for (const policy of Object.keys(POLICIES)) {
        const outcome = await simulate(policy, seed);
        const line = {
          bench: 'quarantine',
          seed,
          policy,
          size: `${HOSTS} hosts, ${ENDPOINTS} endpoints, ${RESENDS} resends, ${INNOCENT} other requests`,
        };
        const own = policy === 'chivewick';
        emit({
          ...line,
          figure: outcome.lost,
          unit: 'endpoints lost',
          ...(own && {target: TARGET_LOST, met: outcome.lost <= TARGET_LOST}),
        });
        emit({
          ...line,
          figure: outcome.innocentRefused,
          unit: 'other requests refused',
          ...(own && {target: 0, met: outcome.innocentRefused === 0}),
        });
        emit({
          ...line,
          figure: outcome.innocentFailed,
          unit: 'other requests failed',
        });
      }
  },
};

function guardsOf(create: () => Guard): {
  guards: Guard[];
  close(): Promise<void>;
} {
  return {
    guards: Array.from({length: HOSTS}, create),
    close: () => Promise.resolve(),
  };
}

/** Runs one policy in simulated time. */
async function simulate(policy: string, seed: number): Promise<Outcome> {
  const clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'Date', 'performance'],
  });
  try {
    const {guards, close} = POLICIES[policy]();
    const random = createRandom(seed);
    const fleet = createFleet(guards, ENDPOINTS, random);
    const runLater = (run: (host: number) => ReturnType<Fleet['run']>) =>
      pause(random.int(SPREAD_MS)).then(() => run(random.int(HOSTS)));
    const innocent = Array.from({length: INNOCENT}, (_, index) =>
      runLater(host => fleet.run(host, `innocent-${index}`)),
    );
    const bad = [
      runLater(host => fleet.run(host, CRASHING_BODY)).then(() =>
        Promise.all(
          Array.from({length: RESENDS}, () =>
            runLater(host => fleet.run(host, CRASHING_BODY)),
          ),
        ),
      ),
    ];
    let finished = false;
    const outcomes = Promise.all(innocent);
    void Promise.all([outcomes, ...bad]).then(() => {
      finished = true;
    });
    while (!finished) await clock.tickAsync(STEP_MS);
    const all = await outcomes;
    await close();
    return {
      lost: fleet.lost(),
      innocentRefused: all.filter(outcome => outcome === 'refused').length,
      innocentFailed: all.filter(outcome => outcome === 'failed').length,
    };
  } finally {
    clock.uninstall();
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
