import {createRandom, type Random} from '@chivewick/common';
import {
  createBreaker,
  createHedgeDelay,
  createRetryBudget,
  type Breaker,
} from '@chivewick/retries';
import {build, type Histogram} from 'hdr-histogram-js';
import {createEventQueue, type EventQueue} from './routes-event-queue.js';
import {
  CAPACITY_PER_SECOND,
  createServer,
  type Server,
} from './retries-endpoint.js';

const HOSTS = 9;
const SERVERS = 24;
const TIMEOUT_MS = 250;
const BUCKET_MS = 250;
const FAULT_FROM_MS = 5000;
const FAULT_UNTIL_MS = 15_000;
/** Factor on the duration of requests on the endpoints that brown out. */
const BROWN_OUT_FACTOR = 20;
/** Fraction of the goodput before the fault that counts as recovered. */
const RECOVERED_FRACTION = 0.95;
/** Buckets for which that goodput has to last. */
const RECOVERED_BUCKETS = 4;

/** How failed and slow requests are retried. */
export interface RetryPolicy {
  /** Maximum number of attempts of one request, without hedges. */
  readonly attempts: number;
  readonly budget: boolean;
  readonly breakers: boolean;
  readonly hedged: boolean;
}

/** Results of a run. */
export interface RetryResult {
  /** Requests sent to endpoints during the fault, for each request. */
  readonly loadFactor: number;
  /**
   * Time from the end of the fault until goodput has recovered; infinite if
   * never.
   */
  readonly recoveryMs: number;
  /** Goodput during the fault, as a fraction of that before it. */
  readonly faultGoodput: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/** Options of one run. */
export interface RetryRunOptions {
  readonly policy: RetryPolicy;
  readonly seed: number;
  /** Offered requests as a fraction of the capacity of all endpoints. */
  readonly offered: number;
  readonly brownOut: boolean;
  readonly endMs: number;
}

interface Simulation {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly servers: readonly Server[];
  readonly latency: Histogram;
  readonly good: number[];
  requests: number;
  sends: number;
}

interface Host {
  readonly breakers: readonly Breaker[];
  readonly retryBudget: ReturnType<typeof createRetryBudget>;
  readonly hedgeBudget: ReturnType<typeof createRetryBudget>;
  readonly hedgeDelay: ReturnType<typeof createHedgeDelay>;
}

/** Runs requests of all hosts against simulated endpoints. */
export function runRetries(options: RetryRunOptions): RetryResult {
  const {policy, seed, offered, brownOut, endMs} = options;
  const random = createRandom(seed);
  const queue = createEventQueue();
  const servers = Array.from({length: SERVERS}, () =>
    createServer(queue, random),
  );
  const sim: Simulation = {
    queue,
    random,
    servers,
    latency: build({useWebAssembly: false}),
    good: new Array<number>(Math.ceil(endMs / BUCKET_MS)).fill(0),
    requests: 0,
    sends: 0,
  };
  const hosts = Array.from({length: HOSTS}, () => createHost(queue, random));
  if (brownOut) scheduleBrownOut(queue, servers);
  const meanGapMs = 1000 / (offered * SERVERS * CAPACITY_PER_SECOND);
  const arrive = (): void => {
    request(sim, hosts[random.int(HOSTS)], policy);
    queue.after(-meanGapMs * Math.log(1 - random.next()), arrive);
  };
  arrive();
  queue.runUntil(FAULT_FROM_MS);
  const before = {requests: sim.requests, sends: sim.sends};
  queue.runUntil(brownOut ? FAULT_UNTIL_MS : endMs);
  const loadFactor =
    (sim.sends - before.sends) / (sim.requests - before.requests);
  queue.runUntil(endMs);
  const quantile = (percent: number): number =>
    sim.latency.getValueAtPercentile(percent) / 1000;
  return {
    loadFactor,
    ...goodputOf(sim.good),
    p50Ms: quantile(50),
    p99Ms: quantile(99),
    p999Ms: quantile(99.9),
  };
}

function createHost(queue: EventQueue, random: Random): Host {
  const now = (): number => queue.now();
  return {
    breakers: Array.from({length: SERVERS}, () => createBreaker({random, now})),
    retryBudget: createRetryBudget({now}),
    hedgeBudget: createRetryBudget({now, ratio: 0.05}),
    hedgeDelay: createHedgeDelay(),
  };
}

function scheduleBrownOut(queue: EventQueue, servers: readonly Server[]): void {
  const third = servers.slice(0, servers.length / 3);
  queue.after(FAULT_FROM_MS, () => {
    for (const server of third) server.setSlowness(BROWN_OUT_FACTOR);
  });
  queue.after(FAULT_UNTIL_MS, () => {
    for (const server of third) server.setSlowness(1);
  });
}

function request(sim: Simulation, host: Host, policy: RetryPolicy): void {
  const {queue} = sim;
  const startMs = queue.now();
  const tried = new Set<number>();
  let ended = false;
  sim.requests += 1;

  function succeed(): void {
    if (ended) return;
    ended = true;
    const latencyMs = queue.now() - startMs;
    sim.latency.recordValue(Math.max(1, Math.round(latencyMs * 1000)));
    sim.good[Math.floor(queue.now() / BUCKET_MS)] += 1;
    host.retryBudget.succeeded();
    host.hedgeBudget.succeeded();
    host.hedgeDelay.record(latencyMs);
  }

  function send(attempt: number): void {
    const to = pick(sim, host, policy, tried);
    if (to === undefined) return;
    tried.add(to);
    sim.sends += 1;
    attemptOn(sim, host.breakers[to], sim.servers[to], ok => {
      if (ended) return;
      if (ok) return succeed();
      if (attempt + 1 >= policy.attempts) return;
      if (policy.budget && !host.retryBudget.take()) return;
      send(attempt + 1);
    });
  }

  send(0);
  const delayMs = host.hedgeDelay.delayMs();
  if (!policy.hedged || delayMs >= TIMEOUT_MS) return;
  queue.after(delayMs, () => {
    if (!ended && host.hedgeBudget.take()) send(policy.attempts);
  });
}

function pick(
  {random, servers}: Simulation,
  host: Host,
  policy: RetryPolicy,
  tried: ReadonlySet<number>,
): number | undefined {
  const allowed = servers
    .map((_, index) => index)
    .filter(index => !tried.has(index))
    .filter(index => !policy.breakers || host.breakers[index].allows());
  return allowed[random.int(Math.max(1, allowed.length))];
}

function attemptOn(
  {queue}: Simulation,
  breaker: Breaker,
  server: Server,
  done: (ok: boolean) => void,
): void {
  let settled = false;
  const end = (ok: boolean): void => {
    if (settled) return;
    settled = true;
    if (ok) breaker.succeeded();
    else breaker.failed();
    done(ok);
  };
  breaker.started();
  server.send(end);
  queue.after(TIMEOUT_MS, () => end(false));
}

function goodputOf(
  good: readonly number[],
): Pick<RetryResult, 'recoveryMs' | 'faultGoodput'> {
  const mean = (fromMs: number, untilMs: number): number => {
    const buckets = good.slice(fromMs / BUCKET_MS, untilMs / BUCKET_MS);
    return buckets.reduce((sum, count) => sum + count, 0) / buckets.length;
  };
  const typical = mean(1000, FAULT_FROM_MS);
  const end = FAULT_UNTIL_MS / BUCKET_MS;
  const recoveredBucket = good.findIndex(
    (_, bucket) =>
      bucket >= end &&
      bucket + RECOVERED_BUCKETS <= good.length &&
      mean(bucket * BUCKET_MS, (bucket + RECOVERED_BUCKETS) * BUCKET_MS) >=
        RECOVERED_FRACTION * typical,
  );
  return {
    recoveryMs:
      recoveredBucket === -1 ? Infinity : (recoveredBucket - end) * BUCKET_MS,
    faultGoodput: mean(FAULT_FROM_MS, FAULT_UNTIL_MS) / typical,
  };
}
